#include "edge/internal/front_state.hpp"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <vector>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
/// A check waits for a slot and takes work time. At backend servers that report their load it does neither,
/// so that it is sent more often.
constexpr core::duration health_check_interval{5000};
constexpr core::duration cheap_health_check_interval{1000};
/// The registration shows within about two seconds that a warm backend server became cold, so that warm ones
/// are checked this many times less often.
constexpr std::int64_t warm_interval_factor = 10;
constexpr core::duration health_check_timeout{1000};

/// Whether a request that is sent after `wait` probably meets its objective.
bool meets_objective(const dispatch::waiting_request& waiting, core::duration wait, core::time_point now)
{
    const auto work = core::duration{static_cast<std::int64_t>(waiting.work_ms)};
    return now + wait + work <= waiting.objective_deadline;
}

} // namespace

std::vector<std::shared_ptr<fronted_server>> front::state::find_cold(const request_pool& pool,
                                                                     core::time_point now) const
{
    std::vector<std::shared_ptr<fronted_server>> active;
    std::ranges::copy_if(pool.servers, std::back_inserter(active),
                         [this, now](const auto& server) { return takes_requests(*server, now); });
    const bool are_all_cold =
        std::ranges::all_of(active, [now](const auto& server) { return server->cold.is_cold(now); });
    return are_all_cold ? active : std::vector<std::shared_ptr<fronted_server>>();
}

core::duration front::state::cold_wait(const request_pool& pool, std::size_t ahead,
                                       core::time_point now) const
{
    const auto cold = find_cold(pool, now);
    if (cold.empty())
    {
        return {};
    }
    // The requests ahead are spread over the backend servers.
    const auto share = ahead / cold.size();
    return std::ranges::min(
        cold | std::views::transform([&](const auto& server) { return server->cold.wait(share, now); }));
}

std::optional<wire::forward_result> front::state::refuse_above_cold_rate(const pending_request& pending,
                                                                         const request_pool& pool,
                                                                         core::time_point now)
{
    const auto goes_first = [&](const auto& item) {
        return item.second->waiting.priority <= pending.waiting.priority;
    };
    const auto ahead = static_cast<std::size_t>(std::ranges::count_if(pool.waiting, goes_first));
    const auto wait = cold_wait(pool, ahead, now);
    if (wait.ms == 0 || meets_objective(pending.waiting, wait, now))
    {
        return std::nullopt;
    }
    return make_cold_refusal(pending, pool, ahead, now);
}

wire::forward_result front::state::make_cold_refusal(const pending_request& pending, const request_pool& pool,
                                                     std::size_t ahead, core::time_point now)
{
    metrics
        .counter("briarfold_edge_cold_refusals_total",
                 "Requests that the front refused because backend servers are cold.",
                 {{"service", pool.service}})
        .add();
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "the backend server is cold", "overload");
    const auto cold = find_cold(pool, now);
    if (cold.empty())
    {
        return refusal;
    }
    const auto share = ahead / cold.size();
    const auto retry_wait = [&](const auto& server) { return server->cold.retry_wait(share, now); };
    const auto& server = *std::ranges::min_element(cold, {}, retry_wait);
    const auto wait = retry_wait(server);
    const auto work = core::duration{static_cast<std::int64_t>(pending.waiting.work_ms)};
    const auto client_time_left = pending.request.client_time_left;
    if (client_time_left.ms == 0)
    {
        // The entry asks another front, so that a reserved time would be lost.
        refusal.retry_after = wait;
    }
    else if (now + wait + work <= pending.arrived + client_time_left)
    {
        server->cold.reserve_retry(share, now);
        refusal.retry_after = wait;
    }
    return refusal;
}

