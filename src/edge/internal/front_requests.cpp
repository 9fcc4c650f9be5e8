#include "edge/internal/front_state.hpp"
#include "routes/evacuations.hpp"

#include <algorithm>
#include <ranges>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_unavailable = 503;
/// Time for which a backend server with keys that leaves still gets requests. Its keys move meanwhile, unless
/// the leader is slow or lost.
constexpr core::duration max_leaving_time{1000};
constexpr core::duration leaving_retry_after{600};
/// Time in which a leader that works has moved the keys of an evacuated zone to other backend servers.
constexpr core::duration evacuation_retry_after{600};
/// Time for which the word of a deputy that a registration is gone goes before the directory. It is repeated
/// until the leader has read the registry.
constexpr core::duration max_gone_time{4000};
/// Time after the deadline of a request in which the backend server's own answer may still arrive.
constexpr core::duration answer_grace{120};
/// Weight of one request in the mean work of a pool, which covers about the last 50.
constexpr double mean_work_weight = 0.02;

std::chrono::milliseconds to_chrono(core::duration span)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(span.ms, 1));
}

} // namespace

std::shared_ptr<request_pool> front::state::find_pool(const wire::forward_request& request)
{
    const auto server = servers.find(request.backend_server);
    if (server != servers.end() && server->second->is_keyed())
    {
        return server->second->pool;
    }
    const auto pool = pools.find(request.service);
    return pool == pools.end() ? nullptr : pool->second;
}

dispatch::slot_state front::state::count_slots(const request_pool& pool, core::time_point now) const
{
    dispatch::slot_state slots;
    // While all are cold, the rate is checked before the slots.
    const bool are_all_cold = !find_cold(pool, now).empty();
    for (const auto& server : pool.servers)
    {
        const int free_limit = is_evacuated(*server, now) ? 0 : server->limit.slots(now);
        const int usable =
            are_all_cold ? free_limit
                         : static_cast<int>(server->cold.usable_slots(free_limit, pool.mean_work_ms, now));
        const auto server_running = static_cast<int>(server->running.size());
        slots.slots += usable;
        slots.running += usable < free_limit ? std::min(server_running, usable) : server_running;
        for (const auto& pending : server->running)
        {
            const auto elapsed = static_cast<double>((now - pending->sent).ms);
            // Work that takes longer than expected still has, on average, a considerable part left.
            slots.remaining_ms += std::max(pending->expected_ms - elapsed, pending->expected_ms / 4);
        }
    }
    return slots;
}

asio::awaitable<wire::forward_result> front::state::serve(wire::forward_request request,
                                                          std::shared_ptr<core::cancellation> cancellation)
{
    const auto self = shared_from_this();
    const auto now = clock::now();
    const auto pool = find_pool(request);
    if (!pool)
    {
        co_return make_result(wire::outcome::refused_not_run, status_unavailable,
                              "another router is the front", "moved");
    }
    const auto pending = std::make_shared<pending_request>(executor);
    pending->id = ++next_id;
    pending->arrived = now;
    pending->request = std::move(request);
    const auto& tried = pending->request.tried_servers;
    pending->tried_servers.insert(tried.begin(), tried.end());
    auto& waiting = pending->waiting;
    waiting.id = pending->id;
    waiting.priority = pending->request.priority;
    waiting.arrived = now;
    waiting.objective_deadline = now + pending->request.objective;
    waiting.deadline = now + pending->request.deadline;
    waiting.ends_with_process = pending->request.is_entry_stopping;
    waiting.is_retry = pending->request.is_retry;
    if (pending->request.client_time_left.ms > 0)
    {
        waiting.client_deadline = now + pending->request.client_time_left;
    }
    if (process_end)
    {
        cap_deadline(waiting, *process_end);
    }
    const auto& first = pool->servers.front();
    const double slow = first->is_keyed() ? estimate.slowness(first->entry.server.id) : 1.0;
    const double mean_ms = estimate.mean_ms(pending->request.route);
    waiting.work_ms = mean_ms * slow;
    pool->mean_work_ms +=
        pool->mean_work_ms > 0 ? mean_work_weight * (mean_ms - pool->mean_work_ms) : mean_ms;
    if (!pending->request.key.empty())
    {
        waiting.key = static_cast<std::uint32_t>(std::stoul(pending->request.key));
        if (first->is_keyed() && !first->grants->is_assigned(waiting.key))
        {
            co_return make_result(wire::outcome::refused_not_run, status_unavailable, "keys are moving",
                                  "moved");
        }
        offered_work[pool->service][waiting.key] += estimate.mean_ms(pending->request.route);
    }
    if (auto refusal = admit(pending, *pool))
    {
        refusal->queue_load = measure_load(*pool);
        log_result(*pending, *refusal);
        co_return std::move(*refusal);
    }
    if (cancellation)
    {
        cancellation->set_hook([self, weak = std::weak_ptr(pending), pool] {
            const auto departed = weak.lock();
            if (!departed)
            {
                return;
            }
            if (departed->server == nullptr)
            {
                pool->queue.remove(departed->id);
                std::erase_if(pool->awaiting_grant,
                              [&](const auto& candidate) { return candidate.id == departed->id; });
                self->end_waiting(*pool, departed->waiting,
                                  make_result(wire::outcome::refused_not_run, status_unavailable,
                                              "the caller left", "cancelled"));
            }
            else if (departed->request.is_idempotent)
            {
                departed->handle->cancel();
            }
        });
    }
    start_waiting(pool);
    auto result = co_await run(pending, pool);
    if (cancellation)
    {
        cancellation->set_hook({});
    }
    result.queue_load = measure_load(*pool);
    log_result(*pending, result);
    co_return result;
}

