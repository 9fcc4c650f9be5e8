/// State of the entry, and the routing of requests to a front with holding and retries.
#pragma once

#include "core/ids.hpp"
#include "core/key_hash.hpp"
#include "routing/entry.hpp"
#include "routing/internal/front_choice.hpp"
#include "routing/internal/map_signal.hpp"
#include "routing/internal/retry_budget.hpp"
#include "routing/internal/trace.hpp"

#include <atomic>
#include <memory>
#include <mutex>

namespace briarfold::routing::internal {

/// Counts a request as in flight during the lifetime of this object.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~in_flight_guard() { --count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

struct entry_request
{
    entry_request(wire::forward_request&& request, std::shared_ptr<core::cancellation> cancel_flag)
        : forward(std::move(request)), hash(core::key_hash(forward.service, forward.key)),
          deadline(core::clock::now() + forward.deadline), cancel(std::move(cancel_flag)),
          trace(start_span(forward.traceparent)), wall_start(core::clock::wall())
    {
        forward.traceparent = trace.to_header();
    }

    wire::forward_request forward;
    std::uint64_t hash;
    core::time_point deadline;
    std::shared_ptr<core::cancellation> cancel;
    trace_context trace;
    core::time_point wall_start;
    /// An earlier attempt may have run, so a later refusal does not prove that the request did not run.
    bool may_have_run = false;
    /// Position in the front order, incremented when a front is unreachable or stopping.
    std::size_t front_position = 0;
};

struct entry_state : std::enable_shared_from_this<entry_state>
{
    entry_state(const entry_parts& parts, routing_hooks hook_set)
        : ownership(parts.ownership), forwarder(parts.forwarder), membership(parts.membership),
          local_front(parts.local_front), counters(parts.counters), hooks(std::move(hook_set)),
          fronts(parts.membership)
    {}

    /// Routes the request, with retries, until it has an outcome or its deadline passes.
    core::asio::awaitable<wire::forward_result> route(std::shared_ptr<entry_request> request);

    ownership::iownership& ownership;
    wire::iforwarder& forwarder;
    membership::imembership& membership;
    ifront& local_front;
    routing_counters& counters;
    routing_hooks hooks;
    front_choice fronts;
    map_signal map_changed;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> is_stopping{false};

private:
    using server_pointer = std::shared_ptr<const ownership::backend_server>;

    /// Makes one attempt at the current owner. Sets `revision` to the revision of the map used.
    core::asio::awaitable<wire::forward_result> try_once(std::shared_ptr<entry_request> request,
                                                         std::int64_t& revision);
    core::asio::awaitable<wire::forward_result> send(std::shared_ptr<entry_request> request,
                                                     membership::router_info front);
    /// Waits a short time for a newer map, unless there is one already. Returns true when the request may be
    /// retried; false when it is cancelled, its deadline has passed or too many requests are waiting.
    core::asio::awaitable<bool> hold(std::shared_ptr<entry_request> request, std::int64_t revision);
    bool may_retry_unknown(const entry_request& request, const std::string& server, std::int64_t revision);
    void credit_retry_budget(const entry_request& request);
    bool try_take_retry(const entry_request& request);

    std::mutex budget_mutex_;
    retry_budget budget_;
};

} // namespace briarfold::routing::internal
