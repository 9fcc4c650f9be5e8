#include "routing/front.hpp"

#include "core/key_hash.hpp"
#include "routing/internal/backend_channel.hpp"
#include "routing/internal/trace.hpp"

#include <atomic>
#include <map>
#include <mutex>

namespace briarfold::routing {

namespace {

namespace asio = core::asio;
using internal::backend_channel;
using internal::channel_request;
using internal::row_pointer;

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

} // namespace

struct front::state
{
    state(asio::any_io_executor base, ownership::iownership& ownership_part, routing_hooks routing_hook_set,
          routing_counters& counter_part)
        : executor(std::move(base)), ownership(ownership_part), hooks(std::move(routing_hook_set)),
          counters(counter_part)
    {}

    std::shared_ptr<backend_channel> channel_for(const row_pointer& row);
    std::shared_ptr<channel_request> make_request(wire::forward_request request,
                                                  std::shared_ptr<core::cancellation> cancel) const;
    asio::awaitable<wire::forward_result> serve_at(row_pointer row, std::shared_ptr<channel_request> request);
    void report_span(const internal::trace_context& trace, core::time_point start,
                     const channel_request& request, const wire::forward_result& result) const;

    asio::any_io_executor executor;
    ownership::iownership& ownership;
    routing_hooks hooks;
    routing_counters& counters;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> is_stopping{false};
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<backend_channel>> channels;
};

std::shared_ptr<backend_channel> front::state::channel_for(const row_pointer& row)
{
    const std::scoped_lock lock(mutex);
    auto& channel = channels[row->id];
    if (!channel)
    {
        channel = std::make_shared<backend_channel>(executor, ownership, counters, row);
    }
    return channel;
}

std::shared_ptr<channel_request> front::state::make_request(wire::forward_request request,
                                                            std::shared_ptr<core::cancellation> cancel) const
{
    auto result = std::make_shared<channel_request>();
    result->deadline = core::clock::now() + request.deadline;
    if (const auto found = find_terms(hooks, request.customer); found.terms)
    {
        result->weight = found.terms->slot_share;
        result->retry_share = found.terms->retry_budget;
    }
    result->forward = std::move(request);
    result->cancel = std::move(cancel);
    return result;
}

void front::state::report_span(const internal::trace_context& trace, core::time_point start,
                               const channel_request& request, const wire::forward_result& result) const
{
    if (!hooks.on_span)
    {
        return;
    }
    span value;
    value.trace_id = trace.trace_id;
    value.span_id = trace.span_id;
    value.parent_span_id = trace.parent_span_id;
    value.request_id = request.forward.request_id;
    value.name = "front";
    value.start = start;
    value.end = core::clock::wall();
    value.service = request.forward.service;
    value.backend_server = request.forward.backend_server;
    value.status = result.status;
    value.outcome = result.outcome;
    hooks.on_span(value);
}

asio::awaitable<wire::forward_result> front::state::serve_at(row_pointer row,
                                                             std::shared_ptr<channel_request> request)
{
    const auto start = core::clock::wall();
    const auto trace = internal::start_span(request->forward.traceparent);
    request->traceparent = trace.to_header();
    const auto channel = channel_for(row);
    auto result =
        co_await asio::co_spawn(channel->strand(), channel->serve(request, row), asio::use_awaitable);
    report_span(trace, start, *request, result);
    co_return result;
}

front::front(asio::any_io_executor executor, ownership::iownership& ownership, routing_hooks hooks,
             routing_counters& counters)
    : state_(std::make_shared<state>(std::move(executor), ownership, std::move(hooks), counters))
{}

front::~front() = default;

asio::awaitable<wire::forward_result> front::serve(wire::forward_request request,
                                                   std::shared_ptr<core::cancellation> cancel)
{
    const auto self = state_;
    ++self->counters.front_requests;
    if (self->is_stopping)
    {
        co_return make_not_run("front", "", not_run::stopping, "the router is stopping");
    }
    const in_flight_guard counted(self->in_flight);
    const auto row = self->ownership.map()->find(request.backend_server);
    if (!row)
    {
        co_return make_not_run("front", "", not_run::not_owner, "unknown backend server");
    }
    const auto channel_request = self->make_request(std::move(request), std::move(cancel));
    co_return co_await self->serve_at(row, channel_request);
}

std::size_t front::in_flight() const
{
    return state_->in_flight;
}

void front::begin_stop()
{
    state_->is_stopping = true;
}

} // namespace briarfold::routing
