#include "core/ids.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

constexpr core::duration report_timeout{450};
/// Interval between the reports of a router that has no directory yet.
constexpr core::duration joining_report_interval{130};
/// Requested reports are batched for this time.
constexpr core::duration report_delay{4};
/// A leader that cannot read the store for this time is replaced by one that can.
constexpr core::duration store_failure_limit{300};
/// Factor of the election delay: deputies come first, and each step of the others is longer than one try.
constexpr std::int64_t store_delay_factor = 3;
/// Time in which routers that were up while the store lost their secret write it again. A router that makes
/// another one before could not talk to them and would assign the same keys.
constexpr core::duration secret_wait{5000};
constexpr core::duration secret_poll_interval{300};
/// After this time without the store, possibly no router can take over, so grants last longer.
constexpr core::duration outage_threshold{800};

} // namespace

member::member(asio::any_io_executor executor, settings::edge_settings settings, const protocol& adapter,
               store_tables tables, event_log& log, member_callbacks callbacks)
    : state_(std::make_shared<state>(std::move(executor), std::move(settings), adapter, std::move(tables),
                                     log, std::move(callbacks)))
{}

member::~member() = default;

void member::start()
{
    asio::co_spawn(
        state_->executor, [self = state_] { return self->run(); },
        [self = state_](const std::exception_ptr& failure) {
            if (!failure)
            {
                return;
            }
            self->log.write("membership ended", {{"peer", http::to_string(self->settings.peer)}});
            self->log.flush();
            // Without membership this process serves nobody; the caller of the event loop ends it.
            std::rethrow_exception(failure);
        });
}

void member::begin_stop()
{
    state_->is_stopping = true;
    state_->self.is_stopping = true;
    request_report();
}

bool member::is_needed_as_leader() const
{
    return state_->leadership && std::ranges::any_of(state_->snapshot.routers, [this](const auto& item) {
               return item.first != state_->settings.name && !item.second.is_stopping;
           });
}

void member::kill()
{
    state_->is_ended = true;
    state_->step_down("this router ends");
    state_->report_timer.cancel();
    state_->network.reset();
    state_->callbacks = {};
}

void member::request_report()
{
    state_->is_report_requested = true;
    state_->report_timer.cancel();
}

asio::awaitable<bool> member::await_current_config()
{
    const auto state = state_;
    co_return co_await state->await_current_config();
}

core::duration member::config_age() const
{
    return state_->config_age();
}

core::time_point member::last_confirmation() const
{
    // Until a leader has read the rows, its fronts act on the directory of the former one.
    const bool is_leading = state_->leadership && state_->leadership->is_started();
    if (!is_leading)
    {
        return state_->confirmed_at;
    }
    // Changes may reach other routers before the leader applies them itself.
    return state_->leadership->knows_own_fronts(state_->snapshot) ? state_->leadership->confirmed_at()
                                                                  : core::time_point();
}

core::time_point member::last_proof() const
{
    const bool is_leading = state_->leadership && state_->leadership->is_started();
    return is_leading ? state_->leadership->proved_at() : state_->proved_at;
}

bool member::is_store_failing() const
{
    const auto now = clock::now();
    const auto failing =
        state_->leadership ? state_->health.failing_for(now) : state_->leader_store_failing_for;
    const bool is_leaderless = !state_->leadership && state_->contact.may_be_outage(now);
    return failing > outage_threshold || is_leaderless;
}

bool member::is_leader() const
{
    return state_->leadership != nullptr;
}

bool member::is_connected() const
{
    return !state_->snapshot.term.is_none() &&
           (state_->leadership || state_->contact.is_connected(clock::now()));
}

std::int64_t member::store_era() const
{
    return state_->health.era();
}

const directory::snapshot& member::directory() const
{
    return state_->snapshot;
}

std::set<std::string> member::evacuated_zones() const
{
    return state_->evacuations.known().zones();
}

std::optional<core::time_point> member::evacuated_since(const std::string& zone) const
{
    return state_->evacuations.known().evacuated_since(zone);
}

std::int64_t member::malformed_evacuations() const
{
    return state_->evacuations.malformed();
}

