#include "leader/tests/ownership_model.hpp"

#include <cmath>
#include <ranges>
#include <sstream>

namespace briarfold::leader::tests {

namespace {

constexpr int min_routers = 4;
constexpr int max_routers = 5;
constexpr int min_backends = 4;
constexpr int max_backends = 6;
constexpr duration tick_interval{20};
constexpr duration leader_tick_interval{50};
constexpr duration min_tick_interval{15};
constexpr duration publish_interval{40};
constexpr duration write_interval{60};
constexpr duration registry_interval{300};
constexpr duration store_timeout{1000};
constexpr duration store_retry{150};
constexpr duration push_timeout{700};
constexpr duration report_timeout{450};
constexpr duration joining_report_interval{130};
constexpr duration witness_timeout{350};
constexpr duration max_election_delay{900};
constexpr duration store_failure_limit{300};
constexpr duration outage_threshold{800};
constexpr duration connect_timeout{400};
constexpr duration grant_timeout{500};
constexpr duration release_timeout{3000};
constexpr duration probe_interval{700};
constexpr duration probe_timeout{300};
constexpr duration hot_key_interval{8000};
constexpr double hot_key_work_ms = 250;
constexpr int failures_until_unreachable = 2;
constexpr unsigned status_ok = 200;
constexpr unsigned status_superseded = 409;
constexpr unsigned status_misdirected = 421;
constexpr std::uint16_t first_port = 8000;
constexpr std::array zones{"a", "b", "c"};
/// Time without failures of the store after which a registration that vanished has lapsed.
constexpr duration min_healthy_time{2200};
const std::string service = "keyed";

directory::backend_server make_registration(const backend_model& backend)
{
    auto result = make_server(backend.id, zones.at(backend.address % zones.size()));
    result.start_time_ms = backend.life;
    result.address.port = static_cast<std::uint16_t>(first_port + backend.address);
    return result;
}

} // namespace

commit_answer store_model::commit(int router, const std::string& incarnation, std::int64_t expected,
                                  const std::map<std::string, row>& changes)
{
    const auto find = [this](const std::string& name) {
        const auto known = rows.find(name);
        return known == rows.end() ? row() : known->second;
    };
    const bool has_expected_rows = std::ranges::all_of(
        changes, [&](const auto& item) { return find(item.first).version == item.second.version; });
    if (leader_version == expected && has_expected_rows)
    {
        leader = router;
        leader_incarnation = incarnation;
        leader_version = ++version;
        for (const auto& [name, change] : changes)
        {
            rows[name] = {change.document, version};
        }
        return {true, true, version, leader};
    }
    const bool is_same = leader == router && leader_incarnation == incarnation &&
                         std::ranges::all_of(changes, [&](const auto& item) {
                             return find(item.first).document == item.second.document;
                         });
    return {false, is_same, leader_version, leader};
}

ownership_model::ownership_model(const model_options& options) : options_(options), random_(options.seed)
{
    routers_.resize(static_cast<std::size_t>(draw(min_routers, max_routers)));
    listeners_.resize(static_cast<std::size_t>(draw(min_backends, max_backends)));
    for (int i = 0; i < backend_node(0); ++i)
    {
        routers_[i].self = make_router("r" + std::to_string(i), zones.at(i % zones.size()), "0");
        restart(i);
    }
    for (int i = 0; i < store_node() - backend_node(0); ++i)
    {
        add_backend(i);
        store_.registry[backends_[i].id] = make_registration(backends_[i]);
    }
    schedule(duration{8000}, -1, true, [this] { inject_fault(); });
}

std::string ownership_model::run()
{
    const auto end = now_ + options_.length;
    while (violation_.empty() && now_ < end)
    {
        auto next = events_.extract(events_.begin());
        now_.ms = next.key().first;
        auto& item = next.mapped();
        if (item.router >= 0)
        {
            const auto& router = routers_[item.router];
            if (!router.is_up || router.life != item.life)
            {
                continue;
            }
            if (router.frozen_until > now_)
            {
                // A process that continues reads what has arrived before it handles expired timers.
                const auto at = router.frozen_until + duration{item.is_timer ? 1 : 0};
                events_.emplace(std::pair{at.ms, next.key().second}, std::move(item));
                continue;
            }
        }
        item.run();
    }
    if (violation_.empty())
    {
        return {};
    }
    std::ostringstream text;
    text << "seed " << options_.seed << ": " << violation_ << '\n';
    constexpr duration trace_span{40000};
    for (const auto& line : trace_)
    {
        if (line.range.contains(violated_key_) && now_ - line.at < trace_span)
        {
            text << "  " << line.at.ms - (end - options_.length).ms << " ms  " << line.text << '\n';
        }
    }
    return text.str();
}

std::int64_t ownership_model::draw(std::int64_t first, std::int64_t last)
{
    return first + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(last - first + 1));
}

void ownership_model::trace(std::string text, keyspace::key_range range)
{
    trace_.push_back({now_, range, std::move(text)});
}

void ownership_model::schedule(duration delay, int router, bool is_timer, std::function<void()> run)
{
    const int life = router >= 0 ? routers_[router].life : 0;
    events_.emplace(std::pair{(now_ + delay).ms, ++order_}, event{router, life, is_timer, std::move(run)});
}

void ownership_model::send(int from, int to, std::function<void()> deliver)
{
    const bool is_slow = links_[link(from, to)].slow_until > now_;
    const bool is_late = draw_chance(is_slow ? 50 : 2);
    if (is_cut(from, to) || draw_chance(is_slow ? 25 : 1))
    {
        return;
    }
    const duration delay{is_late ? draw(30, 480) : draw(1, 4)};
    schedule(delay, to < backend_node(0) ? to : -1, false, [this, from, to, run = std::move(deliver)] {
        if (!is_cut(from, to))
        {
            run();
        }
    });
}

