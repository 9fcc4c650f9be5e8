#include "leader/leader_state.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace briarfold::leader {

namespace {

/// Maximum number of backend servers of a service without key ownership that are grouped on one front, and so
/// behind one queue: enough to share slots well, few enough for the processor of a small instance.
constexpr std::size_t max_group_size = 8;
/// With this many routers or more, the leader is no front: its work for all routers would delay the requests.
constexpr std::size_t min_routers_to_spare_leader = 30;
/// Load of a front that is spared, above any real one, so that its backend servers move first.
constexpr double spared_load = 1e6;
/// Backend servers for each change of front in one round of balancing.
constexpr std::size_t servers_per_balance_move = 12;
/// Avoids a division by zero for a router that reports no share of a processor.
constexpr double min_cpu = 0.01;
/// Number of backend servers of a service without key ownership in one zone from which they are grouped
/// without those of other zones: fewer share slots badly, and a mixed group sends answers between zones.
constexpr std::size_t min_zone_group_size = 4;
/// Slots that the processor of a router serves per core when it is full. A full link counts as much.
constexpr double slots_per_core = 250;
/// Answers reach the front and leave it.
constexpr double transfers_per_answer = 2;
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
        if (!published_.routers.at(name).is_stopping)
        {
            lost_routers_[name] = now;
        }
        published_.routers.erase(name);
        bump_router_revision(name);
    }
    publish_lost_routers(now);
}

void leader_state::publish_lost_routers(core::time_point now)
{
    std::vector<std::string> names;
    for (const auto& [name, since] : lost_routers_)
    {
        if (now - since < settings_.lost_router_memory)
        {
            names.push_back(name);
        }
    }
    if (published_.lost_routers != names)
    {
        published_.lost_routers = std::move(names);
        ++published_.revision;
    }
}

double leader_state::slot_load(const std::string& service, double slots,
                               const directory::router& router) const
{
    const double processor_load = slots / std::max(router.cpu, min_cpu);
    const auto mbps = mbps_per_slot_.find(service);
    if (mbps == mbps_per_slot_.end() || router.bandwidth_mbps <= 0)
    {
        return processor_load;
    }
    return processor_load + slots_per_core * mbps->second * slots / router.bandwidth_mbps;
}

void leader_state::update_slot_bandwidth(core::time_point now)
{
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_megabit = 1e6;
    std::map<std::string, double> slots;
    for (const auto& [id, entry] : published_.entries)
    {
        slots[entry.server.service] += entry.server.slots;
    }
    mbps_per_slot_.clear();
    for (const auto& [service, rate] : answer_rates_)
    {
        if (slots[service] > 0)
        {
            mbps_per_slot_[service] = rate.bytes_per_s(now) * bits_per_byte / bits_per_megabit *
                                      transfers_per_answer / slots[service];
        }
    }
}

std::set<std::pair<std::string, std::string>> leader_state::find_zone_groups() const
{
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    for (const auto& [id, entry] : published_.entries)
    {
        if (!is_keyed(entry) && entry.is_listed)
        {
            ++counts[{entry.server.service, entry.server.zone}];
        }
    }
    std::set<std::pair<std::string, std::string>> result;
    for (const auto& [group, count] : counts)
    {
        if (count >= min_zone_group_size)
        {
            result.insert(group);
        }
    }
    return result;
}

