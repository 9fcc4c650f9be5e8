#include "leader/leader_state.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::leader {

namespace {

/// Approximate share of its speed that a cold backend server has when no rate is configured for it.
constexpr double cold_speed_share = 0.5;
/// Mean work before the first report: between the work times of the current services, 64 to 290 ms.
constexpr double default_mean_work_ms = 150;
/// Withdrawals that may be in progress at the same time in one service. A move takes about a second, and hot
/// keys spread over a large service within a few moves.
constexpr std::size_t min_withdrawal_limit = 12;
constexpr std::size_t servers_per_withdrawal = 3;
constexpr double load_window_ms = 3000;
/// Total load of a service, in slots, below which no moves are planned: the load measured so far says too
/// little.
constexpr double min_total_load = 0.5;

void remove_overlapping_handovers(std::vector<directory::handover>& handovers,
                                  const keyspace::key_range& range)
{
    std::erase_if(handovers, [&](const directory::handover& item) {
        return !keyspace::set_intersection({item.range}, {range}).empty();
    });
}

} // namespace

bool leader_state::can_accept_keys(const std::string& id, core::time_point now) const
{
    const auto& entry = published_.entries.at(id);
    const auto& state = entry_states_.at(id);
    return entry.is_listed && !entry.server.is_draining && !is_evacuated(entry) && !state.unregistered_at &&
           !state.unreachable_since && !entry.front.empty() && is_alive(entry.front, now);
}

bool leader_state::can_any_accept_keys(const std::string& service, core::time_point now) const
{
    return std::ranges::any_of(published_.entries, [&](const auto& item) {
        return item.second.server.service == service && can_accept_keys(item.first, now);
    });
}

double leader_state::cold_capacity(const std::string& service, double warm_capacity) const
{
    const auto rate = cold_rates_.find(service);
    if (rate == cold_rates_.end())
    {
        return cold_speed_share * warm_capacity;
    }
    constexpr double ms_per_s = 1000;
    const auto mean = mean_work_ms_.find(service);
    return rate->second * (mean == mean_work_ms_.end() ? default_mean_work_ms : mean->second) / ms_per_s;
}

std::vector<keyspace::holder> leader_state::holders(const std::string& service, core::time_point now) const
{
    std::vector<keyspace::holder> list;
    for (const auto& [id, entry] : published_.entries)
    {
        if (entry.server.service != service)
        {
            continue;
        }
        const auto& state = entry_states_.at(id);
        keyspace::holder item;
        item.id = id;
        item.capacity = entry.server.slots / std::max(state.slowness, 0.1);
        if (now < std::max(state.cold_until, state.reported_cold_until))
        {
            item.capacity = std::min(item.capacity, cold_capacity(service, item.capacity));
        }
        item.keys = keyspace::set_difference(state.next_keys, entry.withdrawn);
        item.can_receive = can_accept_keys(id, now);
        item.can_give = item.can_receive;
        list.push_back(std::move(item));
    }
    // Keys that are being moved count as keys of their destination.
    if (const auto moves = planned_moves_.find(service); moves != planned_moves_.end())
    {
        for (const auto& move : moves->second)
        {
            const auto position = std::ranges::find(list, move.to, &keyspace::holder::id);
            if (position != list.end())
            {
                position->keys = keyspace::set_union(position->keys, {move.range});
                position->can_give = false;
            }
        }
    }
    return list;
}

void leader_state::assign_keys(const std::string& id, const keyspace::key_range& range,
                               const std::string& handover)
{
    auto& state = entry_states_[id];
    state.next_keys = keyspace::set_union(state.next_keys, {range});
    remove_overlapping_handovers(state.next_handovers, range);
    if (!handover.empty())
    {
        state.next_handovers.push_back({range, handover});
    }
    mark_dirty(id);
}

void leader_state::on_keys_freed(const freed_report& report, const std::string& router, std::int64_t revision,
                                 core::time_point now)
{
    const auto position = published_.entries.find(report.backend_server);
    if (position == published_.entries.end() || position->second.front != router)
    {
        return;
    }
    auto& state = entry_states_[report.backend_server];
    const auto& entry = position->second;
    // A report that was delayed may speak of an earlier withdrawal of keys that were granted again since.
    keyspace::key_set known;
    for (const auto& item : state.withdrawals)
    {
        if (item.revision <= revision)
        {
            known.push_back(item.range);
        }
    }
    const auto withdrawn = keyspace::set_intersection(keyspace::normalized(known), entry.withdrawn);
    // A front repeats its report until the directory no longer lists the keys.
    const auto newly_freed = keyspace::set_difference(
        keyspace::set_intersection(keyspace::set_intersection({report.range}, withdrawn), state.next_keys),
        state.freed);
    for (const auto& range : newly_freed)
    {
        state.freed = keyspace::set_union(state.freed, {range});
        state.next_keys = keyspace::set_difference(state.next_keys, {range});
        remove_overlapping_handovers(state.next_handovers, range);
        mark_dirty(report.backend_server);
        on_decision_("keys freed", report.backend_server,
                     {{"first", range.first}, {"last", range.last}, {"warm", !report.handover.empty()}});
        reassign_freed_keys(range, report.handover, report.backend_server, now);
    }
}

