/// Connection pool of one backend server. Each connection carries one exchange at a time.
#pragma once

#include "core/asio.hpp"
#include "edge/protocol.hpp"
#include "http/client_connection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::edge {

enum class exchange_outcome
{
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The request was sent, but the connection broke or no complete answer arrived in time.
    broken,
    /// The answer belongs to another attempt, or does not say to which it belongs.
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
    /// The answer was cut off because it was longer than any may be.
    bool is_over_limit = false;
};

/// Connections that an exchange may use.
enum class connection_choice
{
    /// An idle one, or a new one when none is idle.
    any,
    /// Only an idle one.
    idle,
    /// A new one that carries no other exchange. Needed when the answer could not be told from a late copy of
    /// an earlier answer.
    own
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

/// What the connections of a link carry.
enum class link_use
{
    requests,
    /// Grants and releases, which have short answers.
    control
};

/// Not thread-safe: all calls on the executor's thread.
class backend_link : public std::enable_shared_from_this<backend_link>
{
public:
    /// Answers count in `budget` while they are read.
    backend_link(core::asio::any_io_executor executor, http::endpoint peer, const protocol& adapter,
                 link_use use = link_use::requests, std::shared_ptr<http::transfer_budget> budget = nullptr)
        : executor_(std::move(executor)), peer_(std::move(peer)), adapter_(adapter), use_(use),
          budget_(std::move(budget))
    {}

    /// Sends the request and reads its answer. Reports failures of the peer in the result and never throws
    /// for them. The id in the answer has to equal `attempt_id`; both are empty for messages without an id.
    /// `timeout` is the time left for the attempt. While it lasts, the attempt is not sent again on a
    /// connection on which it got anything but a signed success: a late copy of that answer would be taken
    /// for the next one.
    core::asio::awaitable<exchange_result> exchange(http::request message, std::string attempt_id,
                                                    core::duration timeout,
                                                    std::shared_ptr<exchange_handle> handle,
                                                    connection_choice choice = connection_choice::any);
    /// Opens a connection for a later exchange. Returns whether it was established.
    core::asio::awaitable<bool> open();
    bool has_idle();
    /// Closes all idle connections, for use when the peer ended or stopped answering.
    void close_idle();
    const http::endpoint& peer() const { return peer_; }
    std::uint64_t opened() const { return opened_; }
    /// Returns when the newest connection that later exchanges may use was established.
    core::time_point connected_at() const { return connected_at_; }

private:
    /// Attempt that a connection carried and that may be sent again until it ends.
    struct carried_attempt
    {
        std::string id;
        core::time_point ends_at;
    };

    struct pooled_connection
    {
        std::shared_ptr<http::client_connection> connection;
        std::vector<carried_attempt> carried;
        core::time_point usable_until;
    };

    /// Returns an idle connection that has not carried the attempt.
    std::optional<pooled_connection> take_idle(const std::string& attempt_id);
    void return_idle(pooled_connection pooled, const response_head& head);
    core::asio::awaitable<void> connect(pooled_connection& pooled, core::duration timeout);

    core::asio::any_io_executor executor_;
    http::endpoint peer_;
    const protocol& adapter_;
    link_use use_;
    std::shared_ptr<http::transfer_budget> budget_;
    std::vector<pooled_connection> idle_;
    std::uint64_t opened_ = 0;
    core::time_point connected_at_;
};

} // namespace briarfold::edge