leader_state::front_tally leader_state::tally_fronts() const
{
    front_tally tally;
    tally.zone_groups = find_zone_groups();
    for (const auto& [front, ids] : servers_by_front_)
    {
        for (const auto& id : ids)
        {
            const auto& server = published_.entries.at(id).server;
            if (const auto router = published_.routers.find(front); router != published_.routers.end())
            {
                tally.loads[front] += slot_load(server.service, server.slots, router->second);
            }
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
        if (!can_be_front(item, now))
        {
            continue;
        }
        // A front in another zone adds a round trip between zones to each request.
        constexpr double other_zone_cost = 1000;
        constexpr double join_group_bonus = 10000;
        const auto group = tally.groups.find({name, server.service});
        const auto grouped = group == tally.groups.end() ? 0 : group->second;
        const bool is_zone_group = tally.zone_groups.contains({server.service, server.zone});
        const bool joins_group = !is_keyed && grouped > 0 && grouped < max_group_size &&
                                 (item.zone == server.zone || !is_zone_group);
        const double cost = tally.loads[name] + slot_load(server.service, server.slots, item) +
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
        tally.loads[best] += slot_load(server.service, server.slots, published_.routers.at(best));
        ++tally.groups[{best, server.service}];
    }
    return best;
}

void leader_state::set_front(const std::string& id, const std::string& front, const char* reason,
                             core::time_point now)
{
    auto& entry = find_entry(id);
    auto& state = entry_states_[id];
    if (state.front_changes == directory::max_front_changes)
    {
        // A further change would reuse the former front's token or reach into those of the next owner.
        return;
    }
    on_decision_("front assigned", id, {{"front", front}, {"former", entry.front}, {"reason", reason}});
    if (!entry.front.empty())
    {
        // The former front may renew until it knows of the change or its confirmation expires.
        state.prior_grants_until = std::max(state.prior_grants_until, confirmed_grants_end(now));
    }
    servers_by_front_[entry.front].erase(id);
    servers_by_front_[front].insert(id);
    const auto former = std::exchange(entry.front, front);
    begin_term_of_office(id);
    front_lost_at_[former] = entry.revision;
}

void leader_state::begin_term_of_office(const std::string& id)
{
    auto& entry = find_entry(id);
    auto& state = entry_states_[id];
    // Freed keys may be granted elsewhere as soon as the write is committed, which this leader may not learn.
    entry.keys = keyspace::set_difference(entry.keys, state.freed);
    entry.withdrawn = keyspace::set_difference(entry.withdrawn, state.freed);
    if (const auto staged = in_flight_entries_.find(id); staged != in_flight_entries_.end())
    {
        // The write began before these keys were freed. Its answer must not give them to the new front, while
        // the next write gives them to another backend server.
        const auto moving = keyspace::set_difference(state.freed, state.next_keys);
        staged->second.keys = keyspace::set_difference(staged->second.keys, moving);
    }
    state.freed.clear();
    // At the maximum, a further change would reach into the tokens of the next owner.
    state.front_changes = std::min(state.front_changes + 1, directory::max_front_changes);
    if (needs_new_generation(id))
    {
        mark_dirty(id);
    }
    update_token_base(id);
    entry.front_token = entry.token_base;
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

bool leader_state::can_be_front(const directory::router& router, core::time_point now) const
{
    const bool is_spared = router.name == self_ && published_.routers.size() >= min_routers_to_spare_leader;
    return !router.is_stopping && !is_spared && is_alive(router.name, now);
}

std::map<std::string, double> leader_state::front_loads(core::time_point now) const
{
    std::map<std::string, double> loads;
    for (const auto& [name, item] : published_.routers)
    {
        if (can_be_front(item, now))
        {
            loads[name] = 0;
        }
    }
    for (const auto& [name, load] : loads)
    {
        const auto ids = servers_by_front_.find(name);
        if (ids == servers_by_front_.end())
        {
            continue;
        }
        for (const auto& id : ids->second)
        {
            const auto& server = published_.entries.at(id).server;
            loads[name] += slot_load(server.service, server.slots, published_.routers.at(name));
        }
    }
    return loads;
}

std::vector<leader_state::front_unit> leader_state::front_units() const
{
    std::map<std::tuple<std::string, std::string, std::string, std::string>, front_unit> units;
    for (const auto& [id, entry] : published_.entries)
    {
        const auto& server = entry.server;
        // A group of a few backend servers may stand in several zones, and is evened out one by one.
        auto& unit = units[{entry.front, server.service, server.zone, is_keyed(entry) ? id : ""}];
        unit.service = server.service;
        unit.zone = server.zone;
        unit.front = entry.front;
        unit.slots += server.slots;
        unit.has_withdrawn_keys = unit.has_withdrawn_keys || !entry.withdrawn.empty();
        unit.backend_servers.push_back(id);
    }
    std::vector<front_unit> list;
    std::ranges::copy(std::views::values(units), std::back_inserter(list));
    return list;
}

void leader_state::balance_fronts(core::time_point now)
{
    update_slot_bandwidth(now);
    auto loads = front_loads(now);
    const auto max_moves = std::max<std::size_t>(1, published_.entries.size() / servers_per_balance_move);
    for (std::size_t moves = 0; moves < max_moves && loads.size() > 1;)
    {
        const auto best = find_balance_move(loads);
        if (!best)
        {
            return;
        }
        const auto& unit = best->unit;
        const auto change_load = [&](const std::string& name, double factor) {
            if (const auto known = loads.find(name); known != loads.end())
            {
                known->second += factor * slot_load(unit.service, unit.slots, published_.routers.at(name));
            }
        };
        change_load(unit.front, -1);
        change_load(best->front, 1);
        for (const auto& id : unit.backend_servers)
        {
            set_front(id, best->front, "balance", now);
            ++moves;
        }
    }
}

std::optional<leader_state::front_move>
leader_state::find_balance_move(const std::map<std::string, double>& loads) const
{
    const auto busiest =
        std::ranges::max_element(loads, {}, [](const auto& item) { return item.second; })->first;
    // Only the best router of each zone comes into question, so the cost does not grow with routers times
    // backend servers.
    struct candidate
    {
        std::string name;
        std::string zone;
        double cost = 0;
    };
    std::map<std::tuple<double, std::string, double>, std::vector<candidate>> best_by_zone;
    const auto candidates = [&](double factor, const std::string& service,
                                double slots) -> const std::vector<candidate>& {
        auto& list = best_by_zone[{factor, service, slots}];
        if (!list.empty())
        {
            return list;
        }
        std::map<std::string, candidate> best;
        for (const auto& [name, load] : loads)
        {
            const auto& router = published_.routers.at(name);
            const double cost = load + factor * 2 * slot_load(service, slots, router);
            auto& known = best[router.zone];
            if (known.name.empty() || cost < known.cost)
            {
                known = {name, router.zone, cost};
            }
        }
        std::ranges::copy(std::views::values(best), std::back_inserter(list));
        return list;
    };
    std::optional<front_move> result;
    double best_gain = 0;
    for (const auto& unit : front_units())
    {
        const auto from = published_.routers.find(unit.front);
        if (from == published_.routers.end() || unit.has_withdrawn_keys)
        {
            continue;
        }
        const bool is_spared = !loads.contains(unit.front);
        const bool is_outside_zone = from->second.zone != unit.zone;
        if (!is_outside_zone && !is_spared && unit.front != busiest)
        {
            continue;
        }
        const double from_load = is_spared ? spared_load : loads.at(unit.front);
        constexpr double return_factor = 0.5;
        constexpr double same_zone_factor = 1;
        // A move to another zone is worthwhile only when the routers of the zone have far more load than the
        // others.
        constexpr double other_zone_factor = 3;
        for (const double factor : {return_factor, same_zone_factor, other_zone_factor})
        {
            for (const auto& to : candidates(factor, unit.service, unit.slots))
            {
                const bool is_return_to_zone = is_outside_zone && to.zone == unit.zone;
                const double due_factor = is_return_to_zone              ? return_factor
                                          : to.zone == from->second.zone ? same_zone_factor
                                                                         : other_zone_factor;
                const double gain = from_load - to.cost;
                if (due_factor == factor && to.name != unit.front && gain > best_gain)
                {
                    best_gain = gain;
                    result = front_move{unit, to.name};
                }
            }
        }
    }
    return result;
}

} // namespace briarfold::leader