template <class Answer>
void ownership_model::call(int from, int to, duration timeout, std::function<std::optional<Answer>()> serve,
                           std::function<void(std::optional<Answer>)> done)
{
    const auto is_done = std::make_shared<bool>(false);
    const auto finish = [is_done, run = std::move(done)](std::optional<Answer> answer) {
        if (!std::exchange(*is_done, true))
        {
            run(std::move(answer));
        }
    };
    schedule(timeout, from, true, [finish] { finish(std::nullopt); });
    send(from, to, [this, from, to, run = std::move(serve), finish] {
        if (auto answer = run())
        {
            send(to, from, [finish, item = std::move(*answer)] { finish(item); });
        }
    });
}

void ownership_model::cut(int a, int b, duration span)
{
    auto& item = links_[link(a, b)];
    item.cut_until = std::max(item.cut_until, now_ + span);
}

void ownership_model::inject_fault()
{
    schedule(duration{draw(300, 4000)}, -1, true, [this] { inject_fault(); });
    const int routers = backend_node(0);
    const int router = static_cast<int>(draw(0, routers - 1));
    const int address = static_cast<int>(draw(0, store_node() - routers - 1));
    const int backend = listeners_[address];
    const std::string place = backend >= 0 ? backends_[backend].id : "address " + std::to_string(address);
    const duration span{draw(1, 4) == 1 ? draw(8000, 40000) : draw(500, 8000)};
    const auto note = [&](const std::string& text) { trace(text + " for " + std::to_string(span.ms)); };
    const auto leader =
        std::ranges::find_if(routers_, [](const auto& item) { return item.office != nullptr; });
    const auto choice = draw(0, 11);
    constexpr int first_of_backends = 5;
    constexpr int last_of_backends = 8;
    if (backend < 0 && choice >= first_of_backends && choice <= last_of_backends)
    {
        return;
    }
    switch (choice)
    {
    case 0:
        cut(router, store_node(), span);
        note("fault: r" + std::to_string(router) + " without store");
        return;
    case 1: {
        if (leader == routers_.end())
        {
            return;
        }
        const int index = static_cast<int>(leader - routers_.begin());
        const int percent = draw_chance(60) ? 100 : 50;
        const bool is_last_to_reach = draw_chance(50);
        cut(index, store_node(), span);
        for (int i = 0; i < routers; ++i)
        {
            if (i != index && draw_chance(percent))
            {
                cut(index, i, span);
            }
            if (i != index && is_last_to_reach)
            {
                cut(i, backend_node(address), span);
            }
        }
        note("fault: leader r" + std::to_string(index) + " cut off " + std::to_string(percent) + "%" +
             (is_last_to_reach ? ", alone reaches " + place : ""));
        return;
    }
    case 2:
        for (int i = 0; i < routers; ++i)
        {
            if (draw_chance(60))
            {
                cut(i, backend_node(address), span);
                note("fault: " + place + " unreachable from r" + std::to_string(i));
            }
        }
        return;
    case 3:
        routers_[router].frozen_until = std::max(routers_[router].frozen_until, now_ + span);
        note("fault: r" + std::to_string(router) + " frozen");
        return;
    case 4:
        if (routers_[router].is_up)
        {
            routers_[router].is_up = false;
            note("fault: r" + std::to_string(router) + " killed");
            // A router that is back at once is not missed by the leader.
            const duration down = draw_chance(50) ? duration{draw(50, 1000)} : std::max(span, duration{1000});
            schedule(down, -1, true, [this, router] { restart(router); });
        }
        return;
    case 5:
        if (const auto known = store_.registry.find(backends_[backend].id); known != store_.registry.end())
        {
            known->second.is_draining = true;
            note("fault: " + place + " draining");
            schedule(span, -1, true, [this, id = backends_[backend].id] {
                if (const auto drained = store_.registry.find(id); drained != store_.registry.end())
                {
                    drained->second.is_draining = false;
                }
            });
        }
        return;
    case 6:
        backends_[backend].late_until = now_ + span;
        note("fault: " + place + " applies calls late");
        return;
    case 7:
        restart_backend(backend);
        note("fault: " + place + " restarted");
        return;
    case 8:
        replace_backend(backend);
        note("fault: " + place + " ended unseen");
        return;
    case 9:
        store_late_until_ = now_ + span;
        note("fault: the store loses answers and writes late");
        return;
    case 10:
        for (int i = 0; i <= store_node(); ++i)
        {
            links_[link(router, i)].slow_until = now_ + span;
        }
        note("fault: links of r" + std::to_string(router) + " lossy");
        return;
    default: {
        const int other = static_cast<int>(draw(0, routers - 1));
        cut(router, other, span);
        note("fault: r" + std::to_string(router) + " and r" + std::to_string(other) + " cut");
        return;
    }
    }
}

void ownership_model::restart(int index)
{
    auto self = routers_[index].self;
    const int life = routers_[index].life + 1;
    self.incarnation = std::to_string(life);
    routers_[index] = router_model();
    auto& router = routers_[index];
    router.self = self;
    router.life = life;
    router.contact = leader_contact(now_);
    trace(self.name + " started");
    for (int i = 0; i <= backend_node(max_backends); ++i)
    {
        links_.try_emplace(link(index, i));
    }
    schedule(duration{draw(1, 100)}, index, true, [this, index] { tick(index); });
    call<stored_copy>(
        index, store_node(), store_timeout, [this] { return copy_store(); },
        [this, index](std::optional<stored_copy> stored) {
            if (stored && routers_[index].leader < 0 && (*stored)->leader >= 0)
            {
                routers_[index].leader = (*stored)->leader;
                routers_[index].leadership_version = (*stored)->leader_version;
            }
        });
}