double front::state::measure_load(const request_pool& pool) const
{
    const auto slots = count_slots(pool, clock::now());
    return (slots.running + static_cast<double>(pool.queue.size())) / std::max(slots.slots, 1);
}

std::optional<wire::forward_result> front::state::admit(const std::shared_ptr<pending_request>& pending,
                                                        request_pool& pool)
{
    const auto now = clock::now();
    const auto& first = pool.servers.front();
    if (first->is_keyed() && first->unreachable_since)
    {
        return make_unreachable_refusal(*first,
                                        {std::max<std::int64_t>(pending->request.deadline.ms / 3, 0)});
    }
    if (auto refusal = refuse_unavailable(pool, now))
    {
        return refusal;
    }
    if (ends_before_answer(pending->waiting, now))
    {
        return make_stopping_refusal(now);
    }
    if (auto refusal = refuse_during_pause(*pending, pool, now))
    {
        return refusal;
    }
    if (auto refusal = refuse_above_cold_rate(*pending, pool, now))
    {
        return refusal;
    }
    if (!pending->request.tried_servers.empty())
    {
        // A queue accepted it before.
        pool.queue.put_back(pending->waiting);
        pool.waiting.emplace(pending->id, pending);
        return std::nullopt;
    }
    const auto offer = pool.queue.offer(pending->waiting, count_slots(pool, now), now);
    for (const auto& displaced : offer.displaced)
    {
        auto rejection = make_result(wire::outcome::refused_not_run, status_unavailable,
                                     "a more urgent request took its place", "overload");
        rejection.retry_after = displaced.retry_after;
        end_waiting(pool, displaced.request, std::move(rejection));
    }
    if (offer.is_accepted)
    {
        pool.waiting.emplace(pending->id, pending);
        return std::nullopt;
    }
    if (pending->waiting.ends_with_process)
    {
        return make_stopping_refusal(now);
    }
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "forecast wait " + std::to_string(offer.forecast.ms) + " ms", "overload");
    refusal.retry_after = offer.retry_after;
    return refusal;
}

std::optional<wire::forward_result> front::state::refuse_during_pause(const pending_request& pending,
                                                                      const request_pool& pool,
                                                                      core::time_point now)
{
    const auto pause_left = [now](const auto& server) { return server->limit.rejection_pause_left(now); };
    const auto pause = std::ranges::min(pool.servers | std::views::transform(pause_left));
    const auto last_start =
        pending.waiting.deadline - core::duration{static_cast<std::int64_t>(pending.waiting.work_ms)};
    if (now + pause <= last_start || pause.ms == 0)
    {
        return std::nullopt;
    }
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "the backend server asked for a pause", "overload");
    refusal.retry_after = pause;
    return refusal;
}

