#include "routing/internal/entry_state.hpp"

#include <algorithm>

namespace briarfold::routing::internal {

namespace {

namespace asio = core::asio;
using namespace core::literals;

/// Maximum wait for a newer map before a retry. A grant can take effect without a newer map, so a held
/// request also retries when this interval has passed.
constexpr core::duration hold_interval{50};
/// Maximum number of held requests; further ones are refused, because each keeps its body in memory.
constexpr std::size_t max_held = 4096;

wire::forward_result find_refusal(const ownership::iownership_map& map, const std::string& service)
{
    if (map.revision() == 0)
    {
        return make_not_run("lookup", "", not_run::no_owner, "the slice map is not loaded yet");
    }
    if (map.has_service(service))
    {
        return make_not_run("lookup", "", not_run::no_owner, "the key has no owner");
    }
    auto result = make_not_run("lookup", "", "", "unknown service");
    result.status = status::not_found;
    result.retry_after = {};
    return result;
}

std::string budget_key(const entry_request& request)
{
    return request.forward.customer + "/" + request.forward.backend_server;
}

wire::forward_result as_unknown(wire::forward_result result)
{
    return make_unknown(status::bad_gateway, result.step, std::move(result.peer), std::move(result.reason));
}

} // namespace

asio::awaitable<wire::forward_result> entry_state::route(std::shared_ptr<entry_request> request)
{
    const auto self = shared_from_this();
    bool is_first = true;
    for (;;)
    {
        std::int64_t revision = 0;
        auto result = co_await try_once(request, revision);
        if (std::exchange(is_first, false))
        {
            credit_retry_budget(*request);
        }
        if (result.outcome == outcome::answered)
        {
            co_return result;
        }
        if (result.outcome == outcome::unknown)
        {
            request->may_have_run = true;
            if (may_retry_unknown(*request, request->forward.backend_server, revision))
            {
                continue;
            }
            co_return result;
        }
        const bool may_retry = is_retryable(result.not_run_reason) && co_await hold(request, revision);
        if (!may_retry)
        {
            co_return request->may_have_run ? as_unknown(std::move(result)) : std::move(result);
        }
    }
}

asio::awaitable<wire::forward_result> entry_state::try_once(std::shared_ptr<entry_request> request,
                                                            std::int64_t& revision)
{
    const auto map = ownership.map();
    revision = map->revision();
    const auto owner = map->owner(request->forward.service, request->hash);
    if (!owner)
    {
        co_return find_refusal(*map, request->forward.service);
    }
    if (request->forward.backend_server != owner->id)
    {
        request->forward.backend_server = owner->id;
        request->front_position = 0;
    }
    const auto order = fronts.order_for(*owner);
    if (!owner->checks_grants)
    {
        // Only the controller may send requests to a backend server that does not check grants.
        const auto position =
            std::ranges::find(*order, owner->controller, &membership::router_info::instance_id);
        if (position == order->end())
        {
            co_return make_not_run("lookup", "", not_run::no_owner,
                                   "the backend server has no live controller");
        }
        co_return co_await send(request, *position);
    }
    if (order->empty())
    {
        co_return make_not_run("lookup", "", not_run::no_owner, "no live front");
    }
    co_return co_await send(request, (*order)[request->front_position % order->size()]);
}

asio::awaitable<wire::forward_result> entry_state::send(std::shared_ptr<entry_request> request,
                                                        membership::router_info front)
{
    auto forward = request->forward;
    forward.deadline = request->deadline - core::clock::now();
    if (forward.deadline <= 0_ms)
    {
        co_return make_not_run("entry", "", not_run::expired, "the deadline passed");
    }
    if (front.instance_id == membership.self().instance_id)
    {
        ++counters.served_locally;
        co_return co_await local_front.serve(std::move(forward), request->cancel);
    }
    ++counters.forwarded;
    const http::endpoint peer(front.ip, front.peer_port);
    wire::forward_result result;
    try
    {
        result = co_await forwarder.forward(peer, std::move(forward), request->cancel);
    }
    catch (const wire::link_error& failure)
    {
        membership.report_unreachable(front.instance_id);
        result = failure.is_sent()
                     ? make_unknown(status::bad_gateway, "forward", http::to_string(peer), failure.what())
                     : make_not_run("forward", http::to_string(peer), not_run::unreachable, failure.what());
    }
    catch (const core::timeout_error& failure)
    {
        result = make_unknown(status::gateway_timeout, "forward", http::to_string(peer), failure.what());
    }
    const bool is_front_unavailable = result.step == "forward" || result.not_run_reason == not_run::stopping;
    request->front_position += is_front_unavailable ? 1 : 0;
    co_return result;
}

asio::awaitable<bool> entry_state::hold(std::shared_ptr<entry_request> request, std::int64_t revision)
{
    const auto left = request->deadline - core::clock::now();
    const bool is_cancelled_by_caller = request->cancel && request->cancel->is_cancelled();
    if (left <= 0_ms || is_cancelled_by_caller || map_changed.waiting() >= max_held)
    {
        co_return false;
    }
    ++counters.holds;
    if (ownership.map()->revision() == revision)
    {
        co_await map_changed.wait(std::min(left, hold_interval));
    }
    co_return core::clock::now() < request->deadline;
}

bool entry_state::may_retry_unknown(const entry_request& request, const std::string& server,
                                    std::int64_t revision)
{
    const bool has_front_failed = request.front_position > 0;
    const auto map = ownership.map();
    const auto owner = map->owner(request.forward.service, request.hash);
    const bool has_moved = map->revision() != revision && owner && owner->id != server;
    return request.forward.is_idempotent && (has_front_failed || has_moved) &&
           core::clock::now() < request.deadline && try_take_retry(request);
}

void entry_state::credit_retry_budget(const entry_request& request)
{
    const auto terms = find_terms(hooks, request.forward.customer).terms;
    const std::scoped_lock lock(budget_mutex_);
    budget_.on_request(budget_key(request), terms ? terms->retry_budget : 0);
}

bool entry_state::try_take_retry(const entry_request& request)
{
    const std::scoped_lock lock(budget_mutex_);
    if (!budget_.try_take(budget_key(request)))
    {
        ++counters.retries_over_budget;
        return false;
    }
    ++counters.entry_retries;
    return true;
}

} // namespace briarfold::routing::internal
