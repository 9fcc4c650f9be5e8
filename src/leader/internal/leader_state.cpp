#include "leader/leader_state.hpp"

#include "core/key_hash.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace briarfold::leader {

namespace {

/// Number of front changes after which the next write gives the entry a new generation. The rest of the range
/// lasts for an outage of the store.
constexpr std::int64_t front_changes_until_write = directory::max_front_changes / 2;
/// With 64 KB per row and about 150 bytes per backend server, enough for more than 10,000 backend servers.
constexpr std::uint64_t rows_per_service = 32;
/// A transaction of the platform's store has at most 100 entries, one of which renews the leadership.
constexpr std::size_t max_rows_per_write = 96;

nlohmann::json row_item(const directory::entry& item, const keyspace::key_set& keys)
{
    return {item.server.id, item.server.start_time_ms, http::to_string(item.server.address), item.front,
            directory::to_json(keys)};
}

assignment_row make_row(const std::string& name, nlohmann::json servers)
{
    return {name, {{"servers", std::move(servers)}}};
}

} // namespace

leader_state::leader_state(leader_settings settings, directory::router self, directory::generation term,
                           core::time_point now, decision_hook on_decision)
    : settings_(settings), self_(self.name), on_decision_(std::move(on_decision)), started_(now),
      last_tick_(now), last_registration_(now), last_plan_(now), last_decay_(now), last_balance_(now)
{
    published_.term = term;
    published_.revision = 1;
    published_.leader = self.name;
    published_.routers.emplace(self.name, self);
    peers_[self.name].last_report = now;
}

core::time_point leader_state::confirmed_grants_end(core::time_point now) const
{
    return grants::latest_grant_end(now + settings_.max_confirmation_age, settings_.max_grant_duration);
}

void leader_state::set_former_leaders(std::vector<directory::router> former)
{
    std::erase_if(former, [this](const directory::router& item) { return item.name == self_; });
    former_leaders_ = std::move(former);
}

void leader_state::note_former_leader(const router_report& report, core::time_point now)
{
    const bool has_stepped_down = report.term == published_.term;
    const auto erased = std::erase_if(former_leaders_, [&](const directory::router& item) {
        const bool has_restarted = report.router.incarnation != item.incarnation;
        return item.name == report.router.name && (has_stepped_down || has_restarted);
    });
    if (erased == 0 || !former_leaders_.empty())
    {
        return;
    }
    const auto until = confirmed_grants_end(now);
    withheld_until_ = std::min(withheld_until_, until);
    for (auto& [id, state] : entry_states_)
    {
        state.prior_grants_until = std::min(state.prior_grants_until, until);
        if (state.unreachable_since)
        {
            bump_revision(id);
        }
    }
}

core::time_point leader_state::former_grants_end(core::time_point now) const
{
    // Former leaders assigned fronts without a write, so any router may have granted keys until its
    // confirmation expired.
    return confirmed_grants_end(former_leaders_.empty() ? now : now + settings_.max_storeless_time);
}

void leader_state::load_row(const assignment_row& row, core::time_point now)
{
    const auto service = row.name.substr(0, row.name.rfind('/'));
    initialized_services_.insert(service);
    for (const auto& item : row.document.at("servers"))
    {
        directory::entry entry;
        entry.server.id = item.at(0).get<std::string>();
        entry.server.start_time_ms = item.at(1).get<std::int64_t>();
        entry.server.service = service;
        entry.server.address = http::parse_endpoint(item.at(2).get<std::string>());
        entry.front = item.at(3).get<std::string>();
        entry.keys = directory::keys_from_json(item.at(4));
        entry.is_listed = false;
        load_entry(std::move(entry), now);
    }
}

