#include "edge/internal/front_state.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarfold::edge {

namespace asio = core::asio;
using core::clock;

wire::forward_result make_result(wire::outcome outcome, unsigned status, std::string reason,
                                 std::string not_run_reason)
{
    wire::forward_result result;
    result.outcome = outcome;
    result.status = status;
    result.step = "front";
    result.reason = std::move(reason);
    result.not_run_reason = std::move(not_run_reason);
    return result;
}

front::front(asio::any_io_executor executor, settings::edge_settings settings, const protocol& adapter,
             event_log& log, metrics::registry& metrics, front_callbacks callbacks)
    : state_(std::make_shared<state>(std::move(executor), std::move(settings), adapter, log, metrics,
                                     std::move(callbacks)))
{}

front::~front() = default;

void front::apply(const directory::snapshot& snapshot, const routes::routing_config& config)
{
    state_->apply(snapshot, config);
}

void front::apply_change(const directory::snapshot& snapshot, const directory::update& change,
                         const routes::routing_config& config)
{
    if (change.is_full_snapshot)
    {
        state_->apply(snapshot, config);
        return;
    }
    state_->apply_change(snapshot, change, config);
}

asio::awaitable<wire::forward_result> front::serve(wire::forward_request request,
                                                   std::shared_ptr<core::cancellation> cancellation)
{
    const auto state = state_;
    co_return co_await state->serve(std::move(request), std::move(cancellation));
}

void front::cap_deadlines(core::time_point latest)
{
    state_->cap_deadlines(latest);
}

void front::tick()
{
    state_->tick();
}

void front::note_leaving(const leader::server_process& process, bool is_gone)
{
    const auto position = state_->servers.find(process.backend_server);
    if (position == state_->servers.end() ||
        position->second->entry.server.start_time_ms != process.start_time_ms)
    {
        return;
    }
    auto& server = *position->second;
    if (is_gone)
    {
        server.gone_at = clock::now();
    }
    else
    {
        state_->record_leaving(server);
    }
}

std::size_t front::in_flight() const
{
    return state_->running;
}

std::size_t front::queued() const
{
    std::size_t count = 0;
    for (const auto& [name, pool] : state_->pools)
    {
        count += pool->waiting.size();
    }
    return count;
}

std::size_t front::servers() const
{
    return state_->servers.size();
}

void front::fill_report(leader::router_report& report)
{
    const auto now = clock::now();
    for (const auto& [id, server] : state_->servers)
    {
        if (server->unreachable_since)
        {
            report.unreachable.push_back(id);
        }
        if (server->has_ended)
        {
            report.ended.push_back({id, server->entry.server.start_time_ms});
        }
        if (server->leaving_since && !server->entry.server.is_draining)
        {
            report.leaving.push_back({id, server->entry.server.start_time_ms});
        }
        report.needs_proof = report.needs_proof || state_->needs_proof(*server);
        if (const auto left = server->cold.left(now); left.ms > 0)
        {
            report.cold[id] = left.ms;
        }
        const double slow = state_->estimate.slowness(id);
        if (server->is_keyed())
        {
            report.slowness[id] = slow;
            if (server->grants->is_short_of_tokens())
            {
                report.short_of_tokens.push_back(id);
            }
            const auto freed = server->grants->freed(now);
            state_->log_free_keys(*server, freed, now);
            for (const auto& item : freed)
            {
                report.freed.push_back({id, item.range, item.handover});
            }
        }
    }
    for (const auto& [service, keys] : state_->offered_work)
    {
        auto& list = report.work[service];
        for (const auto& [key, work] : keys)
        {
            list.push_back({key, work});
        }
    }
    state_->offered_work.clear();
    report.answer_bytes = std::exchange(state_->answer_bytes, {});
    for (const auto& [name, pool] : state_->pools)
    {
        if (pool->mean_work_ms > 0)
        {
            report.mean_work_ms[pool->service] = pool->mean_work_ms;
        }
    }
}

