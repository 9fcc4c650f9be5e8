#include "routing/entry.hpp"

#include "routing/internal/entry_state.hpp"
#include "routing/internal/request_check.hpp"

#include <nlohmann/json.hpp>

namespace briarfold::routing {

namespace {

namespace asio = core::asio;

constexpr std::int64_t ms_per_second = 1000;
/// Maximum wait for admission. A router's share of the concurrency limit follows the demand within about 100
/// ms; without a wait, customers below their limit were refused whenever their traffic began at another
/// router.
constexpr core::duration admission_hold{400};
constexpr core::duration admission_poll{40};
/// Maximum number of requests that wait for admission. Further ones are refused at once, so that an overload
/// is not buffered in the entry.
constexpr std::size_t max_waiting_admissions = 256;

std::string refusal_body(const wire::forward_result& result, const std::string& request_id)
{
    const nlohmann::json body = {{"outcome", to_string(result.outcome)},
                                 {"step", result.step},
                                 {"peer", result.peer},
                                 {"reason", result.reason},
                                 {"request_id", request_id},
                                 {"retry_after_ms", result.retry_after.ms}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::response to_response(wire::forward_result&& result, const std::string& request_id)
{
    http::response answer(result.status, std::move(result.headers));
    answer.headers.emplace_back("X-Request-Id", request_id);
    answer.headers.emplace_back("X-Briarfold-Outcome", std::string(to_string(result.outcome)));
    if (result.outcome == outcome::answered)
    {
        answer.body = std::move(result.body);
        return answer;
    }
    answer.headers.emplace_back("Content-Type", "application/json");
    if (result.retry_after.ms > 0)
    {
        const auto seconds = (result.retry_after.ms + ms_per_second - 1) / ms_per_second;
        answer.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    answer.body = refusal_body(result, request_id);
    return answer;
}

wire::forward_result to_result(const internal::refusal& error)
{
    auto result = make_not_run(error.step, "", "", error.reason);
    result.status = error.status;
    result.retry_after = error.retry_after;
    return result;
}

void count(routing_counters& counters, outcome value)
{
    auto& counter = value == outcome::answered          ? counters.answered
                    : value == outcome::refused_not_run ? counters.refused
                                                        : counters.unknown;
    ++counter;
}

} // namespace

struct entry::state : internal::entry_state
{
    using internal::entry_state::entry_state;

    asio::awaitable<wire::forward_result> admit_and_route(std::shared_ptr<internal::entry_request> request);
    asio::awaitable<admission> wait_for_admission(std::shared_ptr<internal::entry_request> request,
                                                  admission decision);
    void report_call(const wire::forward_request& request) const;
    void report_outcome(const wire::forward_request& request, const wire::forward_result& result) const;
    void report_span(const internal::entry_request& request, const wire::forward_result& result) const;

    std::atomic<std::size_t> waiting_admissions{0};
};

asio::awaitable<admission> entry::state::wait_for_admission(std::shared_ptr<internal::entry_request> request,
                                                            admission decision)
{
    const auto limit = std::min(request->deadline, core::clock::now() + admission_hold);
    if (++waiting_admissions > max_waiting_admissions)
    {
        --waiting_admissions;
        co_return decision;
    }
    ++counters.holds;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!decision.is_admitted && decision.is_transient && core::clock::now() + admission_poll < limit)
    {
        timer.expires_after(std::chrono::milliseconds(admission_poll.ms));
        co_await timer.async_wait(asio::use_awaitable);
        decision = hooks.admit(request->forward.customer, request->forward.service);
    }
    --waiting_admissions;
    co_return decision;
}

asio::awaitable<wire::forward_result>
entry::state::admit_and_route(std::shared_ptr<internal::entry_request> request)
{
    admission decision;
    if (hooks.admit)
    {
        decision = hooks.admit(request->forward.customer, request->forward.service);
    }
    if (!decision.is_admitted && decision.is_transient)
    {
        decision = co_await wait_for_admission(request, std::move(decision));
    }
    if (!decision.is_admitted)
    {
        auto result = make_not_run("limit", "", "limit", decision.reason);
        result.status = status::too_many_requests;
        result.retry_after = std::max(decision.retry_after, core::duration{1});
        co_return result;
    }
    co_return co_await route(request);
}

void entry::state::report_call(const wire::forward_request& request) const
{
    if (!hooks.on_call)
    {
        return;
    }
    call_event event;
    event.request_id = request.request_id;
    event.customer = request.customer;
    event.service = request.service;
    event.key = request.key;
    event.is_idempotent = request.is_idempotent;
    hooks.on_call(event);
}

void entry::state::report_outcome(const wire::forward_request& request,
                                  const wire::forward_result& result) const
{
    if (!hooks.on_outcome)
    {
        return;
    }
    outcome_event event;
    event.request_id = request.request_id;
    event.outcome = result.outcome;
    event.status = result.status;
    event.answer_id = request.request_id;
    event.body = result.body;
    event.peer = result.peer;
    event.reason = result.reason;
    hooks.on_outcome(event);
}

void entry::state::report_span(const internal::entry_request& request,
                               const wire::forward_result& result) const
{
    if (!hooks.on_span)
    {
        return;
    }
    span value;
    value.trace_id = request.trace.trace_id;
    value.span_id = request.trace.span_id;
    value.parent_span_id = request.trace.parent_span_id;
    value.request_id = request.forward.request_id;
    value.name = "entry";
    value.start = request.wall_start;
    value.end = core::clock::wall();
    value.service = request.forward.service;
    value.backend_server = request.forward.backend_server;
    value.status = result.status;
    value.outcome = result.outcome;
    hooks.on_span(value);
}

entry::entry(const entry_parts& parts, routing_hooks hooks)
    : state_(std::make_shared<state>(parts, std::move(hooks)))
{
    const std::weak_ptr<state> weak = state_;
    parts.ownership.on_map_change([weak](const std::shared_ptr<const ownership::iownership_map>&) {
        if (const auto self = weak.lock())
        {
            self->map_changed.notify();
        }
    });
}

entry::~entry() = default;

asio::awaitable<http::response> entry::answer(http::request message,
                                              std::shared_ptr<core::cancellation> cancel)
{
    const auto self = state_;
    const internal::in_flight_guard counted(self->in_flight);
    ++self->counters.requests;
    auto checked = internal::check_request(std::move(message), self->hooks);
    if (checked.error || self->is_stopping)
    {
        auto result = checked.error ? to_result(*checked.error)
                                    : make_not_run("entry", "", not_run::stopping, "the router is stopping");
        count(self->counters, result.outcome);
        co_return to_response(std::move(result), checked.request.request_id);
    }
    const auto request = std::make_shared<internal::entry_request>(std::move(checked.request), cancel);
    self->report_call(request->forward);
    auto result = co_await self->admit_and_route(request);
    count(self->counters, result.outcome);
    self->report_outcome(request->forward, result);
    self->report_span(*request, result);
    co_return to_response(std::move(result), request->forward.request_id);
}

http::response entry::make_refusal_response(unsigned status, const std::string& reason)
{
    ++state_->counters.requests;
    ++state_->counters.refused;
    return to_response(to_result(internal::refusal(status, "parse", reason)), core::make_id("req"));
}

std::size_t entry::in_flight() const
{
    return state_->in_flight;
}

void entry::begin_stop()
{
    state_->is_stopping = true;
}

} // namespace briarfold::routing
