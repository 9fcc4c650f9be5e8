#include "edge/internal/leader_service.hpp"

#include "core/pause.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge::internal {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;
using namespace core::literals;

constexpr core::duration tick_interval{50};
/// Minimum interval between two checks of the leadership in the store.
constexpr core::duration min_check_interval{40};
/// Maximum wait of a report for the proof; below the time for which its sender waits.
constexpr core::duration max_proof_wait{300};
constexpr core::duration proof_poll_interval{5};
/// A move of keys takes a few hundred milliseconds, so this interval adds little to it.
constexpr core::duration min_publish_interval{40};
/// Processor time to send an update to one router and to read its answer: about that of a forwarded request,
/// see docs/CAPACITY.md.
constexpr double push_cost_ms = 0.1;
/// Maximum share of its processor that a leader spends on pushes.
constexpr double max_push_share = 0.2;
/// Processor time to answer one report.
constexpr double report_cost_ms = 0.1;
/// Maximum share of its processor that a leader spends on reports.
constexpr double max_report_share = 0.15;
constexpr core::duration min_report_interval{350};
constexpr core::duration max_report_interval{1200};
/// Reports arrive up to a few hundred times per second; the changes that they cause are evaluated at most
/// once per this interval.
constexpr core::duration min_tick_interval{15};
/// Maximum age of a cached update. Remaining times in an update count from its receipt, so caching extends
/// them.
constexpr core::duration update_lifetime{100};
constexpr core::duration write_interval{60};
constexpr core::duration push_timeout{700};
/// Pushes at the same time. After a start or a change of leader every router needs the whole directory; sent
/// to all at once, it would delay the leader's answers to reports until they time out.
constexpr std::size_t max_running_pushes = 32;
/// A leader offers the leadership to a deputy with at least this many times its share of a processor. A
/// smaller gain is not worth it: keys of backend servers that are lost soon after a change of leader wait for
/// the longest grant.
constexpr double handover_factor = 2;
/// Minimum time between two offers of the leadership. An offer leads to an election, which takes a fraction
/// of this time.
constexpr core::duration handover_interval{3000};

} // namespace

json to_json(const leadership_record& value)
{
    json former = json::array();
    std::ranges::transform(value.former_leaders, std::back_inserter(former),
                           [](const auto& item) { return directory::to_json(item); });
    return {{"router", directory::to_json(value.leader)},
            {"former", std::move(former)},
            {"written", value.written},
            {"assigned_era", value.assigned_era}};
}

leadership_record leadership_from_json(const json& value)
{
    leadership_record result;
    result.leader = directory::router_from_json(value.at("router"));
    result.written = value.value("written", directory::generation());
    result.assigned_era = value.value("assigned_era", std::int64_t{0});
    if (value.contains("former"))
    {
        std::ranges::transform(value.at("former"), std::back_inserter(result.former_leaders),
                               directory::router_from_json);
    }
    return result;
}

leader_service::leader_service(asio::any_io_executor executor, directory::router self,
                               const protocol& adapter, store_tables tables, store_health& health,
                               event_log& log, evacuation_tracker& evacuations, leader_callbacks callbacks,
                               leadership_start start, std::string packed_config)
    : executor_(std::move(executor)), self_(std::move(self)), adapter_(adapter), tables_(std::move(tables)),
      health_(health), log_(log), evacuations_(evacuations), callbacks_(std::move(callbacks)),
      term_(start.record.written), written_(term_), leadership_version_(start.version),
      assigned_era_(start.record.assigned_era), rewritten_era_(start.record.assigned_era),
      secret_(std::move(start.secret)), former_leaders_(std::move(start.record.former_leaders)),
      confirmation_(clock::now()), last_handover_(clock::now()), packed_config_(std::move(packed_config))
{}