void ownership_model::add_backend(int address)
{
    constexpr double max_drift_percent = 2;
    backend_model backend;
    backend.id = "s" + std::to_string(backends_.size());
    backend.address = address;
    backend.drift = static_cast<double>(draw(0, 100)) / 100 * max_drift_percent / 100;
    listeners_[address] = static_cast<int>(backends_.size());
    backends_.push_back(std::move(backend));
}

std::optional<process> ownership_model::listener(int address) const
{
    const int backend = listeners_[address];
    return backend < 0 ? std::nullopt : std::optional(running(backend));
}

int ownership_model::address_of(const fronted_model& server)
{
    return server.entry.server.address.port - first_port;
}

void ownership_model::end_process(int index)
{
    auto& backend = backends_[index];
    ++backend.life;
    backend.keys.assign(keyspace::key_count, {});
    // A machine that crashes closes no connection.
    const bool is_end_seen = draw_chance(50);
    for (int i = 0; i < backend_node(0); ++i)
    {
        const auto server = routers_[i].fronts.find(backend.id);
        if (is_end_seen && server != routers_[i].fronts.end())
        {
            server->second->connection.reset();
        }
    }
}

void ownership_model::replace_backend(int index)
{
    end_process(index);
    const int address = backends_[index].address;
    listeners_[address] = -1;
    schedule(duration{draw(3000, 4500)}, -1, true, [this, id = backends_[index].id] {
        store_.registry.erase(id);
        trace("registration of " + id + " lapsed");
    });
    const duration down{draw(100, 2500)};
    const duration registry_lag{draw(100, 1500)};
    schedule(down, -1, true, [this, address, registry_lag] {
        add_backend(address);
        const int next = listeners_[address];
        trace(backends_[next].id + " started at address " + std::to_string(address));
        schedule(registry_lag, -1, true, [this, next, life = backends_[next].life] {
            if (backends_[next].life == life)
            {
                store_.registry[backends_[next].id] = make_registration(backends_[next]);
                trace(backends_[next].id + " registered");
            }
        });
    });
}

void ownership_model::restart_backend(int index)
{
    end_process(index);
    const int life = backends_[index].life;
    const duration down{draw(10, 700)};
    for (int i = 0; i < backend_node(0); ++i)
    {
        cut(i, backend_node(backends_[index].address), down);
    }
    const duration registry_lag{draw(100, 4500)};
    schedule(down + registry_lag, -1, true, [this, index, life] {
        if (backends_[index].life == life)
        {
            auto registration = make_registration(backends_[index]);
            const auto known = store_.registry.find(registration.id);
            registration.is_draining = known != store_.registry.end() && known->second.is_draining;
            store_.registry[registration.id] = registration;
            trace(backends_[index].id + " registered its restart");
        }
    });
}

void ownership_model::tick(int index)
{
    auto& router = routers_[index];
    schedule(tick_interval, index, true, [this, index] { tick(index); });
    const auto present = router.fronts;
    for (const auto& [id, server] : present)
    {
        run_grants(index, server);
        if (server->unreachable_since && !server->is_replaced && now_ - server->last_probe >= probe_interval)
        {
            server->last_probe = now_;
            probe(index, server);
        }
    }
    const bool is_joining = router.snapshot.term.is_none() && !router.office;
    const auto interval = is_joining ? joining_report_interval : router.contact.report_interval();
    const bool is_due = router.is_report_requested || now_ - router.last_report >= interval;
    if (!router.is_reporting && is_due)
    {
        report(index);
    }
    if (!router.is_reporting)
    {
        consider_election(index);
    }
    const auto office = router.office;
    if (!office || !office->is_started || now_ - office->last_tick < leader_tick_interval)
    {
        return;
    }
    office->state->choose_deputies(now_);
    propagate(index);
    check_leadership(index);
    if (!office->is_reading && now_ - office->last_read >= registry_interval)
    {
        read_registry(index);
    }
}

void ownership_model::report(int index)
{
    auto& router = routers_[index];
    router.is_report_requested = false;
    router.last_report = now_;
    router_report message;
    message.router = router.self;
    message.term = router.snapshot.term;
    message.revision = router.snapshot.revision;
    for (const auto& [id, server] : router.fronts)
    {
        if (server->unreachable_since)
        {
            message.unreachable.push_back(id);
        }
        for (const auto& item : server->grants.freed(now_))
        {
            message.freed.push_back({id, item.range, item.handover});
        }
    }
    if (now_.ms / hot_key_interval.ms != (now_ - duration{400}).ms / hot_key_interval.ms)
    {
        std::ranges::generate(
            hot_keys_, [this] { return static_cast<std::uint32_t>(draw(0, keyspace::key_count - 1)); });
    }
    for (const auto key : hot_keys_)
    {
        message.work[service].push_back({key, hot_key_work_ms});
    }
    message.needs_proof = needs_proof(router);
    if (router.office)
    {
        if (router.office->is_started)
        {
            if (message.needs_proof)
            {
                router.office->confirmation.request_proof(now_);
            }
            router.office->state->on_report(message, now_);
            propagate(index);
        }
        return;
    }
    if (router.leader < 0 || router.leader == index)
    {
        router.contact.on_no_leader();
        return;
    }
    router.is_reporting = true;
    const int to = router.leader;
    call<report_answer>(
        index, to, report_timeout,
        [this, to, index, message]() -> std::optional<report_answer> {
            return handle_report(to, index, message);
        },
        [this, index, to, sent = now_](std::optional<report_answer> answer) {
            auto& self = routers_[index];
            self.is_reporting = false;
            if (!answer)
            {
                self.contact.on_timeout();
                return;
            }
            if (!answer->is_update)
            {
                if (answer->leader < 0 || answer->leader == self.leader)
                {
                    self.contact.on_failure();
                }
                self.leader = answer->leader >= 0 ? answer->leader : self.leader;
                return;
            }
            apply_update(index, answer->term, to, {});
            self.contact.on_contact(now_);
            self.leader_failing = answer->store_failing;
            if (answer->confirmed_age)
            {
                self.confirmed_at = std::max(self.confirmed_at, sent - *answer->confirmed_age);
            }
            if (answer->proved_age)
            {
                self.proved_at = std::max(self.proved_at, sent - *answer->proved_age);
            }
        });
}

