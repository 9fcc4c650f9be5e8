#include "routing/internal/backend_channel.hpp"

#include "core/error.hpp"
#include "core/key_hash.hpp"
#include "core/pause.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::routing::internal {

namespace {

namespace asio = core::asio;
using namespace core::literals;
using kind = attempt_result::kind;

/// A leaving backend server must get no new work after 3 s; the other 500 ms cover the replica's lag.
constexpr core::duration leaving_limit{2500};
/// Time without an answer after which an exchange is probed, so that silent connections are found within 1 s.
constexpr core::duration first_probe_delay{500};
/// Probe delay that is longer than any deadline, for an exchange that must not be probed.
constexpr core::duration no_probe{std::int64_t{24} * 3600 * 1000};
constexpr core::duration retry_delay{5};
constexpr core::duration shed_delay{20};
/// Timeout of a cancel request after the deadline; within the grace period for which the entry waits.
constexpr core::duration cancel_timeout{100};
/// Interval and maximum duration of polling an overdue request. Backend servers honour deadlines, so an
/// overdue request ends soon; the maximum applies to a backend server that does not.
constexpr core::duration overdue_poll{100};
constexpr core::duration overdue_limit{5000};

bool is_stripped_header(std::string_view name)
{
    return http::equal_ignoring_case(name, "X-Request-Id") ||
           http::equal_ignoring_case(name, "Content-Length") ||
           http::equal_ignoring_case(name, "Transfer-Encoding") ||
           http::equal_ignoring_case(name, "Connection") || http::equal_ignoring_case(name, "Keep-Alive");
}

http::request make_backend_request(const channel_request& request)
{
    const auto& forward = request.forward;
    constexpr std::size_t added_headers = 6;
    http::request message(forward.method, "/work/" + forward.service + forward.target, {}, forward.body);
    message.headers.reserve(forward.headers.size() + added_headers);
    message.headers = forward.headers;
    message.headers.emplace_back("X-Request-Id", forward.request_id);
    message.headers.emplace_back("X-Briarfold-Key", forward.key);
    message.headers.emplace_back("X-Briarfold-Customer", forward.customer);
    message.headers.emplace_back("traceparent", request.traceparent);
    return message;
}

wire::forward_result make_answer(http::response response)
{
    wire::forward_result result;
    result.outcome = outcome::answered;
    result.status = response.status;
    std::erase_if(response.headers, [](const http::header& item) { return is_stripped_header(item.name); });
    result.headers = std::move(response.headers);
    result.body = std::move(response.body);
    return result;
}

} // namespace

backend_channel::backend_channel(const asio::any_io_executor& executor, ownership::iownership& ownership,
                                 routing_counters& counters, row_pointer row)
    : strand_(core::make_strand(executor)), ownership_(ownership), counters_(counters), row_(std::move(row)),
      peer_(http::to_string(row_->address)),
      gate_(std::make_shared<slot_gate>(strand_, row_->slots, counters)),
      pool_(std::make_shared<connection_pool>(strand_, row_->address, row_->connections, counters))
{}

void backend_channel::update(const row_pointer& row)
{
    if (row != row_)
    {
        if (row->slots != row_->slots)
        {
            gate_->set_slots(row->slots);
        }
        row_ = row;
        peer_ = http::to_string(row->address);
        pool_->set_peer(row->address);
    }
    const bool is_leaving = row_->intent == ownership::intent::leaving;
    if (!is_leaving)
    {
        leaving_since_ = {};
    }
    else if (leaving_since_.ms == 0)
    {
        leaving_since_ = core::clock::now();
    }
}

std::string backend_channel::refusal_reason(const wire::forward_request& request) const
{
    switch (row_->intent)
    {
    case ownership::intent::leaving:
        if (core::clock::now() - leaving_since_ > leaving_limit)
        {
            return std::string(not_run::draining);
        }
        break;
    case ownership::intent::stopped:
    case ownership::intent::lost:
        return std::string(not_run::not_owner);
    case ownership::intent::joining:
    case ownership::intent::active:
        break;
    }
    if (!row_->checks_grants && !may_send_unchecked(request))
    {
        return std::string(not_run::not_owner);
    }
    return {};
}

bool backend_channel::may_send_unchecked(const wire::forward_request& request) const
{
    // The backend server would run any request, so this router checks the ownership of the key instead.
    const auto owner = ownership_.map()->owner(request.service, core::key_hash(request.service, request.key));
    return owner && owner->id == row_->id && ownership_.unchecked_authority(row_->id) > 0_ms;
}

asio::awaitable<wire::forward_result> backend_channel::serve(std::shared_ptr<channel_request> request,
                                                             row_pointer row)
{
    const auto self = shared_from_this();
    update(row);
    if (auto reason = refusal_reason(request->forward); !reason.empty())
    {
        co_return make_not_run("front", peer_, reason, "the backend server accepts no new work");
    }
    const auto& forward = request->forward;
    budget_.on_request(forward.customer, request->retry_share);
    const auto slot =
        co_await gate_->acquire(forward.customer, request->weight, request->deadline, request->cancel);
    if (slot == slot_result::overloaded)
    {
        co_return make_not_run("queue", peer_, not_run::overload, "the queue of the backend server is full");
    }
    if (slot == slot_result::expired)
    {
        co_return make_not_run("queue", peer_, not_run::expired, "no slot came free before the deadline");
    }
    if (slot == slot_result::cancelled)
    {
        co_return make_not_run("queue", peer_, not_run::cancelled, "the caller gave up");
    }
    co_return co_await attempt_with_retries(std::move(request));
}

