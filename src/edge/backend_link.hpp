/// Connection pool of one backend server. Each connection carries one exchange at a time.
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
    /// The request was sent, but the connection broke or no complete answer arrived in time.
    broken,
    /// The answer belongs to another attempt.
    mismatched,
    /// The exchange was cancelled and its connection closed.
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

/// Handle that cancels a running exchange by closing its connection.
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

/// Not thread-safe: all calls on the executor's thread.
class backend_link : public std::enable_shared_from_this<backend_link>
{
public:
    backend_link(core::asio::any_io_executor executor, http::endpoint peer, const protocol& adapter)
        : executor_(std::move(executor)), peer_(std::move(peer)), adapter_(adapter)
    {}

    /// Sends the request on an idle connection, or on a new one when none is idle and `may_connect` is true.
    /// Reports failures of the peer in the result and never throws for them. An answer to an attempt other
    /// than `attempt_id` is a mismatch; an empty `attempt_id` accepts every answer.
    core::asio::awaitable<exchange_result> exchange(http::request message, std::string attempt_id,
                                                    core::duration timeout,
                                                    std::shared_ptr<exchange_handle> handle,
                                                    bool may_connect = true);
    /// Opens a connection for a later exchange. Returns whether it was established.
    core::asio::awaitable<bool> open();
    bool has_idle();
    /// Closes all idle connections, for use when the peer ended or stopped answering.
    void close_idle();
    const http::endpoint& peer() const { return peer_; }
    std::uint64_t opened() const { return opened_; }
    /// Returns when the newest connection was established.
    core::time_point connected_at() const { return connected_at_; }

private:
    struct idle_connection
    {
        std::shared_ptr<http::client_connection> connection;
        core::time_point usable_until;
    };

    std::shared_ptr<http::client_connection> take_idle();
    void return_idle(std::shared_ptr<http::client_connection> connection, const response_head& head);

    core::asio::any_io_executor executor_;
    http::endpoint peer_;
    const protocol& adapter_;
    std::deque<idle_connection> idle_;
    std::uint64_t opened_ = 0;
    core::time_point connected_at_;
};

} // namespace briarfold::edge