ownership_model::report_answer ownership_model::handle_report(int index, int from,
                                                              const router_report& message)
{
    const auto office = routers_[index].office;
    if (!office || !office->is_started)
    {
        return {false, {}, routers_[index].leader == index ? -1 : routers_[index].leader, {}, {}, {}};
    }
    if (message.term > office->term)
    {
        step_down(index, "a router follows a later leader");
        return {};
    }
    office->state->on_report(message, now_);
    auto& recipient = office->followers[from];
    if (!recipient.is_pushing)
    {
        recipient.revision = message.term == office->term ? message.revision : 0;
    }
    propagate(index);
    if (message.needs_proof)
    {
        office->confirmation.request_proof(now_);
    }
    report_answer answer{true, office->term, index, {}, {}, {}};
    if (message.term == office->term &&
        office->state->knows_its_fronts(message.router.name, message.revision))
    {
        answer.confirmed_age = now_ - office_confirmed_at(routers_[index]);
        answer.proved_age = now_ - office_proved_at(routers_[index]);
    }
    const auto failing_since = routers_[index].store_failing_since;
    answer.store_failing = failing_since ? now_ - *failing_since : duration{0};
    return answer;
}

void ownership_model::apply_update(int index, const directory::generation& term, int leader,
                                   const directory::update& change)
{
    auto& router = routers_[index];
    if (term < router.snapshot.term)
    {
        return;
    }
    router.leader = leader;
    if (router.office && term > router.office->term)
    {
        step_down(index, "a later leader sent an update");
    }
    if (!change.changed.term.is_none() && directory::apply(router.snapshot, change))
    {
        apply_fronts(index);
    }
}

void ownership_model::consider_election(int index)
{
    auto& router = routers_[index];
    if (router.office || router.is_electing)
    {
        return;
    }
    const duration delay{draw(0, max_election_delay.ms)};
    if (router.leader < 0 || router.contact.is_lost(now_, delay))
    {
        router.is_electing = true;
        schedule(delay, index, true, [this, index] { survey(index); });
    }
    else if (router.leader_failing > store_failure_limit + delay)
    {
        router.is_electing = true;
        elect(index);
    }
}

void ownership_model::survey(int index)
{
    auto& router = routers_[index];
    if (router.contact.is_heard_of_since(now_, router.contact.report_interval()) && router.leader >= 0)
    {
        router.is_electing = false;
        return;
    }
    const auto is_seen = std::make_shared<bool>(false);
    for (int other = 0; other < backend_node(0); ++other)
    {
        if (other == index || other == router.leader)
        {
            continue;
        }
        call<bool>(
            index, other, witness_timeout,
            [this, other, leader = router.leader]() -> std::optional<bool> {
                const auto& witness = routers_[other];
                return witness.leader == leader && (witness.office || witness.contact.can_vouch(now_));
            },
            [is_seen](std::optional<bool> answer) { *is_seen = *is_seen || answer.value_or(false); });
    }
    schedule(witness_timeout, index, true, [this, index, is_seen] {
        if (*is_seen)
        {
            routers_[index].is_electing = false;
            routers_[index].contact.on_leader_named(now_);
            return;
        }
        elect(index);
    });
}

void ownership_model::elect(int index)
{
    const auto fail = [this, index] {
        routers_[index].is_electing = false;
        routers_[index].store_failing_since = routers_[index].store_failing_since.value_or(now_);
    };
    const auto on_commit = [this, index, fail](std::optional<commit_answer> answer) {
        auto& router = routers_[index];
        if (!answer)
        {
            fail();
            return;
        }
        router.is_electing = false;
        note_store_answer(router);
        if (answer->is_committed)
        {
            become_leader(index, answer->version);
            return;
        }
        router.leader = answer->leader;
        router.contact.on_leader_named(now_);
    };
    const auto on_read = [this, index, fail, on_commit](std::optional<commit_answer> stored) {
        auto& router = routers_[index];
        if (!stored || router.office)
        {
            fail();
            return;
        }
        const bool is_other = stored->leader >= 0 && stored->leader != index;
        const bool is_renewed = router.snapshot.term.is_none() && is_other &&
                                stored->version != std::exchange(router.leadership_version, stored->version);
        if ((is_other && stored->leader != router.leader) || is_renewed)
        {
            router.is_electing = false;
            router.leader = stored->leader;
            router.contact.on_leader_named(now_);
            return;
        }
        call<commit_answer>(
            index, store_node(), store_timeout,
            [this, index, incarnation = router.self.incarnation, expected = stored->version] {
                return commit([this, index, incarnation, expected] {
                    auto former = store_.former_leaders;
                    if (store_.leader >= 0)
                    {
                        auto holder = routers_[store_.leader].self;
                        holder.incarnation = store_.leader_incarnation;
                        std::erase_if(former, [&](const auto& item) { return item.name == holder.name; });
                        former.push_back(std::move(holder));
                    }
                    const auto answer = store_.commit(index, incarnation, expected, {});
                    if (answer.is_committed)
                    {
                        store_.former_leaders = std::move(former);
                    }
                    return answer;
                });
            },
            on_commit);
    };
    call<commit_answer>(
        index, store_node(), store_timeout,
        [this] {
            return std::optional(commit_answer{false, false, store_.leader_version, store_.leader});
        },
        on_read);
}

