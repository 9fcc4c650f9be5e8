#include "leader/leader_state.hpp"

#include <algorithm>
#include <functional>

namespace briarfold::leader {

namespace {

/// Maximum number of backend servers of a service without key ownership that are grouped on one front, and so
/// behind one queue: enough to share slots well, few enough for the processor of a small instance.
constexpr std::size_t max_group_size = 8;
/// Avoids a division by zero for a router that reports no share of a processor.
constexpr double min_cpu = 0.01;
/// The store may reject a third of the routers, among them the leader and some deputies.
constexpr std::size_t deputy_count = 3;
/// Weight of a router in a zone without leader or deputy: outweighs a processor of twice the size.
constexpr double new_zone_factor = 3;
/// Weight of a current deputy. Keeps it in place of a slightly larger router, since each change makes two
/// routers read the store again.
constexpr double incumbent_factor = 1.5;

} // namespace

void leader_state::remove_lost_routers(core::time_point now)
{
    std::vector<std::string> lost;
    for (const auto& [name, item] : published_.routers)
    {
        if (!is_alive(name, now))
        {
            lost.push_back(name);
        }
    }
    for (const auto& name : lost)
    {
        on_decision_("router lost", name, {{"silent_ms", (now - peers_[name].last_report).ms}});
        published_.routers.erase(name);
        bump_routers_revision();
    }
}

leader_state::front_tally leader_state::tally_fronts() const
{
    front_tally tally;
    for (const auto& [front, ids] : servers_by_front_)
    {
        for (const auto& id : ids)
        {
            const auto& server = published_.entries.at(id).server;
            tally.slots[front] += server.slots;
            ++tally.groups[{front, server.service}];
        }
    }
    return tally;
}

void leader_state::choose_deputies(core::time_point now)
{
    std::vector<std::string> names;
    std::set<std::string> zones{published_.routers.at(self_).zone};
    const auto score_of = [&](const directory::router& item) {
        const bool is_incumbent =
            std::ranges::find(published_.deputies, item.name) != published_.deputies.end();
        return item.cpu * (zones.contains(item.zone) ? 1 : new_zone_factor) *
               (is_incumbent ? incumbent_factor : 1);
    };
    while (names.size() < deputy_count)
    {
        const directory::router* best = nullptr;
        for (const auto& [name, item] : published_.routers)
        {
            const bool is_eligible = name != self_ && !item.is_stopping && is_alive(name, now) &&
                                     std::ranges::find(names, name) == names.end();
            if (is_eligible && (best == nullptr || score_of(item) > score_of(*best)))
            {
                best = &item;
            }
        }
        if (best == nullptr)
        {
            break;
        }
        zones.insert(best->zone);
        names.push_back(best->name);
    }
    const auto cpu_of = [this](const std::string& name) { return published_.routers.at(name).cpu; };
    std::ranges::stable_sort(names, std::greater(), cpu_of);
    if (published_.deputies != names)
    {
        published_.deputies = std::move(names);
        ++published_.revision;
    }
}

std::string leader_state::choose_front(const directory::backend_server& server, front_tally& tally,
                                       core::time_point now) const
{
    const bool is_keyed = keyed_services_.contains(server.service);
    std::string best;
    double best_cost = 0;
    for (const auto& [name, item] : published_.routers)
    {
        if (item.is_stopping || !is_alive(name, now))
        {
            continue;
        }
        // A front in another zone adds a round trip between zones to each request.
        constexpr double other_zone_cost = 1000;
        constexpr double join_group_bonus = 10000;
        const auto group = tally.groups.find({name, server.service});
        const auto grouped = group == tally.groups.end() ? 0 : group->second;
        const bool joins_group = !is_keyed && grouped > 0 && grouped < max_group_size;
        const double cost = (tally.slots[name] + server.slots) / std::max(item.cpu, min_cpu) +
                            (item.zone == server.zone ? 0 : other_zone_cost) -
                            (joins_group ? join_group_bonus : 0);
        if (best.empty() || cost < best_cost)
        {
            best = name;
            best_cost = cost;
        }
    }
    if (!best.empty())
    {
        tally.slots[best] += server.slots;
        ++tally.groups[{best, server.service}];
    }
    return best;
}

void leader_state::set_front(const std::string& id, const std::string& front, const char* reason,
                             core::time_point now)
{
    auto& entry = find_entry(id);
    auto& state = entry_states_[id];
    on_decision_("front assigned", id, {{"front", front}, {"former", entry.front}, {"reason", reason}});
    if (!entry.front.empty())
    {
        // A front that is alive applies this change; a silent one may renew until its confirmation expires.
        const auto renewals_end = is_alive(entry.front, now) ? now : now + settings_.max_confirmation_age;
        state.prior_grants_until = std::max(
            state.prior_grants_until, grants::latest_grant_end(renewals_end, settings_.max_grant_duration));
    }
    servers_by_front_[entry.front].erase(id);
    servers_by_front_[front].insert(id);
    entry.front = front;
    ++state.front_changes;
    update_token_base(id);
    bump_revision(id);
    for (auto& item : state.withdrawals)
    {
        item.revision = entry.revision;
    }
}

void leader_state::assign_fronts(core::time_point now)
{
    if (!has_known_routers_ && now - started_ < settings_.router_discovery_time)
    {
        return;
    }
    std::optional<front_tally> tally;
    for (auto& [id, entry] : published_.entries)
    {
        const auto router = published_.routers.find(entry.front);
        const bool is_served = router != published_.routers.end() && !router->second.is_stopping;
        const bool is_needed = entry.is_listed || !entry_states_[id].next_keys.empty();
        if (is_served || !is_needed)
        {
            continue;
        }
        if (!tally)
        {
            tally = tally_fronts();
        }
        const auto chosen = choose_front(entry.server, *tally, now);
        if (!chosen.empty() && chosen != entry.front)
        {
            set_front(id, chosen, entry.front.empty() ? "new" : "router lost", now);
        }
    }
}

std::map<std::string, double> leader_state::front_loads() const
{
    std::map<std::string, double> loads;
    for (const auto& [name, item] : published_.routers)
    {
        if (!item.is_stopping)
        {
            loads[name] = 0;
        }
    }
    for (const auto& [id, entry] : published_.entries)
    {
        const auto router = published_.routers.find(entry.front);
        if (router != published_.routers.end() && loads.contains(entry.front))
        {
            loads[entry.front] += entry.server.slots / std::max(router->second.cpu, min_cpu);
        }
    }
    return loads;
}

void leader_state::balance_fronts(core::time_point now)
{
    const auto loads = front_loads();
    if (loads.size() < 2)
    {
        return;
    }
    const auto busiest =
        std::ranges::max_element(loads, {}, [](const auto& item) { return item.second; })->first;
    std::string best_id;
    std::string best_front;
    double best_gain = 0;
    for (const auto& [id, entry] : published_.entries)
    {
        const auto from = published_.routers.find(entry.front);
        if (from == published_.routers.end() || !entry.withdrawn.empty() || !loads.contains(entry.front))
        {
            continue;
        }
        const bool is_outside_zone = from->second.zone != entry.server.zone;
        if (!is_outside_zone && entry.front != busiest)
        {
            continue;
        }
        for (const auto& [name, load] : loads)
        {
            const auto& to = published_.routers.at(name);
            const bool is_return_to_zone = is_outside_zone && to.zone == entry.server.zone;
            // A move to another zone is worthwhile only when the routers of the zone have far more load than
            // the others.
            const double factor = is_return_to_zone ? 0.5 : to.zone == from->second.zone ? 1 : 3;
            const double step = entry.server.slots / std::max(to.cpu, min_cpu);
            const double gain = loads.at(entry.front) - load - factor * 2 * step;
            if (name != entry.front && is_alive(name, now) && gain > best_gain)
            {
                best_gain = gain;
                best_id = id;
                best_front = name;
            }
        }
    }
    if (!best_id.empty())
    {
        set_front(best_id, best_front, "balance", now);
    }
}

} // namespace briarfold::leader
