/// Keep-alive connections to one backend server and the exchanges on them.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/client_connection.hpp"
#include "routing/counters.hpp"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace briarfold::routing::internal {

/// What the backend server says about a request id.
enum class request_state
{
    cancelled_before_start,
    running,
    finished,
    unknown,
    /// No answer, or several requests in flight share the id, so that the state would be ambiguous.
    no_answer
};

struct attempt_result
{
    enum class kind
    {
        answered,
        /// The backend server said so; `reason` is its reason.
        not_run,
        /// Cancelled before its start by the probe of a quiet exchange, so it may be sent again.
        withdrawn,
        /// No byte left.
        not_sent,
        /// Bytes left and no valid answer came.
        lost,
        /// Bytes left and the deadline passed.
        timed_out
    };

    attempt_result() = default;
    attempt_result(kind attempt_outcome, std::string why) : outcome(attempt_outcome), reason(std::move(why))
    {}

    kind outcome = kind::lost;
    http::response response;
    std::string reason;
};

/// All members run on the strand given at construction.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(core::asio::any_io_executor strand, http::endpoint peer, int max_connections,
                    routing_counters& counters);
    ~connection_pool();

    /// One exchange. `message` has its X-Request-Id; the pool adds the time left. An exchange without an
    /// answer after `quiet_limit` is probed.
    core::asio::awaitable<attempt_result> exchange(http::request message, std::string request_id,
                                                   core::time_point deadline, core::duration quiet_limit);
    /// Cancels a request that has not started, on a new connection. `own` is the number of exchanges in
    /// progress that the caller knows for the id; with others the state would be ambiguous, and nothing is
    /// sent.
    core::asio::awaitable<request_state> cancel(std::string request_id, core::duration limit,
                                                std::ptrdiff_t own);
    /// A new address: idle connections close, exchanges in progress finish on the old ones.
    void set_peer(const http::endpoint& peer);
    const http::endpoint& peer() const { return peer_; }

private:
    struct exchange_record;
    using record_pointer = std::shared_ptr<exchange_record>;
    using connection_pointer = std::shared_ptr<http::client_connection>;

    core::asio::awaitable<connection_pointer> take(core::time_point deadline);
    void give_back(const connection_pointer& connection, std::uint64_t generation);
    core::asio::awaitable<attempt_result> send(record_pointer record, http::request message,
                                               core::time_point deadline);
    attempt_result check_answer(const exchange_record& record, http::response response);
    core::asio::awaitable<void> watch();
    core::asio::awaitable<void> probe(record_pointer record);
    void judge(const record_pointer& record, request_state state);
    void rebuild();

    core::asio::any_io_executor strand_;
    http::endpoint peer_;
    std::size_t max_idle_;
    routing_counters& counters_;
    std::vector<connection_pointer> idle_;
    std::list<record_pointer> in_flight_;
    std::uint64_t generation_ = 0;
    bool is_watching_ = false;
};

} // namespace briarfold::routing::internal