void leader_state::load_entry(directory::entry entry, core::time_point now)
{
    const auto id = entry.server.id;
    entry.revision = published_.revision;
    entry_state state;
    // The term is later than every generation that a former leader wrote or used.
    state.written = published_.term;
    state.prior_grants_until = former_grants_end(now);
    state.next_keys = entry.keys;
    state.unregistered_at = now;
    entry_states_[id] = state;
    servers_by_front_[entry.front].insert(id);
    published_.entries[id] = std::move(entry);
    update_token_base(id);
    find_entry(id).front_token = find_entry(id).token_base;
}

void leader_state::load_directory(const directory::snapshot& known,
                                  const std::vector<directory::router>& silent, core::time_point now)
{
    // A silent router may be a leader that nobody else remembers.
    former_leaders_.insert(former_leaders_.end(), silent.begin(), silent.end());
    withheld_until_ = now + known.withheld_remaining;
    if (known.term.is_none() || !silent.empty())
    {
        withheld_until_ = std::max(withheld_until_, former_grants_end(now));
    }
    std::size_t withheld_count = 0;
    for (const auto& [id, item] : known.entries)
    {
        auto entry = item;
        if (!entry.keys.empty())
        {
            initialized_services_.insert(entry.server.service);
        }
        const bool is_front_silent =
            std::ranges::find(silent, entry.front, &directory::router::name) != silent.end();
        // A front that is silent may have seen keys withdrawn that this directory does not show as such; keys
        // already withdrawn may have been granted to another backend server by a silent front.
        const auto withheld = is_front_silent   ? entry.keys
                              : !silent.empty() ? entry.withdrawn
                                                : keyspace::key_set();
        withheld_count += keyspace::size(withheld);
        entry.keys = keyspace::set_difference(entry.keys, withheld);
        entry.withdrawn.clear();
        entry.handovers.clear();
        load_entry(std::move(entry), now);
    }
    if (is_withholding(now))
    {
        on_decision_("keys withheld", known.leader,
                     {{"keys", withheld_count}, {"for_ms", (withheld_until_ - now).ms}});
    }
}

void leader_state::load_router(const directory::router& known, core::time_point now)
{
    if (known.name != self_)
    {
        published_.routers[known.name] = known;
        bump_router_revision(known.name);
        peers_[known.name].last_report = now;
        has_known_routers_ = true;
    }
}

void leader_state::load_lost_router(const std::string& name, core::time_point now)
{
    if (name != self_ && !published_.routers.contains(name))
    {
        lost_routers_.try_emplace(name, now);
    }
}

std::string leader_state::row_name(const std::string& id) const
{
    return published_.entries.at(id).server.service + "/" +
           std::to_string(core::text_hash(id) % rows_per_service);
}

bool leader_state::needs_new_generation(const std::string& id) const
{
    const auto& state = entry_states_.at(id);
    return state.is_short_of_tokens || state.front_changes >= front_changes_until_write;
}

void leader_state::bump_revision(const std::string& id)
{
    find_entry(id).revision = ++published_.revision;
}

void leader_state::update_token_base(const std::string& id)
{
    const auto& state = entry_states_[id];
    find_entry(id).token_base = directory::first_token(state.written, state.front_changes);
}

bool leader_state::knows_its_fronts(const std::string& router, std::int64_t revision) const
{
    const auto lost_at = front_lost_at_.find(router);
    return lost_at == front_lost_at_.end() || revision >= lost_at->second;
}

bool leader_state::is_alive(const std::string& router, core::time_point now) const
{
    if (router == self_)
    {
        return true;
    }
    const auto position = peers_.find(router);
    return position != peers_.end() && now - position->second.last_report < settings_.router_timeout;
}

bool leader_state::do_all_routers_follow(core::time_point now) const
{
    const auto& routers = published_.routers;
    const auto follows = [&](const std::string& name) {
        return is_alive(name, now) && (name == self_ || peers_.at(name).revision >= resumed_revision_);
    };
    return routers.size() > 1 && lost_routers_.empty() &&
           std::ranges::all_of(std::views::keys(routers), follows);
}