front::state::state(asio::any_io_executor io_executor, settings::edge_settings initial_settings,
                    const protocol& message_adapter, event_log& decision_log,
                    metrics::registry& metrics_registry, front_callbacks owner_callbacks)
    : executor(std::move(io_executor)), settings(std::move(initial_settings)), adapter(message_adapter),
      log(decision_log), metrics(metrics_registry), callbacks(std::move(owner_callbacks))
{}

void front::state::apply(const directory::snapshot& snapshot, const routes::routing_config& config)
{
    std::vector<std::string> present;
    std::ranges::copy(std::views::keys(servers), std::back_inserter(present));
    for (const auto& id : present)
    {
        if (!snapshot.entries.contains(id))
        {
            remove_server(id);
        }
    }
    for (const auto& [id, entry] : snapshot.entries)
    {
        apply_entry(entry, config);
    }
    refresh_pools();
}

void front::state::apply_change(const directory::snapshot& snapshot, const directory::update& change,
                                const routes::routing_config& config)
{
    for (const auto& id : change.removed)
    {
        if (!snapshot.entries.contains(id) && servers.contains(id))
        {
            remove_server(id);
        }
    }
    for (const auto& [id, item] : change.changed.entries)
    {
        if (const auto entry = snapshot.entries.find(id); entry != snapshot.entries.end())
        {
            apply_entry(entry->second, config);
        }
    }
    refresh_pools();
}

void front::state::apply_entry(const directory::entry& entry, const routes::routing_config& config)
{
    const auto present = servers.find(entry.server.id);
    if (entry.front != settings.name)
    {
        if (present != servers.end())
        {
            remove_server(entry.server.id);
        }
        return;
    }
    const auto service = std::ranges::find(config.services, entry.server.service, &routes::service::name);
    if (present != servers.end())
    {
        if (service != config.services.end())
        {
            configure(*present->second, *service);
        }
        update_server(*present->second, entry);
        return;
    }
    if (service != config.services.end())
    {
        add_server(entry, *service);
    }
}

void front::state::refresh_pools()
{
    const auto all = pools;
    for (const auto& [name, pool] : all)
    {
        refuse_moved(pool);
        start_waiting(pool);
    }
    std::erase_if(pools, [](const auto& item) { return item.second->servers.empty(); });
}

void front::state::configure(fronted_server& server, const routes::service& service) const
{
    const dispatch::start_rate_settings limits{service.cold_requests_per_s, settings.cold_rate_over,
                                               settings.cold_rate_slack};
    server.cold.configure(limits, clock::now());
    server.cold_time = service.cold_time;
    // Without a rate, it does not matter whether the backend server is cold.
    server.health_path = service.cold_requests_per_s > 0 ? service.health_path : "";
}

void front::state::add_server(const directory::entry& entry, const routes::service& service)
{
    const bool is_keyed = service.has_key_ownership;
    const auto now = clock::now();
    const auto server = std::make_shared<fronted_server>(entry);
    configure(*server, service);
    server->cold.on_registration(entry.server.warmup_left, now);
    server->last_health_check = now;
    const auto& name = is_keyed ? entry.server.id : entry.server.service;
    auto& pool = pools[name];
    if (!pool)
    {
        pool = std::make_shared<request_pool>();
        pool->name = name;
        pool->service = entry.server.service;
    }
    pool->servers.push_back(server);
    server->pool = pool;
    open_links(*server);
    if (is_keyed)
    {
        server->grants.emplace(entry, now);
    }
    servers[entry.server.id] = server;
    log.write("front taken", {{"backend_server", entry.server.id},
                              {"service", entry.server.service},
                              {"keys", keyspace::size(entry.keys)},
                              {"foreign_hold_ms", entry.prior_grant_remaining.ms},
                              {"token_base", entry.token_base}});
    if (server->grants)
    {
        callbacks.request_report();
        run_grants(server);
    }
}

void front::state::open_links(fronted_server& server)
{
    const auto& address = server.entry.server.address;
    server.link =
        std::make_shared<backend_link>(executor, address, adapter, link_use::requests, callbacks.budget);
    server.control_link =
        std::make_shared<backend_link>(executor, address, adapter, link_use::control, callbacks.budget);
}