asio::awaitable<void> leader_service::start(directory::snapshot former)
{
    const auto self = shared_from_this();
    leader::leader_settings settings;
    state_.emplace(settings, self_, term_, clock::now(),
                   [this](const char* decision, const std::string& subject, json fields) {
                       fields["subject"] = subject;
                       fields["term"] = term_;
                       log_.write(decision, std::move(fields));
                   });
    state_->set_former_leaders(former_leaders_);
    state_->set_evacuated_zones(evacuations_.known().zones());
    bool is_loaded = false;
    while (is_running())
    {
        try
        {
            const auto sent = clock::now();
            const auto rows = co_await tables_.cluster_state->read_prefix("", store_timeout);
            note_store_answer(health_, log_, rows.era);
            const auto row = std::ranges::find(rows.rows, leadership_key, &store::row::key);
            const bool is_replaced = row == rows.rows.end() || row->version != leadership_version_;
            if (is_replaced && !is_rewrite_due())
            {
                callbacks_.on_deposed("another router took the leadership before the start");
                co_return;
            }
            if (!is_loaded && is_rewrite_due())
            {
                former = co_await recover_directory(std::move(former));
            }
            else if (!is_loaded)
            {
                const auto now = clock::now();
                for (const auto& item : rows.rows)
                {
                    if (!item.key.starts_with(assignment_prefix))
                    {
                        continue;
                    }
                    const auto name = item.key.substr(std::string(assignment_prefix).size());
                    assignment_versions_[name] = item.version;
                    state_->load_row({name, item.value}, now);
                }
            }
            is_loaded = true;
            for (const auto& [name, router] : former.routers)
            {
                state_->load_router(router, clock::now());
                followers_[name] = {};
            }
            for (const auto& name : former.lost_routers)
            {
                state_->load_lost_router(name, clock::now());
            }
            const auto config_position = co_await read_config();
            const auto registry_position = co_await read_registry();
            confirmation_.on_confirmed(sent);
            is_started_ = true;
            publish();
            asio::co_spawn(
                executor_, [self] { return self->run_ticks(); }, asio::detached);
            asio::co_spawn(
                executor_, [self, config_position] { return self->follow_config(config_position); },
                asio::detached);
            asio::co_spawn(
                executor_, [self, registry_position] { return self->follow_registry(registry_position); },
                asio::detached);
            co_return;
        }
        catch (const std::exception& failure)
        {
            health_.on_failure(clock::now());
            log_.write("store failed", {{"step", "start of the leader"}, {"reason", failure.what()}});
        }
        co_await core::pause_for(store_retry);
    }
}

void leader_service::publish()
{
    if (is_started_)
    {
        callbacks_.on_directory_change(*state_);
    }
}

void leader_service::stop()
{
    is_stopped_ = true;
}

core::time_point leader_service::confirmed_at() const
{
    const auto now = clock::now();
    return confirmation_.undisputed_at(now, state_->do_all_routers_follow(now), health_.is_failing());
}

core::time_point leader_service::proved_at() const
{
    const auto now = clock::now();
    return confirmation_.proved_at(now, state_->do_all_routers_follow(now), health_.is_failing());
}

bool leader_service::knows_own_fronts(const directory::snapshot& known) const
{
    return state_->knows_its_fronts(self_.name, known.term == term_ ? known.revision : 0);
}

void leader_service::propagate_changes()
{
    if (!is_started_ || !is_running())
    {
        return;
    }
    const auto now = clock::now();
    if (now - last_tick_ >= min_tick_interval)
    {
        last_tick_ = now;
        state_->set_report_interval(report_interval());
        state_->tick(now);
        confirmation_.on_tick(state_->is_isolated(now), now);
    }
    if (!is_writing_ && is_rewrite_due())
    {
        is_writing_ = true;
        asio::co_spawn(
            executor_, [self = shared_from_this()] { return self->rewrite_rows(); }, asio::detached);
    }
    if (!is_writing_ && now - last_write_ >= write_interval)
    {
        auto rows = state_->take_pending_rows();
        if (!rows.empty())
        {
            is_writing_ = true;
            last_write_ = now;
            asio::co_spawn(
                executor_,
                [self = shared_from_this(), rows = std::move(rows)] { return self->write_rows(rows); },
                asio::detached);
        }
    }
    // Each published change makes every router read its directory again, so changes are batched.
    const bool is_urgent =
        config_version_ != published_config_ || evacuations_.changes() != published_evacuations_;
    if (now - last_publish_ < publish_interval() && !is_urgent)
    {
        return;
    }
    const auto& current = state_->current();
    const bool is_changed = current.revision != published_revision_ || config_version_ != published_config_;
    if (is_changed)
    {
        last_publish_ = now;
        published_revision_ = current.revision;
        published_config_ = config_version_;
        callbacks_.on_directory_change(*state_);
    }
    published_evacuations_ = evacuations_.changes();
    start_pushes();
}