void ownership_model::become_leader(int index, std::int64_t version)
{
    auto& router = routers_[index];
    trace(router.self.name + " took the leadership, term " + std::to_string(version));
    ++terms_;
    router.leader = index;
    router.contact.on_leader_named(now_);
    router.office = std::make_shared<office_model>();
    auto& office = *router.office;
    office.term = {0, version};
    office.version = version;
    office.confirmation = leadership_confirmation(now_);
    office.state.emplace(
        options_.leader, router.self, office.term, now_,
        [this](const char* decision, const std::string& subject, const nlohmann::json& fields) {
            trace(decision + (" " + subject) + " " + fields.dump());
        });
    office.state->set_former_leaders(store_.former_leaders);
    read_store(index);
}

void ownership_model::step_down(int index, const char* reason)
{
    auto& router = routers_[index];
    trace(router.self.name + " gave up the leadership: " + reason);
    router.office = nullptr;
    router.leader = router.leader == index ? -1 : router.leader;
    router.contact.on_leader_named(now_);
}

std::optional<commit_answer> ownership_model::commit(std::function<commit_answer()> write)
{
    constexpr int lost_percent = 40;
    constexpr duration max_delay{6000};
    if (store_late_until_ <= now_ || !draw_chance(lost_percent))
    {
        return write();
    }
    schedule(duration{draw(0, max_delay.ms)}, -1, true, [this, run = std::move(write)] {
        if (run().is_committed)
        {
            trace("a write was done whose answer is lost, version " + std::to_string(store_.version));
        }
    });
    return std::nullopt;
}

void ownership_model::read_store(int index)
{
    call<stored_copy>(
        index, store_node(), store_timeout, [this] { return copy_store(); },
        [this, index, office = routers_[index].office,
         former = routers_[index].snapshot](std::optional<stored_copy> stored) {
            auto& router = routers_[index];
            if (router.office != office)
            {
                return;
            }
            if (!stored)
            {
                router.store_failing_since = router.store_failing_since.value_or(now_);
                schedule(store_retry, index, true, [this, index, office] {
                    if (routers_[index].office == office)
                    {
                        read_store(index);
                    }
                });
                return;
            }
            note_store_answer(router);
            if ((*stored)->leader_version != office->version)
            {
                step_down(index, "another router took the leadership");
                return;
            }
            for (const auto& [name, row] : (*stored)->rows)
            {
                office->row_versions[name] = row.version;
                office->state->load_row({name, row.document}, now_);
            }
            for (const auto& [name, item] : former.routers)
            {
                office->state->load_router(item, now_);
            }
            for (const auto& name : former.lost_routers)
            {
                office->state->load_lost_router(name, now_);
            }
            office->state->set_keyed_services({service});
            apply_registry(index, (*stored)->registry);
            office->is_started = true;
        });
}

void ownership_model::read_registry(int index)
{
    routers_[index].office->is_reading = true;
    call<stored_copy>(
        index, store_node(), store_timeout, [this] { return copy_store(); },
        [this, index, office = routers_[index].office](std::optional<stored_copy> stored) {
            office->is_reading = false;
            office->last_read = now_;
            auto& router = routers_[index];
            if (router.office != office)
            {
                return;
            }
            if (!stored)
            {
                router.store_failing_since = router.store_failing_since.value_or(now_);
                return;
            }
            note_store_answer(router);
            apply_registry(index, (*stored)->registry);
            propagate(index);
        });
}

void ownership_model::apply_registry(int index,
                                     const std::map<std::string, directory::backend_server>& registry)
{
    const auto& router = routers_[index];
    auto& office = *router.office;
    const auto former = std::exchange(office.registered, {});
    for (const auto& [id, server] : registry)
    {
        office.state->on_registered(server, now_);
        office.registered.insert(id);
    }
    const bool was_failing =
        router.store_recovered_at && now_ - *router.store_recovered_at < min_healthy_time;
    for (const auto& id : former)
    {
        if (!office.registered.contains(id))
        {
            office.state->on_unregistered(id, !was_failing, now_);
        }
    }
}

void ownership_model::note_store_answer(router_model& router) const
{
    if (router.store_failing_since)
    {
        router.store_failing_since.reset();
        router.store_recovered_at = now_;
    }
}

void ownership_model::check_leadership(int index)
{
    const auto office = routers_[index].office;
    if (!office || !office->confirmation.is_check_due(now_) || office->is_writing || office->is_checking)
    {
        return;
    }
    office->is_checking = true;
    call<std::int64_t>(
        index, store_node(), store_timeout, [this] { return std::optional(store_.leader_version); },
        [this, index, office, sent = now_](std::optional<std::int64_t> version) {
            office->is_checking = false;
            auto& router = routers_[index];
            if (router.office != office)
            {
                return;
            }
            if (!version)
            {
                router.store_failing_since = router.store_failing_since.value_or(now_);
                return;
            }
            note_store_answer(router);
            if (*version != office->version)
            {
                step_down(index, "the leadership row changed");
                return;
            }
            office->confirmation.on_confirmed(sent);
        });
}