void front::state::cap_deadlines(core::time_point latest)
{
    process_end = latest;
    for (const auto& [name, pool] : pools)
    {
        const auto cap = [latest](dispatch::waiting_request& item) { cap_deadline(item, latest); };
        auto queued = pool->queue.extract([](const auto&) { return true; });
        std::ranges::for_each(queued, cap);
        std::ranges::for_each(queued, [&](const auto& item) { pool->queue.put_back(item); });
        std::ranges::for_each(pool->awaiting_grant, cap);
        for (const auto& [id, pending] : pool->waiting)
        {
            cap(pending->waiting);
        }
    }
}

void front::state::cap_deadline(dispatch::waiting_request& waiting, core::time_point latest)
{
    if (waiting.deadline >= latest)
    {
        waiting.deadline = latest;
        waiting.ends_with_process = true;
    }
}

bool front::state::ends_before_answer(const dispatch::waiting_request& waiting, core::time_point now) const
{
    // Work that takes longer than this ends at the deadline, so the backend server's failure is still
    // delivered.
    constexpr double work_margin = 2;
    return waiting.ends_with_process &&
           static_cast<double>((waiting.deadline - now).ms) < work_margin * waiting.work_ms;
}

wire::forward_result front::state::make_stopping_refusal(core::time_point now) const
{
    if (!process_end)
    {
        return make_result(wire::outcome::refused_not_run, status_unavailable,
                           "the entry ends before it could answer", "entry stopping");
    }
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "the front ends before it could answer", "stopping");
    // Until this router has ended, possibly no other one can become the front.
    refusal.retry_after = std::max(*process_end - now, core::duration{0});
    return refusal;
}

std::optional<core::time_point> front::state::find_leaving_time(const fronted_server& server,
                                                                core::time_point now)
{
    const bool is_gone = server.gone_at && now - *server.gone_at < max_gone_time;
    return server.leaving_since ? server.leaving_since : is_gone ? server.gone_at : std::nullopt;
}

bool front::state::has_left(const fronted_server& server, core::time_point now)
{
    const auto since = find_leaving_time(server, now);
    return server.is_keyed() && since && now - *since > max_leaving_time;
}

bool front::state::is_evacuated(const fronted_server& server, core::time_point now) const
{
    const auto since = callbacks.evacuated_since(server.entry.server.zone);
    return since && (!server.is_keyed() || now >= routes::last_keyed_send(*since, settings.evacuation_time));
}

bool front::state::must_spare(const fronted_server& server, core::time_point now) const
{
    return has_left(server, now) || is_evacuated(server, now);
}

std::optional<wire::forward_result> front::state::refuse_unavailable(const request_pool& pool,
                                                                     core::time_point now) const
{
    if (has_left(*pool.servers.front(), now))
    {
        return make_leaving_refusal();
    }
    if (!std::ranges::all_of(pool.servers, [&](const auto& server) { return is_evacuated(*server, now); }))
    {
        return std::nullopt;
    }
    auto refusal =
        make_result(wire::outcome::refused_not_run, status_unavailable, "the zone is evacuated", "evacuated");
    refusal.retry_after = evacuation_retry_after;
    return refusal;
}

wire::forward_result front::state::make_leaving_refusal()
{
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "the backend server leaves", "leaving");
    refusal.retry_after = leaving_retry_after;
    return refusal;
}

bool front::state::takes_requests(const fronted_server& server, core::time_point now) const
{
    if (must_spare(server, now))
    {
        return false;
    }
    if (server.is_keyed())
    {
        return true;
    }
    return server.entry.is_listed && !server.entry.server.is_draining && !find_leaving_time(server, now);
}