bool leader_state::have_all_reported(core::time_point since, core::time_point now) const
{
    const bool is_alone = published_.routers.size() == 1 && lost_routers_.empty();
    return is_alone ||
           (do_all_routers_follow(now) && std::ranges::all_of(published_.routers, [&](const auto& item) {
                return item.first == self_ || peers_.at(item.first).last_report >= since;
            }));
}

bool leader_state::is_isolated(core::time_point now) const
{
    const auto& routers = published_.routers;
    const auto alive = static_cast<std::size_t>(
        std::ranges::count_if(routers, [&](const auto& item) { return is_alive(item.first, now); }));
    return 2 * alive < routers.size() + published_.lost_routers.size();
}

void leader_state::set_report_interval(core::duration interval)
{
    constexpr std::int64_t reports_until_lost = 3;
    constexpr core::duration retransmission_time{250};
    settings_.router_timeout =
        std::max(leader_settings().router_timeout,
                 core::duration{interval.ms * reports_until_lost} + retransmission_time);
}

void leader_state::on_registered(const directory::backend_server& server, core::time_point now)
{
    const auto position = published_.entries.find(server.id);
    if (position == published_.entries.end())
    {
        directory::entry entry;
        entry.server = server;
        published_.entries.emplace(server.id, std::move(entry));
        servers_by_front_[""].insert(server.id);
        changes_.removed.erase(server.id);
        entry_states_[server.id].cold_until = now + server.warmup_left;
        entry_states_[server.id].written = published_.term;
        update_token_base(server.id);
        last_registration_ = now;
        on_decision_("backend server registered", server.id,
                     {{"service", server.service},
                      {"address", http::to_string(server.address)},
                      {"zone", server.zone},
                      {"slots", server.slots}});
        bump_revision(server.id);
        return;
    }
    auto& entry = position->second;
    auto& state = entry_states_[server.id];
    const bool is_same_process = entry.server.start_time_ms == server.start_time_ms;
    // A process that drains does not become ready again; a restored registration may say so, and one that was
    // written before the backend server said that it leaves.
    auto next = server;
    next.is_draining = server.is_draining || (is_same_process && entry.server.is_draining);
    // Each registration states the time from when it was written. Of repeated ones, only those that tell of a
    // later end are published: each reaches all routers.
    constexpr core::duration max_unpublished_delay{1500};
    const auto cold_until = now + server.warmup_left;
    const bool is_cold_longer =
        server.warmup_left.ms > 0 && cold_until - state.cold_until > max_unpublished_delay;
    auto known = entry.server;
    known.warmup_left = next.warmup_left;
    if (known == next && !is_cold_longer && entry.is_listed && !state.unregistered_at)
    {
        return;
    }
    state.cold_until = cold_until;
    if (!is_same_process || entry.server.is_draining != next.is_draining)
    {
        on_decision_("backend server changed", server.id,
                     {{"born_ms", server.start_time_ms},
                      {"former_born_ms", entry.server.start_time_ms},
                      {"draining", next.is_draining}});
        state.unreachable_since.reset();
    }
    entry.server = next;
    entry.is_listed = true;
    state.unregistered_at.reset();
    bump_revision(server.id);
}

void leader_state::on_unregistered(const std::string& id, bool is_confirmed, core::time_point now)
{
    const auto position = published_.entries.find(id);
    if (position == published_.entries.end() || entry_states_[id].unregistered_at)
    {
        return;
    }
    entry_states_[id].unregistered_at = is_confirmed ? now - settings_.reregistration_grace : now;
    on_decision_("registration vanished", id, {{"certain", is_confirmed}});
}

