/// A small pool of keep-alive connections to one peer, for control traffic.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/client_connection.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace briarfold::store {

/// Thread-safe. Each connection lives on a strand of its own.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(core::asio::any_io_executor executor, http::endpoint peer);

    /// One exchange on an idle connection or a new one; the time includes connecting. Throws
    /// core::connection_error or core::timeout_error. After a timeout all idle connections are closed, as a
    /// silent connection often means that all older ones to the peer are silent too.
    core::asio::awaitable<http::response> exchange(http::request message, core::duration timeout);

    const http::endpoint& peer() const { return peer_; }

private:
    struct slot
    {
        explicit slot(const core::asio::any_io_executor& executor, const http::endpoint& peer)
            : strand(core::asio::make_strand(executor)), connection(strand, peer)
        {}

        core::asio::any_io_executor strand;
        http::client_connection connection;
    };

    static core::asio::awaitable<http::response> run(std::shared_ptr<connection_pool> pool,
                                                     std::shared_ptr<slot> used, http::request message,
                                                     core::duration timeout);
    std::shared_ptr<slot> take_idle();
    void put_back(std::shared_ptr<slot> used);
    void drop_idle();

    core::asio::any_io_executor executor_;
    http::endpoint peer_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<slot>> idle_;
};

} // namespace briarfold::store