member::state::state(asio::any_io_executor io_executor, settings::edge_settings initial_settings,
                     const protocol& message_adapter, store_tables all_tables, event_log& decision_log,
                     member_callbacks owner_callbacks)
    : executor(std::move(io_executor)), settings(std::move(initial_settings)), adapter(message_adapter),
      tables(std::move(all_tables)), log(decision_log), callbacks(std::move(owner_callbacks)),
      report_timer(executor), currency(settings.max_config_delay, clock::now()),
      evacuations(log, tables.evacuation_prefix)
{
    evacuations.set_change_hook([this] { on_evacuations_changed(); });
    self.name = settings.name;
    self.incarnation = core::make_id("run");
    self.zone = settings.zone;
    self.peer = settings.advertised_peer.port != 0 ? settings.advertised_peer : settings.peer;
    self.cpu = settings.cpu;
    self.bandwidth_mbps = settings.bandwidth_mbps;
}

asio::awaitable<std::string> member::state::load_or_create_secret()
{
    std::optional<core::time_point> missed_since;
    while (!is_ended)
    {
        try
        {
            const auto rows = co_await tables.cluster_state->read_prefix("", store_timeout);
            internal::note_store_answer(health, log, rows.era);
            for (const auto& row : rows.rows)
            {
                if (row.key == internal::leadership_key)
                {
                    leader = directory::router_from_json(row.value.at("router"));
                    leadership_position = row.position();
                }
            }
            const auto secret = std::ranges::find(rows.rows, internal::secret_key, &store::row::key);
            if (secret != rows.rows.end())
            {
                co_return secret->value.at("secret").get<std::string>();
            }
            const auto now = clock::now();
            if (!missed_since)
            {
                missed_since = now;
                log.write("secret missing", {{"first_start", settings.is_first_start}, {"era", rows.era}});
            }
            if (!settings.is_first_start && now - *missed_since < secret_wait)
            {
                co_await core::pause_for(secret_poll_interval);
                continue;
            }
            const auto value = core::make_id("secret") + core::make_id("");
            std::vector<store::row_write> writes;
            writes.emplace_back(internal::secret_key, 0, json{{"secret", value}});
            const auto result = co_await tables.cluster_state->commit("", std::move(writes), store_timeout);
            if (result.is_committed)
            {
                co_return value;
            }
        }
        catch (const std::exception& failure)
        {
            internal::note_store_failure(health, log, "join", failure);
        }
        co_await core::pause_for(store_retry);
    }
    co_return "";
}