void front::state::update_server(fronted_server& server, const directory::entry& entry)
{
    if (server.entry.revision == entry.revision && server.entry.token_base == entry.token_base)
    {
        return;
    }
    const bool is_restarted = server.entry.server.start_time_ms != entry.server.start_time_ms ||
                              server.entry.server.address != entry.server.address;
    server.entry = entry;
    server.limit.set_slots(entry.server.slots);
    if (is_restarted)
    {
        server.link->close_idle();
        server.control_link->close_idle();
        open_links(server);
        server.limit = dispatch::slot_limit(entry.server.slots);
        server.unreachable_since.reset();
        server.is_replaced = false;
        server.unanswered_grant.reset();
        server.has_accepted_grant = false;
        server.has_ended = false;
        server.leaving_since.reset();
        server.gone_at.reset();
        server.cold.reset();
        server.load = {};
        estimate.forget(entry.server.id);
        callbacks.request_report();
    }
    server.cold.on_registration(entry.server.warmup_left, clock::now());
    if (server.grants)
    {
        const auto now = clock::now();
        server.grants->update(entry, now);
        if (server.has_ended && !server.grants->freed(now).empty())
        {
            callbacks.request_report();
        }
        run_grants(servers.at(entry.server.id));
    }
}

void front::state::remove_server(const std::string& id)
{
    const auto position = servers.find(id);
    const auto server = position->second;
    servers.erase(position);
    server->is_removed = true;
    std::erase(server->pool->servers, server);
    server->link->close_idle();
    server->control_link->close_idle();
    log.write("front given up", {{"backend_server", id}, {"running", server->running.size()}});
}

void front::state::log_free_keys(fronted_server& server, const std::vector<grants::freed_keys>& freed,
                                 core::time_point now)
{
    keyspace::key_set all;
    for (const auto& item : freed)
    {
        all.push_back(item.range);
        for (const auto& range : keyspace::set_difference({item.range}, server.reported_free))
        {
            const auto unanswered = std::ranges::count_if(
                server.running, [&](const auto& pending) { return range.contains(pending->waiting.key); });
            log.write("keys free", {{"backend_server", server.entry.server.id},
                                    {"first", range.first},
                                    {"last", range.last},
                                    {"proof", grants::to_text(item.proof)},
                                    {"unanswered_requests", unanswered},
                                    {"last_answer_age_ms", (now - server.last_answer).ms},
                                    {"token", server.accepted_token}});
        }
    }
    server.reported_free = keyspace::normalized(std::move(all));
}

void front::state::refuse_moved(const std::shared_ptr<request_pool>& pool)
{
    const auto is_moved = [&](const dispatch::waiting_request& waiting) {
        if (pool->servers.empty())
        {
            return true;
        }
        const auto& server = pool->servers.front();
        return server->is_keyed() && !server->grants->is_assigned(waiting.key);
    };
    for (const auto& waiting : extract_waiting(*pool, is_moved))
    {
        constexpr unsigned status_unavailable = 503;
        end_waiting(*pool, waiting,
                    make_result(wire::outcome::refused_not_run, status_unavailable, "keys moved", "moved"));
    }
}

std::vector<dispatch::waiting_request>
front::state::extract_waiting(request_pool& pool,
                              const std::function<bool(const dispatch::waiting_request&)>& matches)
{
    auto extracted = pool.queue.extract(matches);
    std::ranges::copy_if(pool.awaiting_grant, std::back_inserter(extracted), matches);
    std::erase_if(pool.awaiting_grant, matches);
    return extracted;
}

void front::state::end_waiting(request_pool& pool, const dispatch::waiting_request& waiting,
                               wire::forward_result result)
{
    const auto position = pool.waiting.find(waiting.id);
    if (position == pool.waiting.end())
    {
        return;
    }
    const auto pending = position->second;
    pool.waiting.erase(position);
    pending->early_result = std::move(result);
    pending->wake_timer.cancel();
}

} // namespace briarfold::edge