void ownership_model::propagate(int index)
{
    auto& router = routers_[index];
    const auto office = router.office;
    if (!office || !office->is_started)
    {
        return;
    }
    if (now_ - office->last_tick >= min_tick_interval)
    {
        office->last_tick = now_;
        office->state->tick(now_);
        office->confirmation.on_tick(office->state->is_isolated(now_), now_);
    }
    if (!office->is_writing && now_ - office->last_write >= write_interval)
    {
        const auto rows = office->state->take_pending_rows();
        if (!rows.empty())
        {
            office->is_writing = true;
            office->last_write = now_;
            write_rows(index, rows, false);
        }
    }
    const auto revision = office->state->current().revision;
    if (now_ - office->last_publish < publish_interval)
    {
        return;
    }
    if (revision != office->published)
    {
        office->last_publish = now_;
        office->published = revision;
        const auto change = office->state->update_for(router.snapshot.term, router.snapshot.revision, now_);
        if (directory::apply(router.snapshot, change))
        {
            apply_fronts(index);
        }
    }
    for (auto& [to, recipient] : office->followers)
    {
        const bool is_known = office->state->current().routers.contains(routers_[to].self.name);
        if (is_known && recipient.revision >= 0 && recipient.revision < revision && !recipient.is_pushing)
        {
            recipient.is_pushing = true;
            push(index, to);
        }
    }
}

void ownership_model::write_rows(int index, const std::vector<assignment_row>& rows, bool may_be_committed)
{
    const auto office = routers_[index].office;
    std::map<std::string, store_model::row> changes;
    for (const auto& row : rows)
    {
        changes[row.name] = {row.document, office->row_versions[row.name]};
    }
    call<commit_answer>(
        index, store_node(), store_timeout,
        [this, index, incarnation = routers_[index].self.incarnation, expected = office->version, changes,
         former = office->state->former_leaders()] {
            return commit([this, index, incarnation, expected, changes, former] {
                const auto answer = store_.commit(index, incarnation, expected, changes);
                if (answer.is_committed)
                {
                    store_.former_leaders = former;
                }
                return answer;
            });
        },
        [this, index, office, rows, may_be_committed, sent = now_](std::optional<commit_answer> answer) {
            auto& router = routers_[index];
            if (router.office != office)
            {
                return;
            }
            if (!answer)
            {
                router.store_failing_since = router.store_failing_since.value_or(now_);
                schedule(store_retry, index, true, [this, index, office, rows] {
                    if (routers_[index].office == office)
                    {
                        write_rows(index, rows, true);
                    }
                });
                return;
            }
            note_store_answer(router);
            if (!answer->is_committed && !(may_be_committed && answer->is_same))
            {
                step_down(index, "a write met another leader");
                return;
            }
            office->version = answer->version;
            office->confirmation.on_confirmed(sent);
            office->is_writing = false;
            for (const auto& row : rows)
            {
                office->row_versions[row.name] = answer->version;
            }
            trace(router.self.name + " wrote version " + std::to_string(answer->version));
            office->state->on_written({0, answer->version});
            propagate(index);
        });
}

void ownership_model::push(int index, int to)
{
    const auto office = routers_[index].office;
    const auto known = office->followers[to].revision;
    auto change = office->state->update_for(known == 0 ? directory::generation() : office->term, known, now_);
    using answer = std::pair<directory::generation, std::int64_t>;
    call<answer>(
        index, to, push_timeout,
        [this, index, to, term = office->term, change = std::move(change)] {
            apply_update(to, term, index, change);
            auto& router = routers_[to];
            if (term == router.snapshot.term)
            {
                router.contact.on_contact(now_);
            }
            return std::optional(answer(router.snapshot.term, router.snapshot.revision));
        },
        [this, index, to, office](std::optional<answer> reply) {
            auto& recipient = office->followers[to];
            recipient.is_pushing = false;
            recipient.revision = reply ? reply->second : -1;
            if (routers_[index].office == office && reply && reply->first > office->term)
            {
                step_down(index, "a router follows a later leader");
            }
        });
}

time_point ownership_model::office_confirmed_at(const router_model& router) const
{
    const auto& office = *router.office;
    if (!office.is_started || router.snapshot.term != office.term)
    {
        return router.confirmed_at;
    }
    return office.confirmation.undisputed_at(now_, office.state->do_all_routers_follow(now_),
                                             router.store_failing_since.has_value());
}

time_point ownership_model::office_proved_at(const router_model& router) const
{
    const auto& office = *router.office;
    if (!office.is_started || router.snapshot.term != office.term)
    {
        return router.proved_at;
    }
    return office.confirmation.proved_at(now_, office.state->do_all_routers_follow(now_),
                                         router.store_failing_since.has_value());
}

bool ownership_model::needs_proof(const router_model& router) const
{
    const auto proved_at = router.office ? office_proved_at(router) : router.proved_at;
    return std::ranges::any_of(router.fronts,
                               [&](const auto& item) { return item.second->connected_at >= proved_at; });
}

void ownership_model::apply_fronts(int index)
{
    auto& router = routers_[index];
    std::erase_if(router.fronts, [&](auto& item) {
        const auto entry = router.snapshot.entries.find(item.first);
        item.second->is_removed =
            entry == router.snapshot.entries.end() || entry->second.front != router.self.name;
        return item.second->is_removed;
    });
    for (const auto& [id, entry] : router.snapshot.entries)
    {
        if (entry.front != router.self.name)
        {
            continue;
        }
        auto& server = router.fronts[id];
        if (!server)
        {
            server = std::make_shared<fronted_model>(entry, now_);
            router.is_report_requested = true;
            trace(router.self.name + " became the front of " + id + ", earlier grants end in " +
                  std::to_string(entry.prior_grant_remaining.ms));
        }
        else if (server->entry.revision != entry.revision || server->entry.token_base != entry.token_base)
        {
            if (server->entry.server.start_time_ms != entry.server.start_time_ms)
            {
                ++server->link;
                server->connection.reset();
                server->unreachable_since.reset();
                server->failures = 0;
                server->is_replaced = false;
                router.is_report_requested = true;
            }
            server->entry = entry;
            server->grants.update(entry, now_);
        }
        run_grants(index, server);
    }
}