void front::state::refuse_cold_surplus(request_pool& pool, core::time_point now)
{
    if (pool.waiting.empty() || find_cold(pool, now).empty())
    {
        return;
    }
    std::vector<std::shared_ptr<pending_request>> ordered;
    std::ranges::copy(std::views::values(pool.waiting), std::back_inserter(ordered));
    std::ranges::sort(ordered, {}, [](const auto& pending) {
        return std::tuple(pending->waiting.priority, pending->waiting.objective_deadline, pending->id);
    });
    std::size_t kept = 0;
    for (const auto& pending : ordered)
    {
        const auto wait = cold_wait(pool, kept, now);
        if (wait.ms == 0 || meets_objective(pending->waiting, wait, now))
        {
            ++kept;
            continue;
        }
        extract_waiting(pool, [&](const auto& waiting) { return waiting.id == pending->id; });
        end_waiting(pool, pending->waiting, make_cold_refusal(*pending, pool, kept, now));
    }
}

void front::state::record_load(fronted_server& server, const response_head& head, core::time_point now)
{
    if (head.has_malformed_load)
    {
        metrics
            .counter("briarfold_edge_malformed_loads_total",
                     "Answers whose load or warm-up time was not valid and was ignored.",
                     {{"service", server.entry.server.service}})
            .add();
        log.write_sampled("malformed load", [&]() -> nlohmann::json {
            return {{"backend_server", server.entry.server.id}};
        });
    }
    if (head.load)
    {
        server.load.on_report(*head.load, now);
    }
    if (!head.warmup_left)
    {
        return;
    }
    const bool was_cold = server.cold.is_cold(now);
    server.cold.on_statement(*head.warmup_left, now);
    if (was_cold != server.cold.is_cold(now))
    {
        log.write(was_cold ? "backend server warm" : "backend server cold",
                  {{"backend_server", server.entry.server.id}, {"left_ms", head.warmup_left->ms}});
        refuse_cold_surplus(*server.pool, now);
    }
}

bool front::state::is_health_check_due(const fronted_server& server, core::time_point now)
{
    const auto cold_interval =
        server.load.has_reported() ? cheap_health_check_interval : health_check_interval;
    const auto interval = cold_interval * (server.cold.is_cold(now) ? 1 : warm_interval_factor);
    return !server.health_path.empty() && !server.is_health_check_pending && !server.unreachable_since &&
           now - server.last_health_check >= interval;
}

void front::state::run_health_checks(core::time_point now)
{
    std::ranges::for_each(std::views::values(cold_servers), [](double& count) { count = 0; });
    for (const auto& [id, server] : servers)
    {
        cold_servers[server->entry.server.service] += server->cold.is_cold(now) ? 1 : 0;
        // A health check counts as one more request that a cold backend server gets.
        if (is_health_check_due(*server, now) && server->cold.may_send(now))
        {
            server->cold.on_send(now);
            server->last_health_check = now;
            server->is_health_check_pending = true;
            asio::co_spawn(
                executor, [self = shared_from_this(), item = server] { return self->check_health(item); },
                asio::detached);
        }
    }
    for (const auto& [service, count] : cold_servers)
    {
        metrics
            .gauge("briarfold_edge_cold_servers", "Backend servers of this front that count as cold.",
                   {{"service", service}})
            .set(count);
    }
}

asio::awaitable<void> front::state::check_health(std::shared_ptr<fronted_server> server)
{
    const auto self = shared_from_this();
    const auto link = server->control_link;
    auto message = adapter.make_backend_request(http::request("GET", server->health_path, {}, ""),
                                                health_check_timeout, server->entry.server.id);
    const auto result = co_await link->exchange(std::move(message), "", health_check_timeout, nullptr,
                                                connection_choice::own);
    server->is_health_check_pending = false;
    const bool is_answer = result.outcome == exchange_outcome::answered && !result.head.is_misdirected;
    if (server->is_removed || link != server->control_link || !is_answer)
    {
        co_return;
    }
    record_load(*server, result.head, clock::now());
    if (result.answer.status == status_ok && !result.head.has_malformed_load)
    {
        server->cold.on_health_answer();
    }
    start_waiting(server->pool);
}

} // namespace briarfold::edge
