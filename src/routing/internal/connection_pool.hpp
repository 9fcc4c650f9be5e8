/// Pool of keep-alive connections to one backend server, and the exchanges on them.
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

/// State of a request id as reported by the backend server.
enum class request_state
{
    cancelled_before_start,
    running,
    finished,
    unknown,
    /// The backend server did not answer or was not asked, because several requests in flight share the id
    /// and the state would be ambiguous.
    no_answer
};

struct attempt_result
{
    enum class kind
    {
        answered,
        /// The request did not run: the backend server refused it with `reason`, or it was not sent.
        not_run,
        /// A probe cancelled the request before its start, so it may be sent again.
        cancelled_by_probe,
        /// No byte was sent.
        not_sent,
        /// Bytes were sent, but no valid answer arrived.
        lost,
        /// The deadline passed; bytes may have been sent.
        timed_out
    };

    attempt_result() = default;
    attempt_result(kind attempt_outcome, std::string outcome_reason)
        : outcome(attempt_outcome), reason(std::move(outcome_reason))
    {}

    kind outcome = kind::lost;
    http::response response;
    std::string reason;
};

/// Not thread-safe. All calls on the strand given at construction.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(core::asio::any_io_executor strand, http::endpoint peer, int max_connections,
                    routing_counters& counters);
    ~connection_pool();

    /// Sends a request and returns the result of the exchange. `message` has its X-Request-Id; the pool adds
    /// the header with the remaining time. Probes the backend server when there is no answer after
    /// `probe_delay`.
    core::asio::awaitable<attempt_result> exchange(http::request message, std::string request_id,
                                                   core::time_point deadline, core::duration probe_delay);
    /// Cancels a request that has not started, on a new connection, and returns its state. `own_exchanges` is
    /// the number of exchanges in flight that the caller expects for the id. If the number differs, the state
    /// would be ambiguous: sends nothing and returns no_answer.
    core::asio::awaitable<request_state> cancel(std::string request_id, core::duration timeout,
                                                std::ptrdiff_t own_exchanges);
    /// Sets the address. If it changed, closes idle connections; exchanges in flight finish on the old ones.
    void set_peer(const http::endpoint& peer);
    const http::endpoint& peer() const { return peer_; }

private:
    struct exchange_record;
    using record_pointer = std::shared_ptr<exchange_record>;
    using connection_pointer = std::shared_ptr<http::client_connection>;

    core::asio::awaitable<connection_pointer> take_connection(core::time_point deadline);
    void return_connection(const connection_pointer& connection, std::uint64_t generation);
    core::asio::awaitable<attempt_result> send(record_pointer record, http::request message,
                                               core::time_point deadline);
    attempt_result check_answer(const exchange_record& record, http::response response);
    core::asio::awaitable<void> run_probe_loop();
    core::asio::awaitable<void> probe(record_pointer record);
    void apply_probe_result(const record_pointer& record, request_state state);
    void rebuild();

    core::asio::any_io_executor strand_;
    http::endpoint peer_;
    std::size_t max_idle_;
    routing_counters& counters_;
    std::vector<connection_pointer> idle_;
    std::list<record_pointer> in_flight_;
    std::uint64_t generation_ = 0;
    bool is_probe_loop_running_ = false;
};

} // namespace briarfold::routing::internal