void leader_service::start_pushes()
{
    const auto& current = state_->current();
    const auto start = followers_.upper_bound(last_pushed_);
    const auto try_push = [&](auto& item) {
        auto& [name, recipient] = item;
        const bool is_behind = recipient.revision < current.revision || recipient.config < config_version_ ||
                               recipient.evacuations < evacuations_.changes();
        if (running_pushes_ >= max_running_pushes || !is_behind || recipient.is_pushing ||
            recipient.revision < 0 || !current.routers.contains(name))
        {
            return;
        }
        recipient.is_pushing = true;
        ++running_pushes_;
        last_pushed_ = name;
        asio::co_spawn(
            executor_, [self = shared_from_this(), name = name] { return self->push(name); }, asio::detached);
    };
    std::for_each(start, followers_.end(), try_push);
    std::for_each(followers_.begin(), start, try_push);
}

core::duration leader_service::publish_interval() const
{
    const auto routers = static_cast<double>(state_->current().routers.size());
    const double needed = routers * push_cost_ms / (self_.cpu * max_push_share);
    return std::max(min_publish_interval, core::duration{static_cast<std::int64_t>(needed)});
}

core::duration leader_service::report_interval() const
{
    const auto routers = static_cast<double>(state_->current().routers.size());
    const double needed = routers * report_cost_ms / (self_.cpu * max_report_share);
    return std::clamp(core::duration{static_cast<std::int64_t>(needed)}, min_report_interval,
                      max_report_interval);
}

const std::string& leader_service::make_update(std::int64_t revision, std::int64_t config)
{
    const auto now = clock::now();
    if (updates_revision_ != state_->current().revision || updates_evacuations_ != evacuations_.changes() ||
        now - updates_built_at_ > update_lifetime)
    {
        updates_evacuations_ = evacuations_.changes();
        updates_.clear();
        updates_revision_ = state_->current().revision;
        updates_built_at_ = now;
    }
    const bool has_config = config < config_version_;
    auto& message = updates_[{revision, has_config}];
    if (message.empty())
    {
        auto fields = update_header();
        fields["directory"] = directory::to_json(
            state_->update_for(revision == 0 ? directory::generation() : term_, revision, now));
        if (has_config)
        {
            fields["config"] = packed_config_;
        }
        message = encode_message(fields.dump());
    }
    return message;
}

json leader_service::update_header() const
{
    json header = {{"kind", "update"}, {"term", term_}, {"leader", directory::to_json(self_)}};
    evacuations_.add_to(header);
    return header;
}

asio::awaitable<void> leader_service::push(std::string name)
{
    const auto self = shared_from_this();
    const auto router = state_->current().routers.find(name);
    const auto recipient = followers_[name];
    if (router != state_->current().routers.end())
    {
        const auto sent_revision = state_->current().revision;
        const auto sent_config = config_version_;
        const auto sent_evacuations = evacuations_.changes();
        const auto peer = router->second.peer;
        auto message = make_update(recipient.revision, recipient.config);
        try
        {
            const auto text = co_await callbacks_.send(peer, std::move(message), push_timeout);
            const auto reply = decode_message(text);
            if (reply.value("term", directory::generation()) > term_)
            {
                callbacks_.on_deposed("a router follows a later leader");
            }
            else
            {
                auto& record = followers_[name];
                record.revision = reply.value("revision", std::int64_t{-1});
                record.config = std::max(record.config, sent_config);
                record.evacuations = std::max(record.evacuations, sent_evacuations);
            }
        }
        catch (const std::exception& failure)
        {
            // The router gets the missed changes in the answer to its next report.
            log_.write("push failed",
                       {{"router", name}, {"revision", sent_revision}, {"reason", failure.what()}});
            followers_[name].revision = -1;
        }
    }
    followers_[name].is_pushing = false;
    --running_pushes_;
    if (is_running())
    {
        start_pushes();
    }
}

void leader_service::on_evacuations_changed()
{
    if (state_)
    {
        state_->set_evacuated_zones(evacuations_.known().zones());
    }
    propagate_changes();
}