void ownership_model::run_grants(int index, const std::shared_ptr<fronted_model>& server)
{
    const auto& router = routers_[index];
    const auto confirmed_at = router.office ? office_confirmed_at(router) : router.confirmed_at;
    const auto proved_at = router.office ? office_proved_at(router) : router.proved_at;
    const bool is_proved = server->connected_at < proved_at;
    const bool is_confirmed = is_proved && now_ - confirmed_at < grants::max_confirmation_age &&
                              server->connected_at < confirmed_at;
    if (server->grants.next_due(now_) <= now_ && !server->is_grant_pending && !server->connection)
    {
        server->is_grant_pending = true;
        const int address = address_of(*server);
        call<process>(
            index, backend_node(address), connect_timeout, [this, address] { return listener(address); },
            [this, index, server, used_link = server->link](std::optional<process> answer) {
                server->is_grant_pending = false;
                if (server->is_removed || used_link != server->link)
                {
                    return;
                }
                if (answer)
                {
                    server->connection = answer;
                    server->connected_at = now_;
                    if (!options_.is_reconnection_ignored)
                    {
                        server->grants.on_connected();
                    }
                    routers_[index].is_report_requested = true;
                    return;
                }
                server->grants.pause(now_);
                record_contact(index, *server, false);
            });
    }
    const auto failing_for = !router.office               ? router.leader_failing
                             : router.store_failing_since ? now_ - *router.store_failing_since
                                                          : duration{0};
    const bool is_outage =
        failing_for > outage_threshold || (!router.office && router.contact.may_be_outage(now_));
    const auto length = is_outage ? grants::outage_grant_duration : grants::grant_duration;
    while (!server->is_removed)
    {
        const auto item = server->grants.next_call(now_, is_confirmed && !server->is_grant_pending, length);
        if (!item)
        {
            return;
        }
        server->is_grant_pending = server->is_grant_pending || item->kind == grants::call_kind::grant;
        send_grant_call(index, server, *item);
    }
}

void ownership_model::send_grant_call(int index, const std::shared_ptr<fronted_model>& server,
                                      grants::grant_call item)
{
    const bool is_grant = item.kind == grants::call_kind::grant;
    const int address = address_of(*server);
    item.sent = now_;
    if (is_grant && !server->connection)
    {
        server->is_grant_pending = false;
        server->grants.on_not_sent(item, now_);
        record_contact(index, *server, false);
        return;
    }
    const auto used = is_grant ? std::exchange(server->connection, std::nullopt) : std::nullopt;
    const auto is_done = std::make_shared<bool>(false);
    const auto finish = [this, index, server, item, used_link = server->link,
                         is_done](const process& recipient, std::optional<unsigned> status) {
        if (!std::exchange(*is_done, true))
        {
            end_grant_call(index, server, item, recipient, used_link, status);
        }
    };
    schedule(is_grant ? grant_timeout : release_timeout, index, true, [finish] { finish({}, std::nullopt); });
    const bool is_any_id_accepted = options_.is_any_id_accepted;
    send(index, backend_node(address),
         [this, index, address, used, item, is_grant, is_done, finish, is_any_id_accepted,
          id = server->entry.server.id] {
             const auto arrived = used ? used : listener(address);
             // A call does not arrive after its connection was reset.
             if (*is_done || !arrived || !is_running(*arrived))
             {
                 return;
             }
             const auto recipient = *arrived;
             if (backends_[recipient.backend].id != id && !is_any_id_accepted)
             {
                 send(backend_node(address), index,
                      [finish, recipient] { finish(recipient, status_misdirected); });
                 return;
             }
             const bool is_late = backends_[recipient.backend].late_until > now_ && draw_chance(40);
             const bool has_work = !is_grant && draw_chance(50);
             const duration late{is_late ? draw(200, 6000) : 0};
             const duration work{has_work ? draw(20, 2000) : 0};
             const auto delay = late + (is_grant ? work : stop_work(recipient.backend, item, work));
             schedule(delay, -1, true, [this, index, recipient, item, arrival = now_, finish] {
                 if (!is_running(recipient))
                 {
                     return;
                 }
                 const bool is_accepted = apply_grant(recipient.backend, item, arrival);
                 send(backend_node(backends_[recipient.backend].address), index,
                      [finish, recipient, is_accepted] {
                          finish(recipient, is_accepted ? status_ok : status_superseded);
                      });
             });
         });
}