asio::awaitable<void> member::state::run()
{
    const auto self_reference = shared_from_this();
    joined_at = clock::now();
    secret = co_await load_or_create_secret();
    if (is_ended)
    {
        co_return;
    }
    wire::peer_settings peers(settings.peer, secret, settings.name);
    // A process with a small share of a processor may be throttled for most of a second.
    peers.pong_limit = core::duration{900};
    peers.budget = callbacks.budget;
    network = std::make_shared<wire::peer_network>(executor, std::move(peers));
    network->on_message(
        [weak = weak_from_this()](std::string from, std::string text) -> asio::awaitable<std::string> {
            const auto state = weak.lock();
            if (!state)
            {
                co_return "{}";
            }
            co_return co_await state->on_message(std::move(from), std::move(text));
        });
    callbacks.on_network(network);
    asio::co_spawn(
        executor, [self_reference] { return self_reference->watch_config(); }, asio::detached);
    // The stored leader gets a whole timeout: it may be busy because all routers have just started.
    contact = leader::leader_contact(clock::now());
    while (!is_ended)
    {
        is_report_requested = false;
        co_await report();
        if (is_ended)
        {
            co_return;
        }
        if (leadership && is_stopping)
        {
            offer_to_deputy();
        }
        if (is_leader_lost() && !is_stopping)
        {
            co_await replace_lost_leader();
        }
        if (is_deputy() && running_watches == 0)
        {
            running_watches = 2;
            asio::co_spawn(
                executor, [self_reference] { return self_reference->watch_as_deputy("config"); },
                asio::detached);
            asio::co_spawn(
                executor, [self_reference] { return self_reference->watch_as_deputy("registry"); },
                asio::detached);
        }
        // The store may fail for the leader and its deputies alike, so every router tries, one after the
        // other.
        const auto failure_limit = store_failure_limit + election_delay() * store_delay_factor;
        if (!leadership && !is_stopping && leader_store_failing_for > failure_limit)
        {
            co_await run_election("the leader cannot read the store");
        }
        boost::system::error_code ignored;
        const bool is_joining = snapshot.term.is_none() && !leadership;
        const auto wait = is_report_requested ? report_delay
                          : is_joining        ? joining_report_interval
                                              : contact.report_interval();
        report_timer.expires_after(std::chrono::milliseconds(wait.ms));
        co_await report_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool member::state::is_leader_lost() const
{
    return !leadership && (leader.name.empty() || contact.is_lost(clock::now(), election_delay()));
}

asio::awaitable<void> member::state::replace_lost_leader()
{
    co_await core::pause_for(election_delay());
    const bool is_found =
        contact.is_heard_of_since(clock::now(), contact.report_interval()) && !leader.name.empty();
    if (is_found || leadership)
    {
        co_return;
    }
    if (co_await is_leader_seen_by_others())
    {
        // The leader is busy or cut off from this router only.
        log.write("leader kept", {{"leader", leader.name}, {"failures", contact.failures()}});
        contact.on_leader_named(clock::now());
        co_return;
    }
    co_await run_election("the leader is lost");
}

leader::router_report member::state::make_report()
{
    leader::router_report result;
    result.router = self;
    result.term = snapshot.term;
    result.revision = snapshot.revision;
    callbacks.fill_report(result);
    return result;
}

asio::awaitable<void> member::state::report()
{
    if (leadership)
    {
        if (leadership->is_started())
        {
            leadership->on_own_report(make_report());
        }
        co_return;
    }
    if (leader.name.empty() || leader.name == settings.name)
    {
        contact.on_no_leader();
        co_return;
    }
    json message = {{"kind", "report"},
                    {"term", snapshot.term},
                    {"revision", snapshot.revision},
                    {"config", config_version},
                    {"report", leader::to_json(make_report())}};
    add_deputy_rows(message);
    evacuations.add_to(message);
    const auto sent = clock::now();
    const auto recipient = leader;
    const auto link = network;
    try
    {
        const auto text = co_await link->send_message(recipient.peer, message.dump(), report_timeout);
        const auto reply = internal::decode_message(text);
        // Later changes win wherever they come from, also from a leader that has been replaced.
        evacuations.apply_message(reply, recipient.name);
        const auto kind = reply.value("kind", "");
        const bool is_superseded =
            kind == "update" && reply.at("term").get<directory::generation>() < promised_term;
        if (kind == "update" && !is_superseded)
        {
            apply_update(reply);
            contact.on_contact(clock::now());
            leader_store_failing_for.ms = reply.value("store_failing", std::int64_t{0});
            if (reply.contains("confirmed_age"))
            {
                const core::duration age{reply.at("confirmed_age").get<std::int64_t>()};
                confirmed_at = std::max(confirmed_at, sent - age);
            }
            if (reply.contains("proved_age"))
            {
                const core::duration age{reply.at("proved_age").get<std::int64_t>()};
                proved_at = std::max(proved_at, sent - age);
            }
            contact.set_report_interval(core::duration{reply.value("report_interval", std::int64_t{0})});
            drop_confirmed_rows(reply);
            confirm_config(reply, sent);
        }
        else if (kind == "starting")
        {
            contact.on_leader_named(clock::now());
            leader_store_failing_for.ms = reply.value("store_failing", std::int64_t{0});
        }
        else if (!is_superseded && reply.contains("leader"))
        {
            const auto named = directory::router_from_json(reply.at("leader"));
            if (named.name == leader.name)
            {
                contact.on_failure();
            }
            leader = named;
        }
        else
        {
            contact.on_failure();
        }
    }
    catch (const core::timeout_error& failure)
    {
        contact.on_timeout();
        log.write("report unanswered", {{"leader", recipient.name}, {"reason", failure.what()}});
    }
    catch (const std::exception& failure)
    {
        contact.on_failure();
        log.write("report failed",
                  {{"leader", recipient.name}, {"reason", failure.what()}, {"failures", contact.failures()}});
    }
}

void member::state::apply_update(const json& message)
{
    const auto term = message.at("term").get<directory::generation>();
    if (term < std::max(snapshot.term, promised_term) || is_ended)
    {
        return;
    }
    leader = directory::router_from_json(message.at("leader"));
    if (leadership && term > leadership->term())
    {
        step_down("a later leader sent an update");
    }
    if (message.contains("config"))
    {
        adopt_packed_config(message.at("config").get<std::string>(), leader.name);
    }
    if (message.contains("directory"))
    {
        const auto change = directory::update_from_json(message.at("directory"));
        const bool is_new_term = term != snapshot.term;
        if (directory::apply(snapshot, change))
        {
            if (is_new_term)
            {
                log.write("leader followed", {{"leader", leader.name}, {"term", term}});
            }
            callbacks.on_directory(snapshot, change);
        }
    }
}

std::string member::state::report_position(const json& message)
{
    const auto term = message.at("term").get<directory::generation>();
    // The same leader asks again when the first answer was lost.
    if (term <= snapshot.term || term < promised_term)
    {
        return json{{"kind", "none"}}.dump();
    }
    promised_term = term;
    if (leadership)
    {
        leadership->publish();
        step_down("a later leader collects the directories");
    }
    leader = directory::router_from_json(message.at("leader"));
    contact.on_leader_named(clock::now());
    leader_store_failing_for = {};
    const json reply = {{"kind", "directory position"},
                        {"term", snapshot.term},
                        {"revision", snapshot.revision},
                        {"incarnation", self.incarnation}};
    return reply.dump();
}

asio::awaitable<std::string> member::state::on_message(std::string from, std::string text)
{
    const auto message = internal::decode_message(text);
    const auto kind = message.at("kind").get<std::string>();
    evacuations.apply_message(message, from);
    if (kind == "report" && leadership && leadership->is_started())
    {
        const auto term = message.at("term").get<directory::generation>();
        if (term > leadership->term())
        {
            step_down("a router follows a later leader");
            co_return json{{"kind", "none"}}.dump();
        }
        const auto service = leadership;
        co_return co_await service->handle_report(message);
    }
    if (kind == "report" && leadership)
    {
        // It may have to ask all routers first, which takes longer than their patience with a silent leader.
        co_return json{{"kind", "starting"}, {"store_failing", health.failing_for(clock::now()).ms}}.dump();
    }
    if (kind == "report")
    {
        const bool is_informed = !message.at("term").get<directory::generation>().is_none();
        has_informed_reporter = has_informed_reporter || is_informed;
        json reply = {{"kind", "elsewhere"}};
        if (!leader.name.empty() && leader.name != settings.name)
        {
            reply["leader"] = directory::to_json(leader);
        }
        co_return reply.dump();
    }
    if (kind == "update")
    {
        apply_update(message);
        if (message.at("term").get<directory::generation>() == snapshot.term)
        {
            contact.on_contact(clock::now());
        }
        co_return json{{"kind", "known"}, {"term", snapshot.term}, {"revision", snapshot.revision}}.dump();
    }
    if (kind == "leader seen")
    {
        const bool is_same = message.at("leader").get<std::string>() == leader.name;
        const bool is_seen = is_same && (leadership || contact.can_vouch(clock::now()));
        co_return json{{"kind", "leader seen"}, {"seen", is_seen}}.dump();
    }
    if (kind == "backend server leaves" && !is_ended)
    {
        callbacks.on_leaving({message.at("backend_server").get<std::string>(),
                              message.at("start_time_ms").get<std::int64_t>()},
                             message.at("gone").get<bool>());
    }
    if (kind == "configuration")
    {
        co_return co_await answer_config_question(message);
    }
    if (kind == "directory position")
    {
        co_return report_position(message);
    }
    if (kind == "directory" && message.at("term").get<directory::generation>() == promised_term)
    {
        const auto all = directory::make_update(snapshot, {}, {}, 0);
        const json reply = {{"kind", "directory"}, {"directory", directory::to_json(all)}};
        co_return internal::encode_message(reply.dump());
    }
    if (kind == "take over" && !leadership && !is_stopping &&
        message.at("term").get<directory::generation>() == snapshot.term)
    {
        asio::co_spawn(
            executor, [self = shared_from_this()] { return self->run_election("the leader stops"); },
            asio::detached);
    }
    co_return json{{"kind", "none"}, {"from", from}}.dump();
}

} // namespace briarfold::edge