asio::awaitable<std::string> leader_service::handle_report(json message)
{
    const auto self = shared_from_this();
    auto report = leader::report_from_json(message.at("report"));
    const auto term = message.at("term").get<directory::generation>();
    const auto revision = message.at("revision").get<std::int64_t>();
    report.term = term;
    report.revision = revision;
    const auto now = clock::now();
    state_->on_report(report, now);
    if (message.contains("news"))
    {
        apply_deputy_rows(message.at("news"));
    }
    const auto config = message.at("config").get<std::int64_t>();
    auto& recipient = followers_[report.router.name];
    const auto known_revision = term == term_ ? revision : 0;
    // The answer to a running push is newer than this report.
    if (!recipient.is_pushing)
    {
        recipient.revision = known_revision;
        recipient.config = config;
    }
    propagate_changes();
    if (report.needs_proof)
    {
        confirmation_.request_proof(now);
        start_check();
        while (is_running() && proved_at() < now && clock::now() - now < max_proof_wait)
        {
            co_await core::pause_for(proof_poll_interval);
        }
        if (!is_running())
        {
            co_return json{{"kind", "none"}}.dump();
        }
    }
    // Changes are pushed, so that answers to reports are short and in time however much there is to send.
    auto reply = update_header();
    if (term == term_ && state_->knows_its_fronts(report.router.name, revision))
    {
        reply["confirmed_age"] = (clock::now() - confirmed_at()).ms;
        // Counts from the arrival of the report, however long the proof took.
        reply["proved_age"] = std::max(now - proved_at(), core::duration{0}).ms;
    }
    reply["config_version"] = config_version_;
    reply["config_age"] = (clock::now() - config_confirmed_at_).ms;
    reply["config_position"] = position_to_json(config_position_);
    reply["registry_position"] = position_to_json(registry_position_);
    reply["store_failing"] = health_.failing_for(clock::now()).ms;
    reply["report_interval"] = report_interval().ms;
    co_return reply.dump();
}

void leader_service::on_own_report(const leader::router_report& report)
{
    const auto now = clock::now();
    state_->on_report(report, now);
    if (report.needs_proof)
    {
        confirmation_.request_proof(now);
        start_check();
    }
    propagate_changes();
}

asio::awaitable<void> leader_service::run_ticks()
{
    const auto self = shared_from_this();
    while (is_running())
    {
        state_->choose_deputies(clock::now());
        propagate_changes();
        offer_to_stronger_deputy();
        start_check();
        co_await core::pause_for(tick_interval);
    }
}

void leader_service::start_check()
{
    const auto now = clock::now();
    const bool is_due = confirmation_.is_check_due(now) && now - last_check_ >= min_check_interval;
    if (!is_due || is_checking_ || is_writing_)
    {
        return;
    }
    is_checking_ = true;
    last_check_ = now;
    asio::co_spawn(
        executor_, [self = shared_from_this()] { return self->check_leadership(); }, asio::detached);
}

void leader_service::offer_to_stronger_deputy()
{
    const auto now = clock::now();
    const auto& current = state_->current();
    const auto deputy = current.routers.find(current.deputies.empty() ? "" : current.deputies.front());
    const bool is_due = now - last_handover_ > handover_interval && !health_.is_failing();
    if (!is_due || deputy == current.routers.end() || deputy->second.cpu < self_.cpu * handover_factor)
    {
        return;
    }
    last_handover_ = now;
    log_.write("leadership offered", {{"router", deputy->first}, {"cpu", deputy->second.cpu}});
    callbacks_.offer_leadership(deputy->second.peer);
}

void leader_service::apply_deputy_rows(const json& rows)
{
    for (const auto& item : rows)
    {
        const auto position = position_from_json(item.at("position"));
        store::row row(item.at("key").get<std::string>(), position.number, 0, "", item.at("value"));
        row.era = position.era;
        const bool is_config = item.at("table").get<std::string>() == "config";
        const auto seen = is_config ? config_position_ : known_registrations_[row.key].position;
        if (position <= seen)
        {
            continue;
        }
        log_.write("news of a deputy",
                   {{"key", row.key}, {"era", row.era}, {"version", row.version}, {"config", is_config}});
        if (is_config)
        {
            config_position_ = position;
            apply_config(row.value);
        }
        else
        {
            apply_registration(row);
        }
    }
}

} // namespace briarfold::edge::internal