void ownership_model::end_grant_call(int index, const std::shared_ptr<fronted_model>& server,
                                     const grants::grant_call& item, const process& recipient, int used_link,
                                     std::optional<unsigned> status)
{
    const bool is_grant = item.kind == grants::call_kind::grant;
    server->is_grant_pending = server->is_grant_pending && !is_grant;
    if (server->is_removed)
    {
        return;
    }
    if (used_link != server->link)
    {
        server->grants.on_lost(item, now_);
        return;
    }
    if (is_grant && status == status_ok)
    {
        server->connection = recipient;
    }
    const bool is_replaced = status == status_misdirected;
    const bool is_answered = status && !is_replaced;
    server->is_replaced = is_replaced || (server->is_replaced && !is_answered);
    auto& router = routers_[index];
    if (!status)
    {
        trace(router.self.name + " got no answer from " + server->entry.server.id +
                  (is_grant ? " to grant " : " to release ") + std::to_string(item.token),
              item.range);
        server->grants.on_lost(item, now_);
    }
    else if (is_replaced)
    {
        trace(router.self.name + " was misdirected to " + backends_[recipient.backend].id, item.range);
        server->grants.on_not_sent(item, now_);
    }
    else if (!is_grant)
    {
        server->grants.on_released(item, "", now_);
        router.is_report_requested = true;
    }
    else if (*status == status_ok)
    {
        server->grants.on_granted(item, now_);
    }
    else
    {
        server->grants.on_superseded(item, now_);
        router.is_report_requested = true;
    }
    record_contact(index, *server, is_answered);
    if (is_answered)
    {
        run_grants(index, server);
    }
}

void ownership_model::record_contact(int index, fronted_model& server, bool is_reached)
{
    if (is_reached)
    {
        server.failures = 0;
        routers_[index].is_report_requested |=
            std::exchange(server.unreachable_since, std::nullopt).has_value();
        return;
    }
    if (++server.failures >= failures_until_unreachable && !server.unreachable_since)
    {
        server.unreachable_since = now_;
        routers_[index].is_report_requested = true;
    }
}

void ownership_model::probe(int index, const std::shared_ptr<fronted_model>& server)
{
    const int address = address_of(*server);
    call<bool>(
        index, backend_node(address), probe_timeout,
        [this, address] { return listener(address) ? std::optional(true) : std::nullopt; },
        [this, index, server](std::optional<bool> answer) {
            if (answer && !server->is_removed)
            {
                record_contact(index, *server, true);
            }
        });
}

duration ownership_model::stop_work(int index, const grants::grant_call& item, duration work)
{
    auto& keys = backends_[index].keys;
    const auto range = std::views::iota(item.range.first, item.range.last + 1);
    const bool is_repeated =
        std::ranges::any_of(range, [&](auto key) { return keys[key].works_until > now_; });
    const auto end = is_repeated ? now_ : now_ + work;
    auto latest = now_;
    for (const auto key : range)
    {
        auto& known = keys[key];
        known.works_until = std::max(known.works_until, std::min(end, known.held_until));
        latest = std::max(latest, known.works_until);
    }
    return options_.is_repeated_release_answered_early && is_repeated ? duration{0} : latest - now_;
}

bool ownership_model::apply_grant(int index, const grants::grant_call& item, time_point arrival)
{
    auto& backend = backends_[index];
    auto keys = std::views::iota(item.range.first, item.range.last + 1);
    const bool is_grant = item.kind == grants::call_kind::grant;
    const auto describe = [&](const char* what) {
        trace(backend.id + ": " + what + " " + std::to_string(item.range.first) + "-" +
                  std::to_string(item.range.last) + " token " + std::to_string(item.token) + " for " +
                  std::to_string(item.valid_for.ms) + " sent " + std::to_string((now_ - item.sent).ms) +
                  " ms ago",
              item.range);
    };
    if (!is_grant)
    {
        describe("release answered");
        std::ranges::for_each(keys, [&](auto key) { backend.keys[key].held_until = now_; });
        return true;
    }
    if (std::ranges::any_of(keys, [&](auto key) { return backend.keys[key].token > item.token; }))
    {
        describe("grant refused");
        return false;
    }
    describe("grant applied");
    const auto held_ms = static_cast<double>(item.valid_for.ms) * (1 + backend.drift);
    const auto end = arrival + duration{static_cast<std::int64_t>(std::floor(held_ms))};
    for (const auto key : keys)
    {
        // A grant that ended before it was applied makes its token known and holds nothing.
        if (end > now_)
        {
            check_owner(index, key, item.token);
        }
        auto& known = backend.keys[key];
        known = {item.token, std::max(known.held_until, end), known.works_until};
    }
    return true;
}

void ownership_model::check_owner(int index, std::uint32_t key, std::int64_t token)
{
    auto& known = owners_[key];
    const auto fail = [&](const std::string& what) {
        if (violation_.empty())
        {
            violated_key_ = key;
            violation_ = "key " + std::to_string(key) + ": " + what;
        }
    };
    for (std::size_t other = 0; other < backends_.size(); ++other)
    {
        const auto& held = backends_[other].keys[key];
        if (static_cast<int>(other) != index && held.held_until > now_)
        {
            fail(backends_[other].id + " holds it for " + std::to_string((held.held_until - now_).ms) +
                 " ms more, with token " + std::to_string(held.token) + ", while " + backends_[index].id +
                 " gets it with " + std::to_string(token));
        }
        if (static_cast<int>(other) != index && held.works_until > now_)
        {
            fail(backends_[other].id + " works on it for " + std::to_string((held.works_until - now_).ms) +
                 " ms more while " + backends_[index].id + " gets it with " + std::to_string(token));
        }
    }
    const auto recipient = running(index);
    const bool is_move = known.holder.backend != index;
    if (known.holder.backend >= 0 && known.holder != recipient)
    {
        moves_ += is_move ? 1 : 0;
        const auto name = [this](const process& item) {
            return backends_[item.backend].id + " in its life " + std::to_string(item.life);
        };
        if (token <= known.token && (is_move || options_.is_each_life_checked))
        {
            fail(name(recipient) + " gets it with token " + std::to_string(token) + " after " +
                 name(known.holder) + ", latest token " + std::to_string(known.token));
        }
    }
    known = {recipient, std::max(known.token, token)};
}

} // namespace briarfold::leader::tests
