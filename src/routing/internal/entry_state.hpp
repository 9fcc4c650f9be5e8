/// Routing of one request from the entry to a front, with holding and retries.
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

/// Counts a request for as long as it lives.
class request_count
{
public:
    explicit request_count(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~request_count() { --count_; }
    request_count(const request_count&) = delete;
    request_count& operator=(const request_count&) = delete;

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
    /// An attempt may have run, so that a later refusal proves nothing about the request.
    bool is_unproven = false;
    /// Position in the front order; moves on when a front cannot be reached.
    std::size_t front_position = 0;
};

struct entry_state : std::enable_shared_from_this<entry_state>
{
    entry_state(const entry_parts& parts, routing_hooks hook_set)
        : ownership(parts.ownership), forwarder(parts.forwarder), membership(parts.membership),
          local_front(parts.local_front), counters(parts.counters), hooks(std::move(hook_set)),
          fronts(parts.membership)
    {}

    /// Tries until there is an outcome or the deadline passes.
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

    /// One attempt at the present owner. Sets `revision` to the map used.
    core::asio::awaitable<wire::forward_result> try_once(std::shared_ptr<entry_request> request,
                                                         std::int64_t& revision);
    core::asio::awaitable<wire::forward_result> send(std::shared_ptr<entry_request> request,
                                                     membership::router_info front);
    /// Waits for a newer map. Returns false when the request must not wait.
    core::asio::awaitable<bool> hold(std::shared_ptr<entry_request> request, std::int64_t revision);
    bool may_retry_unknown(const entry_request& request, const std::string& server, std::int64_t revision);
    void earn_retry(const entry_request& request);
    bool take_retry(const entry_request& request);

    std::mutex budget_mutex_;
    retry_budget budget_;
};

} // namespace briarfold::routing::internal