void leader_state::on_report(const router_report& report, core::time_point now)
{
    const auto& name = report.router.name;
    const auto position = published_.routers.find(name);
    const bool is_new = position == published_.routers.end();
    if (is_new || !(position->second == report.router))
    {
        const bool is_restarted = !is_new && position->second.incarnation != report.router.incarnation;
        on_decision_(is_new         ? "router joined"
                     : is_restarted ? "router restarted"
                                    : "router changed",
                     name,
                     {{"incarnation", report.router.incarnation}, {"stopping", report.router.is_stopping}});
        published_.routers[name] = report.router;
        bump_router_revision(name);
        if (is_new || is_restarted)
        {
            // The former process has ended, so nobody renews its grants and they expire within their
            // duration.
            const auto until = grants::latest_grant_end(now, settings_.max_grant_duration);
            for (const auto& id : servers_by_front_[name])
            {
                auto& prior_grants_until = entry_states_[id].prior_grants_until;
                prior_grants_until = std::max(prior_grants_until, until);
                begin_term_of_office(id);
            }
            // Its directory may show the former term of office until the next update.
            front_lost_at_[name] = published_.revision;
        }
    }
    auto& reporter = peers_[name];
    reporter.last_report = now;
    if (report.term == published_.term)
    {
        reporter.revision = std::max(reporter.revision, report.revision);
    }
    lost_routers_.erase(name);
    note_former_leader(report, now);
    update_entries(report, now);
    drain_leaving(report);
    for (const auto& [service, keys] : report.work)
    {
        auto& loads = loads_of(service);
        constexpr double ms_per_s = 1000;
        constexpr double load_window_s = 3;
        for (const auto& item : keys)
        {
            if (item.key < loads.size())
            {
                loads[item.key] += static_cast<float>(item.work_ms / (ms_per_s * load_window_s));
            }
        }
    }
    for (const auto& id : servers_by_front_[name])
    {
        const auto cold = report.cold.find(id);
        entry_states_.at(id).reported_cold_until =
            cold == report.cold.end() ? core::time_point() : now + core::duration{cold->second};
    }
    for (const auto& [service, mean_ms] : report.mean_work_ms)
    {
        constexpr double report_weight = 0.05;
        auto& mean = mean_work_ms_.try_emplace(service, mean_ms).first->second;
        mean += report_weight * (mean_ms - mean);
    }
    for (const auto& [service, bytes] : report.answer_bytes)
    {
        answer_rates_[service].record(bytes, now);
    }
    if (report.term == published_.term)
    {
        renew_tokens(report);
        std::ranges::for_each(report.freed,
                              [&](const auto& item) { on_keys_freed(item, name, report.revision, now); });
    }
}

void leader_state::update_entries(const router_report& report, core::time_point now)
{
    const std::set<std::string_view> unreachable(report.unreachable.begin(), report.unreachable.end());
    for (const auto& id : servers_by_front_[report.router.name])
    {
        auto& entry = find_entry(id);
        auto& state = entry_states_[id];
        const bool has_ended =
            std::ranges::find(report.ended, server_process{id, entry.server.start_time_ms}) !=
            report.ended.end();
        if (!unreachable.contains(id))
        {
            state.unreachable_since.reset();
        }
        else if (!state.unreachable_since)
        {
            state.unreachable_since = now;
            on_decision_("backend server unreachable", id, {{"front", report.router.name}});
        }
        if (has_ended)
        {
            state.unreachable_since = now - settings_.unreachable_timeout;
        }
        // Keys that another backend server gets in a moment need not be refused.
        const bool is_unreachable =
            unreachable.contains(id) && !(has_ended && can_any_accept_keys(entry.server.service, now));
        if (entry.is_unreachable != is_unreachable)
        {
            entry.is_unreachable = is_unreachable;
            bump_revision(id);
        }
        if (const auto slow = report.slowness.find(id); slow != report.slowness.end())
        {
            state.slowness = slow->second;
        }
    }
}

void leader_state::renew_tokens(const router_report& report)
{
    for (const auto& id : report.short_of_tokens)
    {
        const auto position = published_.entries.find(id);
        // An earlier report may not know of the present tokens.
        const bool is_current = position != published_.entries.end() &&
                                position->second.front == report.router.name &&
                                position->second.revision <= report.revision;
        if (is_current && !std::exchange(entry_states_[id].is_short_of_tokens, true))
        {
            mark_dirty(id);
        }
    }
}

