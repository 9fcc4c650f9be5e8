#include "edge/internal/front_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
/// Time after the end of a request's time in which the backend server's own answer to it may still arrive.
constexpr core::duration answer_grace{120};

std::chrono::milliseconds to_chrono(core::duration span)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(span.ms, 1));
}

} // namespace

double front::state::slack_share() const
{
    return static_cast<double>(servers.size()) / static_cast<double>(std::max(all_servers, servers.size()));
}

std::shared_ptr<work_pool> front::state::find_pool(const wire::forward_request& request)
{
    const auto server = servers.find(request.backend_server);
    if (server != servers.end() && server->second->is_keyed())
    {
        return server->second->pool;
    }
    const auto pool = pools.find(request.service);
    return pool == pools.end() ? nullptr : pool->second;
}

dispatch::slot_state front::state::slots_of(const work_pool& pool, core::time_point now) const
{
    dispatch::slot_state slots;
    for (const auto& server : pool.servers)
    {
        slots.slots += server->limit.slots(now);
        slots.running += static_cast<int>(server->running.size());
        for (const auto& item : server->running)
        {
            const auto elapsed = static_cast<double>((now - item->sent).ms);
            // Work that takes longer than expected has, on average, a good part still before it.
            slots.remaining_ms += std::max(item->expected_ms - elapsed, item->expected_ms / 4);
        }
    }
    return slots;
}

asio::awaitable<wire::forward_result> front::state::serve(wire::forward_request request,
                                                          std::shared_ptr<core::cancellation> departure)
{
    const auto self = shared_from_this();
    const auto now = clock::now();
    const auto pool = find_pool(request);
    if (!pool)
    {
        co_return make_result(wire::outcome::refused_not_run, status_unavailable,
                              "another router is the front", "moved");
    }
    const auto item = std::make_shared<job>(executor);
    item->id = ++next_id;
    item->arrived = now;
    item->request = std::move(request);
    auto& waiting = item->waiting;
    waiting.id = item->id;
    waiting.priority = item->request.priority;
    waiting.arrived = now;
    waiting.objective_deadline = now + item->request.objective;
    waiting.deadline = now + item->request.deadline;
    const auto& first = pool->servers.front();
    const double slow = first->is_keyed() ? estimate.slowness(first->entry.server.id) : 1.0;
    waiting.work_ms = estimate.mean_ms(item->request.route) * slow;
    if (!item->request.key.empty())
    {
        waiting.key = static_cast<std::uint32_t>(std::stoul(item->request.key));
        if (first->is_keyed() && !first->grants->is_assigned(waiting.key))
        {
            co_return make_result(wire::outcome::refused_not_run, status_unavailable, "keys are moving",
                                  "moved");
        }
        offered[pool->service][waiting.key] += estimate.mean_ms(item->request.route);
    }
    const dispatch::retry_budget_settings budget{settings.retry_budget_ratio, settings.retry_budget_window,
                                                 settings.retry_budget_slack};
    budgets.try_emplace(pool->service, budget).first->second.count_request(now);
    if (auto refusal = admit(item, *pool))
    {
        log_result(*item, *refusal);
        co_return std::move(*refusal);
    }
    if (departure)
    {
        departure->set_hook([self, weak = std::weak_ptr(item), pool] {
            const auto left = weak.lock();
            if (!left)
            {
                return;
            }
            if (left->server == nullptr)
            {
                pool->queue.remove(left->id);
                std::erase_if(pool->parked, [&](const auto& parked) { return parked.id == left->id; });
                self->end_waiting(*pool, left->waiting,
                                  make_result(wire::outcome::refused_not_run, status_unavailable,
                                              "the caller left", "cancelled"));
            }
            else if (left->request.is_idempotent)
            {
                left->handle->cancel();
            }
        });
    }
    pump(pool);
    auto result = co_await run(item, pool);
    if (departure)
    {
        departure->set_hook({});
    }
    log_result(*item, result);
    co_return result;
}

std::optional<wire::forward_result> front::state::admit(const std::shared_ptr<job>& item, work_pool& pool)
{
    const auto now = clock::now();
    const auto& first = pool.servers.front();
    if (first->is_keyed() && first->unreachable_since)
    {
        auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                                   "the backend server is unreachable", "unreachable");
        refusal.retry_after = {std::max<std::int64_t>(item->request.deadline.ms / 3, 0)};
        return refusal;
    }
    const auto offer = pool.queue.offer(item->waiting, slots_of(pool, now), now);
    if (offer.is_accepted)
    {
        pool.waiting.emplace(item->id, item);
        return std::nullopt;
    }
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "forecast wait " + std::to_string(offer.forecast.ms) + " ms", "overload");
    refusal.retry_after = offer.retry_after;
    return refusal;
}