void leader_state::reassign_freed_keys(const keyspace::key_range& range, const std::string& handover,
                                       const std::string& from, core::time_point now)
{
    const auto& service = find_entry(from).server.service;
    auto& moves = planned_moves_[service];
    const auto planned = std::ranges::find_if(moves, [&](const keyspace::key_move& move) {
        return move.from == from && !keyspace::set_intersection({move.range}, {range}).empty();
    });
    if (planned != moves.end())
    {
        const auto to = planned->to;
        const bool can_take_range = keyspace::covers({planned->range}, {range}) &&
                                    published_.entries.contains(to) && can_accept_keys(to, now);
        moves.erase(planned);
        if (can_take_range)
        {
            assign_keys(to, range, handover);
            return;
        }
    }
    for (const auto& part : keyspace::place({range}, holders(service, now), loads_of(service)))
    {
        assign_keys(part.to, part.range, handover);
    }
}

void leader_state::withdraw_unavailable(core::time_point now)
{
    for (auto& [id, entry] : published_.entries)
    {
        auto& state = entry_states_[id];
        if (entry.is_listed && state.unregistered_at &&
            now - *state.unregistered_at >= settings_.reregistration_grace)
        {
            entry.is_listed = false;
            on_decision_("backend server gone", id, {});
            bump_revision(id);
        }
        const bool has_left = !entry.is_listed && state.unregistered_at &&
                              now - *state.unregistered_at >= settings_.reregistration_grace;
        const bool is_unreachable =
            state.unreachable_since && now - *state.unreachable_since >= settings_.unreachable_timeout;
        if (!has_left && !entry.server.is_draining && !is_unreachable && !is_evacuated(entry))
        {
            continue;
        }
        if (keyspace::covers(entry.withdrawn, entry.keys))
        {
            continue;
        }
        if (has_left || can_any_accept_keys(entry.server.service, now))
        {
            withdraw(id, entry.keys,
                     has_left                   ? "gone"
                     : entry.server.is_draining ? "draining"
                     : is_unreachable           ? "unreachable"
                                                : "evacuated");
        }
    }
}

void leader_state::assign_initial_keys(core::time_point now)
{
    if (is_withholding(now))
    {
        return;
    }
    const bool is_settled =
        now - last_registration_ >= settings_.settle_time && now - started_ >= settings_.settle_time;
    if (!is_settled && now - started_ < settings_.max_settle_time)
    {
        return;
    }
    for (const auto& service : keyed_services_)
    {
        if (initialized_services_.contains(service))
        {
            continue;
        }
        const auto placed = keyspace::place_evenly(holders(service, now));
        if (placed.empty())
        {
            continue;
        }
        initialized_services_.insert(service);
        on_decision_("first assignment", service, {{"ranges", placed.size()}});
        std::ranges::for_each(placed, [&](const auto& part) { assign_keys(part.to, part.range, ""); });
    }
}

void leader_state::assign_unowned_keys(core::time_point now)
{
    if (is_withholding(now))
    {
        return;
    }
    for (const auto& service : keyed_services_)
    {
        if (!initialized_services_.contains(service))
        {
            continue;
        }
        keyspace::key_set held;
        for (const auto& [id, entry] : published_.entries)
        {
            if (entry.server.service == service)
            {
                const auto& keys = entry_states_[id].next_keys;
                held.insert(held.end(), keys.begin(), keys.end());
            }
        }
        // A range without a holder is written only after its last holder freed it.
        const auto unowned = keyspace::complement(keyspace::normalized(held));
        if (unowned.empty())
        {
            continue;
        }
        for (const auto& part : keyspace::place(unowned, holders(service, now), loads_of(service)))
        {
            assign_keys(part.to, part.range, "");
        }
    }
}

void leader_state::plan_moves(core::time_point now)
{
    const double factor = std::exp(-static_cast<double>((now - last_decay_).ms) / load_window_ms);
    last_decay_ = now;
    for (auto& [service, loads] : loads_)
    {
        std::ranges::for_each(loads, [factor](float& load) { load *= static_cast<float>(factor); });
    }
    for (const auto& service : keyed_services_)
    {
        auto& moves = planned_moves_[service];
        std::erase_if(moves, [this](const keyspace::key_move& move) {
            const auto from = published_.entries.find(move.from);
            return from == published_.entries.end() || !published_.entries.contains(move.to) ||
                   keyspace::set_intersection(from->second.withdrawn, {move.range}).empty();
        });
        const auto& loads = loads_of(service);
        auto all = holders(service, now);
        const auto max_withdrawals = std::max(min_withdrawal_limit, all.size() / servers_per_withdrawal);
        if (moves.size() >= max_withdrawals ||
            keyspace::load_of({{0, keyspace::key_count - 1}}, loads) < min_total_load)
        {
            continue;
        }
        keyspace::planner_settings planner;
        planner.max_moves = max_withdrawals - moves.size();
        for (const auto& move : keyspace::plan_moves(std::move(all), loads, planner))
        {
            moves.push_back(move);
            withdraw(move.from, {move.range}, "load");
        }
    }
}

void leader_state::remove_unregistered()
{
    std::vector<std::string> gone;
    for (const auto& [id, entry] : published_.entries)
    {
        if (!entry.is_listed && entry.keys.empty() && entry_states_[id].next_keys.empty() &&
            entry_states_[id].unregistered_at && !in_flight_entries_.contains(id))
        {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone)
    {
        mark_dirty(id);
        servers_by_front_[find_entry(id).front].erase(id);
        published_.entries.erase(id);
        entry_states_.erase(id);
        changes_.removed[id] = ++published_.revision;
    }
}

} // namespace briarfold::leader
