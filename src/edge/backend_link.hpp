/// Connections to one backend server, each for one exchange at a time.
#pragma once

#include "core/asio.hpp"
#include "edge/protocol.hpp"
#include "http/client_connection.hpp"

#include <deque>
#include <memory>

namespace briarfold::edge {

enum class exchange_outcome
{
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The connection broke, or no whole answer came in time, after the request was sent.
    broken,
    /// The answer does not belong to the request.
    mismatched,
    /// The caller left and the connection was closed.
    cancelled
};

struct exchange_result
{
    exchange_result() = default;

    exchange_outcome outcome = exchange_outcome::not_sent;
    http::response answer;
    response_head head;
    std::string reason;
    core::duration elapsed;
    bool is_new_connection = false;
};

/// Closes the connection of a running exchange.
class exchange_handle
{
public:
    void cancel();
    bool is_cancelled() const { return is_cancelled_; }

private:
    friend class backend_link;
    std::weak_ptr<http::client_connection> connection_;
    bool is_cancelled_ = false;
};

/// Used on one thread.
class backend_link : public std::enable_shared_from_this<backend_link>
{
public:
    backend_link(core::asio::any_io_executor executor, http::endpoint peer, const protocol& hooks)
        : executor_(std::move(executor)), peer_(std::move(peer)), hooks_(hooks)
    {}

    /// Sends the request on an idle connection or, with `may_connect`, a new one. Never throws for failures
    /// of the peer. An answer for another attempt than `attempt_id` is a mismatch; an empty id accepts every
    /// answer.
    core::asio::awaitable<exchange_result> exchange(http::request message, std::string attempt_id,
                                                    core::duration timeout,
                                                    std::shared_ptr<exchange_handle> handle,
                                                    bool may_connect = true);
    /// Opens a connection for a later exchange. Returns whether it was established.
    core::asio::awaitable<bool> open();
    bool has_idle();
    /// Closes idle connections: the peer ended, or connections went silent.
    void close_idle();
    const http::endpoint& peer() const { return peer_; }
    std::uint64_t opened() const { return opened_; }
    /// When the newest connection was established.
    core::time_point connected_at() const { return connected_at_; }

private:
    struct idle_connection
    {
        std::shared_ptr<http::client_connection> connection;
        core::time_point usable_until;
    };

    std::shared_ptr<http::client_connection> take_idle();
    void put_back(std::shared_ptr<http::client_connection> connection, const response_head& head);

    core::asio::any_io_executor executor_;
    http::endpoint peer_;
    const protocol& hooks_;
    std::deque<idle_connection> idle_;
    std::uint64_t opened_ = 0;
    core::time_point connected_at_;
};

} // namespace briarfold::edge
