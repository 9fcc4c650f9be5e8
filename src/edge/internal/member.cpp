#include "core/ids.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

/// Three reports fit into the time after which the leader takes a router for lost.
constexpr core::duration report_interval{350};
constexpr core::duration report_timeout{450};
/// Requested reports are gathered for this time.
constexpr core::duration report_gather{4};
/// The leader counts as lost after this time without an answer, or at once when it refuses connections twice.
constexpr core::duration leader_silence{1100};
constexpr int refusals_of_lost_leader = 3;
constexpr core::duration contact_limit{2200};
/// A leader that cannot read the store for this time is replaced by one that can.
constexpr core::duration store_patience{300};
/// Deputies come first; each step of the others is longer than one try.
constexpr std::int64_t store_steps = 3;
/// From then on no router may be able to take over, so grants last longer.
constexpr core::duration long_hold_after{800};

} // namespace

member::member(asio::any_io_executor executor, settings::edge_settings settings, const protocol& hooks,
               store_tables tables, event_log& log, member_hooks surroundings)
    : state_(std::make_shared<state>(std::move(executor), std::move(settings), hooks, std::move(tables), log,
                                     std::move(surroundings)))
{}

member::~member() = default;

void member::start()
{
    asio::co_spawn(
        state_->executor, [self = state_] { return self->run(); }, asio::detached);
}

void member::begin_stop()
{
    state_->is_stopping = true;
    state_->self.is_stopping = true;
    report_soon();
    if (state_->leading && state_->network)
    {
        const auto& deputies = state_->known.deputies;
        const auto deputy = state_->known.routers.find(deputies.empty() ? "" : deputies.front());
        if (deputy != state_->known.routers.end())
        {
            asio::co_spawn(
                state_->executor,
                [self = state_, peer = deputy->second.peer] { return self->offer_leadership(peer); },
                asio::detached);
        }
    }
}

void member::kill()
{
    state_->is_ended = true;
    state_->step_down("this router ends");
    state_->report_timer.cancel();
    state_->network.reset();
    state_->surroundings = {};
}

void member::report_soon()
{
    state_->is_report_wanted = true;
    state_->report_timer.cancel();
}

core::time_point member::authority() const
{
    return state_->leading ? state_->leading->confirmed_at() : state_->authority_at;
}

bool member::is_store_failing() const
{
    const auto now = clock::now();
    const auto failing = state_->leading ? state_->health.failing_for(now) : state_->leader_store_failing;
    const bool is_leaderless = !state_->leading && now - state_->last_contact > long_hold_after;
    return failing > long_hold_after || is_leaderless;
}

bool member::is_leader() const
{
    return state_->leading != nullptr;
}

bool member::is_connected() const
{
    return state_->known.term > 0 && (state_->leading || clock::now() - state_->last_contact < contact_limit);
}

const directory::snapshot& member::directory() const
{
    return state_->known;
}

member::state::state(asio::any_io_executor base, settings::edge_settings values, const protocol& names,
                     store_tables rows, event_log& lines, member_hooks outside)
    : executor(std::move(base)), settings(std::move(values)), hooks(names), tables(std::move(rows)),
      log(lines), surroundings(std::move(outside)), report_timer(executor)
{
    self.name = settings.name;
    self.incarnation = core::make_id("run");
    self.zone = settings.zone;
    self.peer = settings.peer;
    self.cpu = settings.cpu;
}