std::shared_ptr<fronted_server>
front::state::choose_server(const request_pool& pool, const pending_request* pending, core::time_point now)
{
    std::shared_ptr<fronted_server> best;
    double best_cost = 0;
    for (const auto& server : pool.servers)
    {
        const bool has_free_slot = static_cast<int>(server->running.size()) < server->limit.slots(now);
        // The next token is for the health check, which under full demand would never get one.
        const bool is_token_taken = server->cold.is_cold(now) && is_health_check_due(*server, now);
        if (!has_free_slot || !takes_requests(*server, now) || !server->cold.may_send(now) || is_token_taken)
        {
            continue;
        }
        // A backend server that failed this request is chosen last.
        constexpr double tried_cost = 100;
        const double cost =
            server->load.cost(estimate.slowness(server->entry.server.id), now) +
            (pending != nullptr && pending->tried_servers.contains(server->entry.server.id) ? tried_cost : 0);
        if (!best || cost < best_cost)
        {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

void front::state::start_waiting(const std::shared_ptr<request_pool>& pool)
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
        const auto pending = position->second;
        const auto server = choose_server(*pool, pending.get(), now);
        if (server->is_keyed() && !server->grants->may_send(next->key, now))
        {
            pool->awaiting_grant.push_back(*next);
            continue;
        }
        pool->waiting.erase(position);
        start(pending, server);
    }
}

void front::state::start(const std::shared_ptr<pending_request>& pending,
                         const std::shared_ptr<fronted_server>& server)
{
    pending->server = server;
    pending->sent = clock::now();
    server->cold.on_send(pending->sent);
    pending->expected_ms =
        estimate.mean_ms(pending->request.route) * estimate.slowness(server->entry.server.id);
    pending->tried_servers.insert(server->entry.server.id);
    ++pending->send_count;
    ++running;
    server->running.insert(pending);
    pending->wake_timer.cancel();
}

void front::state::finish(const std::shared_ptr<pending_request>& pending)
{
    const auto server = std::exchange(pending->server, nullptr);
    server->running.erase(pending);
    --running;
    start_waiting(server->pool);
}

asio::awaitable<wire::forward_result> front::state::run(std::shared_ptr<pending_request> pending,
                                                        std::shared_ptr<request_pool> pool)
{
    const auto self = shared_from_this();
    while (true)
    {
        if (!pending->server && !pending->early_result)
        {
            boost::system::error_code ignored;
            const auto left = pending->waiting.deadline - clock::now() + answer_grace;
            pending->wake_timer.expires_after(to_chrono(left));
            co_await pending->wake_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (pending->early_result)
        {
            co_return std::move(*pending->early_result);
        }
        if (!pending->server)
        {
            pool->queue.remove(pending->id);
            pool->waiting.erase(pending->id);
            co_return make_result(wire::outcome::refused_not_run, status_unavailable,
                                  "no slot was free in time", "expired");
        }
        const auto server = pending->server;
        const auto left = pending->waiting.deadline - clock::now();
        http::request message(pending->request.method, pending->request.target, pending->request.headers,
                              pending->request.body);
        message = adapter.make_backend_request(std::move(message), left, server->entry.server.id);
        const auto choice =
            pending->request.request_id.empty() ? connection_choice::own : connection_choice::any;
        const auto link = server->link;
        auto outcome = co_await link->exchange(std::move(message), pending->request.request_id,
                                               left + answer_grace, pending->handle, choice);
        if (link != server->link)
        {
            // The answer is that of a former process.
            outcome.head.is_leaving = false;
            outcome.head.load.reset();
            outcome.head.warmup_left.reset();
        }
        auto result = handle_outcome(*pending, outcome);
        finish(pending);
        if (result)
        {
            co_return std::move(*result);
        }
        requeue(pending, pool);
    }
}

void front::state::requeue(const std::shared_ptr<pending_request>& pending,
                           const std::shared_ptr<request_pool>& pool)
{
    const bool is_moved =
        pool->servers.empty() || (pool->servers.front()->is_keyed() &&
                                  !pool->servers.front()->grants->is_assigned(pending->waiting.key));
    if (is_moved)
    {
        pending->early_result =
            make_result(wire::outcome::refused_not_run, status_unavailable, "keys moved", "moved");
        return;
    }
    pool->waiting.emplace(pending->id, pending);
    pool->queue.put_back(pending->waiting);
    start_waiting(pool);
}

void front::state::log_result(const pending_request& pending, const wire::forward_result& result)
{
    const auto now = clock::now();
    const auto line = [&]() -> nlohmann::json {
        return {{"request", pending.request.request_id},
                {"route", pending.request.route},
                {"key", pending.request.key},
                {"backend_server", pending.request.backend_server},
                {"status", result.status},
                {"reason", result.reason},
                {"not_run_reason", result.not_run_reason},
                {"retry_after_ms", result.retry_after.ms},
                {"deadline_ms", pending.request.deadline.ms},
                {"work_ms", static_cast<int>(pending.waiting.work_ms)},
                {"elapsed_ms", (now - pending.arrived).ms},
                {"sends", pending.send_count}};
    };
    if (result.outcome == wire::outcome::answered && http::is_success(result.status))
    {
        log.write_sampled("served", line);
    }
    else
    {
        log.write("refused", line());
    }
}

} // namespace briarfold::edge