void leader_state::drain_leaving(const router_report& report)
{
    for (const auto& item : report.leaving)
    {
        const auto position = published_.entries.find(item.backend_server);
        if (position == published_.entries.end())
        {
            continue;
        }
        auto& server = position->second.server;
        if (server.start_time_ms == item.start_time_ms && !std::exchange(server.is_draining, true))
        {
            on_decision_("backend server leaves", item.backend_server, {{"front", report.router.name}});
            bump_revision(item.backend_server);
        }
    }
}

keyspace::key_loads& leader_state::loads_of(const std::string& service)
{
    auto& loads = loads_[service];
    loads.resize(keyspace::key_count);
    return loads;
}

void leader_state::withdraw(const std::string& id, const keyspace::key_set& keys, const char* reason)
{
    auto& entry = find_entry(id);
    const auto added =
        keyspace::set_difference(keyspace::set_intersection(keys, entry.keys), entry.withdrawn);
    if (added.empty())
    {
        return;
    }
    entry.withdrawn = keyspace::set_union(entry.withdrawn, added);
    on_decision_("keys withdrawn", id, {{"keys", directory::to_json(added)}, {"reason", reason}});
    bump_revision(id);
    auto& withdrawals = entry_states_[id].withdrawals;
    // An earlier withdrawal of these keys, the rest of which may be in progress, does not count for them.
    std::vector<withdrawal> earlier;
    for (const auto& item : withdrawals)
    {
        const auto rest = keyspace::set_difference({item.range}, added);
        std::ranges::transform(rest, std::back_inserter(earlier), [&](const auto& range) {
            return withdrawal{range, item.revision};
        });
    }
    withdrawals = std::move(earlier);
    std::ranges::transform(added, std::back_inserter(withdrawals), [&](const auto& range) {
        return withdrawal{range, entry.revision};
    });
}

std::vector<assignment_row> leader_state::take_pending_rows()
{
    if (!in_flight_rows_.empty() || dirty_rows_.empty())
    {
        return {};
    }
    std::size_t count = 0;
    while (!dirty_rows_.empty() &&
           (count == 0 || count + dirty_rows_.begin()->second.size() <= max_rows_per_write))
    {
        count += dirty_rows_.begin()->second.size();
        in_flight_rows_.insert(dirty_rows_.extract(dirty_rows_.begin()));
    }
    in_flight_entries_.clear();
    std::map<std::string, nlohmann::json> lists;
    for (const auto& [service, names] : in_flight_rows_)
    {
        for (const auto& name : names)
        {
            lists[name] = nlohmann::json::array();
        }
    }
    for (const auto& [id, item] : published_.entries)
    {
        const auto list = lists.find(row_name(id));
        if (list == lists.end())
        {
            continue;
        }
        const auto& next = entry_states_.at(id);
        in_flight_entries_[id] = {next.next_keys, next.next_handovers,
                                  keyspace::set_intersection(next.next_keys, next.freed)};
        if (!next.next_keys.empty())
        {
            list->second.push_back(row_item(item, next.next_keys));
        }
    }
    std::vector<assignment_row> rows;
    rows.reserve(lists.size());
    for (auto& [name, list] : lists)
    {
        rows.push_back(make_row(name, std::move(list)));
    }
    return rows;
}

std::vector<assignment_row> leader_state::all_rows() const
{
    std::map<std::string, nlohmann::json> lists;
    for (const auto& [id, item] : published_.entries)
    {
        if (!item.keys.empty())
        {
            auto& list = lists[row_name(id)];
            list.push_back(row_item(item, item.keys));
        }
    }
    std::vector<assignment_row> rows;
    rows.reserve(lists.size());
    for (auto& [name, list] : lists)
    {
        rows.push_back(make_row(name, std::move(list)));
    }
    return rows;
}