std::shared_ptr<fronted_server> front::state::choose_server(const work_pool& pool, const job* item,
                                                            core::time_point now)
{
    std::shared_ptr<fronted_server> best;
    double best_cost = 0;
    for (const auto& server : pool.servers)
    {
        const int slots = server->limit.slots(now);
        const bool is_usable = server->entry.is_listed && !server->entry.server.is_draining;
        if (static_cast<int>(server->running.size()) >= slots || (!server->is_keyed() && !is_usable))
        {
            continue;
        }
        // A backend server that failed this request is the last choice for it.
        constexpr double tried_cost = 100;
        const double cost =
            estimate.slowness(server->entry.server.id) +
            (item != nullptr && item->tried.contains(server->entry.server.id) ? tried_cost : 0);
        if (!best || cost < best_cost)
        {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

void front::state::pump(const std::shared_ptr<work_pool>& pool)
{
    while (pool->queue.size() > 0)
    {
        const auto now = clock::now();
        if (!choose_server(*pool, nullptr, now))
        {
            return;
        }
        const auto next = pool->queue.take(now);
        const auto position = pool->waiting.find(next->id);
        if (position == pool->waiting.end())
        {
            continue;
        }
        const auto item = position->second;
        const auto server = choose_server(*pool, item.get(), now);
        if (server->is_keyed() && !server->grants->may_send(next->key, now))
        {
            pool->parked.push_back(*next);
            continue;
        }
        pool->waiting.erase(position);
        start(item, server);
    }
}

void front::state::start(const std::shared_ptr<job>& item, const std::shared_ptr<fronted_server>& server)
{
    item->server = server;
    item->sent = clock::now();
    item->expected_ms = estimate.mean_ms(item->request.route) * estimate.slowness(server->entry.server.id);
    item->tried.insert(server->entry.server.id);
    ++item->sends;
    ++running;
    server->running.insert(item);
    item->wake.cancel();
}

void front::state::finish(const std::shared_ptr<job>& item)
{
    const auto server = std::exchange(item->server, nullptr);
    server->running.erase(item);
    --running;
    pump(server->pool);
}

asio::awaitable<wire::forward_result> front::state::run(std::shared_ptr<job> item,
                                                        std::shared_ptr<work_pool> pool)
{
    const auto self = shared_from_this();
    while (true)
    {
        if (!item->server && !item->ended)
        {
            boost::system::error_code ignored;
            const auto left = item->waiting.deadline - clock::now() + answer_grace;
            item->wake.expires_after(to_chrono(left));
            co_await item->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (item->ended)
        {
            co_return std::move(*item->ended);
        }
        if (!item->server)
        {
            pool->queue.remove(item->id);
            pool->waiting.erase(item->id);
            co_return make_result(wire::outcome::refused_not_run, status_unavailable,
                                  "no slot was free in time", "expired");
        }
        const auto server = item->server;
        const auto left = item->waiting.deadline - clock::now();
        http::request message(item->request.method, item->request.target, item->request.headers,
                              item->request.body);
        message = hooks.make_backend_request(std::move(message), left, server->entry.server.id);
        auto outcome = co_await server->link->exchange(std::move(message), item->request.request_id,
                                                       left + answer_grace, item->handle);
        auto result = judge(*item, outcome);
        finish(item);
        if (result)
        {
            co_return std::move(*result);
        }
        requeue(item, pool);
    }
}

void front::state::requeue(const std::shared_ptr<job>& item, const std::shared_ptr<work_pool>& pool)
{
    const bool has_moved =
        pool->servers.empty() ||
        (pool->servers.front()->is_keyed() && !pool->servers.front()->grants->is_assigned(item->waiting.key));
    if (has_moved)
    {
        item->ended =
            item->was_cut
                ? make_result(wire::outcome::unknown, status_bad_gateway, "keys moved during a retry", "")
                : make_result(wire::outcome::refused_not_run, status_unavailable, "keys moved", "moved");
        return;
    }
    pool->waiting.emplace(item->id, item);
    pool->queue.put_back(item->waiting);
    pump(pool);
}

void front::state::log_result(const job& item, const wire::forward_result& result)
{
    const auto now = clock::now();
    const auto line = [&]() -> nlohmann::json {
        return {{"request", item.request.request_id},
                {"route", item.request.route},
                {"key", item.request.key},
                {"backend_server", item.request.backend_server},
                {"status", result.status},
                {"reason", result.reason},
                {"not_run_reason", result.not_run_reason},
                {"retry_after_ms", result.retry_after.ms},
                {"deadline_ms", item.request.deadline.ms},
                {"work_ms", static_cast<int>(item.waiting.work_ms)},
                {"elapsed_ms", (now - item.arrived).ms},
                {"sends", item.sends}};
    };
    if (result.outcome == wire::outcome::answered && is_success(result.status))
    {
        log.write_sampled("served", line);
    }
    else
    {
        log.write("refused", line());
    }
}

} // namespace briarfold::edge