void backend_channel::release(const channel_request& request, core::time_point started)
{
    gate_->release(request.forward.customer, core::clock::now() - started);
}

bool backend_channel::may_retry(const channel_request& request)
{
    if (core::clock::now() + retry_delay >= request.deadline ||
        (request.cancel && request.cancel->is_cancelled()))
    {
        return false;
    }
    if (!budget_.try_take(request.forward.customer))
    {
        ++counters_.retries_over_budget;
        return false;
    }
    ++counters_.front_retries;
    return true;
}

asio::awaitable<wire::forward_result>
backend_channel::attempt_with_retries(std::shared_ptr<channel_request> request)
{
    const auto started = core::clock::now();
    auto probe_delay = first_probe_delay;
    // An earlier attempt may have run, so a later refusal does not prove that the request did not run.
    bool may_have_run = false;
    wire::forward_result result;
    for (;;)
    {
        auto last = co_await attempt(request, probe_delay);
        if (last.outcome == kind::answered)
        {
            result = make_answer(std::move(last.response));
            break;
        }
        if (last.outcome == kind::timed_out)
        {
            // The coroutine releases the slot, which stays in use while the request may still be running.
            result = co_await resolve_timeout(request);
            asio::co_spawn(strand_, hold_slot_until_finished(request, started), asio::detached);
            co_return may_have_run
                ? make_unknown(status::gateway_timeout, "backend server", peer_, last.reason)
                : result;
        }
        if (last.outcome == kind::cancelled_by_probe)
        {
            // No more probes: the backend server may report the state of the cancelled attempt for the new
            // one, and a retry based on it would run the request twice.
            request->was_cancelled_by_probe = true;
            probe_delay = no_probe;
            continue;
        }
        const bool is_shed = last.outcome == kind::not_run && last.reason == not_run::shed;
        const bool is_lost = last.outcome == kind::lost;
        may_have_run = may_have_run || is_lost;
        if ((is_shed || (is_lost && request->forward.is_idempotent)) && may_retry(*request))
        {
            co_await core::pause_for(is_shed ? shed_delay : retry_delay);
            continue;
        }
        if (may_have_run)
        {
            result = make_unknown(status::bad_gateway, "backend server", peer_, last.reason);
        }
        else if (last.outcome == kind::not_sent)
        {
            result = make_not_run("connect", peer_, not_run::unreachable, last.reason);
        }
        else
        {
            result = make_not_run("backend server", peer_, last.reason, "refused by the backend server");
        }
        break;
    }
    release(*request, started);
    co_return result;
}

asio::awaitable<attempt_result> backend_channel::attempt(std::shared_ptr<channel_request> request,
                                                         core::duration probe_delay)
{
    const auto self = shared_from_this();
    // Check again, because the row may have changed while the request waited for its slot.
    if (auto reason = refusal_reason(request->forward); !reason.empty())
    {
        co_return attempt_result(kind::not_run, std::move(reason));
    }
    auto deadline = request->deadline;
    if (!row_->checks_grants)
    {
        // A new owner waits until the longest deadline of such requests has passed.
        deadline = std::min(deadline, core::clock::now() + ownership::timing::max_unchecked_deadline);
    }
    if (request->cancel)
    {
        request->cancel->set_hook([self, request] {
            const auto cancel = [self, request]() -> asio::awaitable<void> {
                co_await self->pool_->cancel(request->forward.request_id, cancel_timeout, 1);
            };
            asio::co_spawn(self->strand_, cancel, asio::detached);
        });
    }
    auto result = co_await pool_->exchange(make_backend_request(*request), request->forward.request_id,
                                           deadline, probe_delay);
    if (request->cancel)
    {
        request->cancel->set_hook({});
    }
    co_return result;
}

asio::awaitable<wire::forward_result>
backend_channel::resolve_timeout(std::shared_ptr<channel_request> request)
{
    auto state = request_state::no_answer;
    if (!request->was_cancelled_by_probe)
    {
        state = co_await pool_->cancel(request->forward.request_id, cancel_timeout, 0);
    }
    if (state == request_state::cancelled_before_start)
    {
        co_return make_not_run("backend server", peer_, not_run::expired, "cancelled before its start");
    }
    co_return make_unknown(status::gateway_timeout, "backend server", peer_, "no answer before the deadline");
}

asio::awaitable<void> backend_channel::hold_slot_until_finished(std::shared_ptr<channel_request> request,
                                                                core::time_point started)
{
    const auto self = shared_from_this();
    const auto poll_deadline = core::clock::now() + overdue_limit;
    while (core::clock::now() < poll_deadline)
    {
        const auto state = co_await pool_->cancel(request->forward.request_id, cancel_timeout, 0);
        if (state != request_state::running)
        {
            break;
        }
        co_await core::pause_for(overdue_poll);
    }
    release(*request, started);
}

} // namespace briarfold::routing::internal