void leader_state::on_written(const directory::generation& written)
{
    for (const auto& [id, next] : in_flight_entries_)
    {
        const auto position = published_.entries.find(id);
        if (position == published_.entries.end())
        {
            continue;
        }
        auto& entry = position->second;
        auto& state = entry_states_[id];
        if (entry.keys == next.keys && next.returned.empty() && !needs_new_generation(id))
        {
            continue;
        }
        entry.keys = next.keys;
        const auto kept = keyspace::set_difference(entry.keys, next.returned);
        entry.withdrawn = keyspace::set_intersection(entry.withdrawn, kept);
        state.freed = keyspace::set_intersection(state.freed, kept);
        std::erase_if(state.withdrawals, [&](const withdrawal& item) {
            return keyspace::set_intersection({item.range}, entry.withdrawn).empty();
        });
        entry.handovers = next.handovers;
        state.written = written;
        state.front_changes = 0;
        state.is_short_of_tokens = false;
        update_token_base(id);
        bump_revision(id);
    }
    std::ranges::copy(std::views::keys(in_flight_rows_),
                      std::inserter(initialized_services_, initialized_services_.end()));
    in_flight_rows_.clear();
    in_flight_entries_.clear();
}

void leader_state::on_write_failed()
{
    for (const auto& [service, names] : in_flight_rows_)
    {
        dirty_rows_[service].insert(names.begin(), names.end());
    }
    in_flight_rows_.clear();
    in_flight_entries_.clear();
}

core::duration leader_state::prior_grant_remaining(const std::string& id, core::time_point now) const
{
    return std::max(entry_states_.at(id).prior_grants_until - now, core::duration{0});
}

directory::update leader_state::update_for(const directory::generation& term, std::int64_t revision,
                                           core::time_point now) const
{
    auto change = directory::make_update(published_, changes_, term, revision);
    change.changed.withheld_remaining = std::max(withheld_until_ - now, core::duration{0});
    for (auto& [id, entry] : change.changed.entries)
    {
        entry.prior_grant_remaining = prior_grant_remaining(id, now);
        const auto& state = entry_states_.at(id);
        const auto cold_until = std::max(state.cold_until, state.reported_cold_until);
        entry.server.warmup_left = std::max(cold_until - now, core::duration{0});
    }
    return change;
}

void leader_state::note_pause(core::time_point now)
{
    if (now - last_tick_ > leadership_confirmation::max_pause)
    {
        resumed_revision_ = ++published_.revision;
        on_decision_("leader paused", self_, {{"silent_ms", (now - last_tick_).ms}});
    }
    last_tick_ = now;
}

void leader_state::tick(core::time_point now)
{
    note_pause(now);
    if (now - started_ >= settings_.max_storeless_time)
    {
        former_leaders_.clear();
    }
    remove_lost_routers(now);
    assign_fronts(now);
    if (now - last_balance_ >= settings_.balance_interval)
    {
        last_balance_ = now;
        balance_fronts(now);
    }
    withdraw_unavailable(now);
    assign_initial_keys(now);
    if (now - last_unassigned_check_ >= settings_.unassigned_check_interval)
    {
        last_unassigned_check_ = now;
        assign_unowned_keys(now);
    }
    if (now - last_plan_ >= settings_.plan_interval)
    {
        last_plan_ = now;
        plan_moves(now);
    }
    remove_unregistered();
}

std::size_t leader_state::unassigned_keys() const
{
    std::size_t count = 0;
    for (const auto& service : keyed_services_)
    {
        keyspace::key_set held;
        for (const auto& [id, entry] : published_.entries)
        {
            if (entry.server.service == service)
            {
                held.insert(held.end(), entry.keys.begin(), entry.keys.end());
            }
        }
        count += keyspace::size(keyspace::complement(keyspace::normalized(held)));
    }
    return count;
}

} // namespace briarfold::leader