asio::awaitable<std::string> member::state::learn_secret()
{
    while (!is_ended)
    {
        try
        {
            const auto rows = co_await tables.cluster_state->read_prefix("", store_timeout);
            health.on_success(clock::now());
            for (const auto& row : rows.rows)
            {
                if (row.key == internal::leadership_key)
                {
                    leader = directory::router_from_json(row.value.at("router"));
                    known.term = 0;
                }
            }
            const auto secret = std::ranges::find(rows.rows, internal::secret_key, &store::row::key);
            if (secret != rows.rows.end())
            {
                co_return secret->value.at("secret").get<std::string>();
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
    const auto secret = co_await learn_secret();
    if (is_ended)
    {
        co_return;
    }
    wire::peer_settings peers(settings.peer, secret, settings.name);
    // A small share of a processor may be used up for most of a second.
    peers.pong_limit = core::duration{900};
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
    surroundings.on_network(network);
    last_contact = clock::now() - leader_silence;
    while (!is_ended)
    {
        is_report_wanted = false;
        co_await report();
        if (is_ended)
        {
            co_return;
        }
        const auto now = clock::now();
        const bool is_lost = !leading && (now - last_contact > leader_silence + election_delay() ||
                                          failed_reports >= refusals_of_lost_leader || leader.name.empty());
        if (is_lost && !is_stopping)
        {
            co_await core::pause_for(election_delay());
            const bool is_found = clock::now() - last_contact < report_interval && !leader.name.empty();
            if (!is_found && !leading)
            {
                co_await elect("the leader is lost");
            }
        }
        if (is_deputy() && watchers == 0)
        {
            watchers = 2;
            asio::co_spawn(
                executor, [self_reference] { return self_reference->watch_as_deputy("config"); },
                asio::detached);
            asio::co_spawn(
                executor, [self_reference] { return self_reference->watch_as_deputy("registry"); },
                asio::detached);
        }
        // The leader may be turned away together with its deputies, so every router looks, one after the
        // other.
        const auto patience = store_patience + election_delay() * store_steps;
        if (!leading && !is_stopping && leader_store_failing > patience)
        {
            co_await elect("the leader cannot read the store");
        }
        boost::system::error_code ignored;
        const auto wait = is_report_wanted ? report_gather : report_interval;
        report_timer.expires_after(std::chrono::milliseconds(wait.ms));
        co_await report_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

leader::router_report member::state::make_report()
{
    leader::router_report result;
    result.router = self;
    surroundings.fill_report(result);
    return result;
}

asio::awaitable<void> member::state::report()
{
    if (leading)
    {
        if (leading->is_started())
        {
            leading->on_own_report(make_report());
        }
        co_return;
    }
    if (leader.name.empty() || leader.name == settings.name)
    {
        failed_reports = refusals_of_lost_leader;
        co_return;
    }
    json message = {{"kind", "report"},
                    {"term", known.term},
                    {"revision", known.revision},
                    {"config", known_config_version},
                    {"report", leader::to_json(make_report())}};
    add_news(message);
    const auto sent = clock::now();
    const auto asked = leader;
    const auto link = network;
    try
    {
        const auto text = co_await link->send_message(asked.peer, message.dump(), report_timeout);
        const auto reply = json::parse(text);
        if (reply.value("kind", "") == "update")
        {
            apply_update(reply);
            failed_reports = 0;
            last_contact = clock::now();
            leader_store_failing.ms = reply.value("store_failing", std::int64_t{0});
            const core::duration age{reply.value("confirmed_age", std::int64_t{0})};
            authority_at = std::max(authority_at, sent - age);
            drop_known_news(reply);
        }
        else if (reply.contains("leader"))
        {
            const auto named = directory::router_from_json(reply.at("leader"));
            failed_reports += named.name == leader.name ? 1 : 0;
            leader = named;
        }
        else
        {
            ++failed_reports;
        }
    }
    catch (const core::timeout_error& failure)
    {
        log.write("report unanswered", {{"leader", asked.name}, {"reason", failure.what()}});
    }
    catch (const std::exception& failure)
    {
        ++failed_reports;
        log.write("report failed",
                  {{"leader", asked.name}, {"reason", failure.what()}, {"failures", failed_reports}});
    }
}

void member::state::apply_update(const json& message)
{
    const auto term = message.at("term").get<std::int64_t>();
    if (term < known.term || is_ended)
    {
        return;
    }
    leader = directory::router_from_json(message.at("leader"));
    if (leading && term > leading->term())
    {
        step_down("a later leader sent an update");
    }
    if (message.contains("config"))
    {
        try
        {
            auto packed = message.at("config").get<std::string>();
            auto parsed = hooks.read_config(internal::unpack(packed));
            const auto version = parsed.version;
            if (surroundings.on_config(std::move(parsed)))
            {
                packed_config = std::move(packed);
                known_config_version = version;
                log.write("configuration in force", {{"version", version}, {"from", leader.name}});
            }
        }
        catch (const std::exception& failure)
        {
            log.write("configuration refused", {{"reason", failure.what()}});
        }
    }
    if (message.contains("directory"))
    {
        const auto change = directory::update_from_json(message.at("directory"));
        const bool is_new_term = term != known.term;
        if (directory::apply(known, change))
        {
            if (is_new_term)
            {
                log.write("leader followed", {{"leader", leader.name}, {"term", term}});
            }
            surroundings.on_directory(known, change);
        }
    }
}

asio::awaitable<std::string> member::state::on_message(std::string from, std::string text)
{
    const auto message = json::parse(text);
    const auto kind = message.at("kind").get<std::string>();
    if (kind == "report" && leading && leading->is_started())
    {
        const auto term = message.at("term").get<std::int64_t>();
        if (term > leading->term())
        {
            step_down("a router follows a later leader");
            co_return json{{"kind", "none"}}.dump();
        }
        co_return leading->answer(message);
    }
    if (kind == "report")
    {
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
        if (message.at("term").get<std::int64_t>() == known.term)
        {
            failed_reports = 0;
            last_contact = clock::now();
        }
        co_return json{{"kind", "known"}, {"term", known.term}, {"revision", known.revision}}.dump();
    }
    if (kind == "take over" && !leading && message.at("term").get<std::int64_t>() == known.term)
    {
        asio::co_spawn(
            executor, [self = shared_from_this()] { return self->elect("the leader stops"); },
            asio::detached);
    }
    co_return json{{"kind", "none"}, {"from", from}}.dump();
}

} // namespace briarfold::edge
