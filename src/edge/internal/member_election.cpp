#include "core/key_hash.hpp"
#include "edge/internal/member_state.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace briarfold::edge {

namespace {

/// Delay between the routers that try to become the leader one after the other, in an order that differs for
/// each term.
constexpr core::duration election_step{60};
/// An offer takes as long as a report, so it has the same timeout.
constexpr core::duration offer_timeout{450};
/// Time for which the deputies, who read the store already, are the only candidates.
constexpr core::duration deputy_head_start{600};
constexpr std::size_t witness_count = 4;
/// Time for which a router leaves the leadership to one that knows more, when the stored assignments may be
/// older than what that one knows.
constexpr core::duration informed_head_start{1500};
/// The same while this router has not heard of any that knows more. Routers that follow the stored leader
/// report to it within this time.
constexpr core::duration unseen_head_start{600};
/// A router that answers at all does so within this time, unless it is as busy as the leader may be.
constexpr core::duration witness_timeout{350};

} // namespace

core::duration member::state::election_delay() const
{
    constexpr std::uint64_t max_steps = 12;
    // Routers with a small share of a processor, compared with the largest known, come later.
    constexpr double default_max_cpu = 0.5;
    constexpr double steps_per_ratio = 2;
    constexpr double max_weak_steps = 10;
    // After a restart of all routers the former leader is a good choice and known to all.
    if (snapshot.term.is_none() && leader.name == settings.name)
    {
        return {};
    }
    double max_cpu = snapshot.routers.empty() ? default_max_cpu : settings.cpu;
    for (const auto& [name, router] : snapshot.routers)
    {
        max_cpu = std::max(max_cpu, router.cpu);
    }
    const auto weak_steps = std::clamp((max_cpu / settings.cpu - 1) * steps_per_ratio, 0.0, max_weak_steps);
    const auto rank = core::text_hash(settings.name + json(snapshot.term).dump()) % max_steps +
                      static_cast<std::uint64_t>(weak_steps);
    const auto position = std::ranges::find(snapshot.deputies, settings.name);
    const bool is_listed = position != snapshot.deputies.end();
    if (is_listed)
    {
        return election_step * (position - snapshot.deputies.begin());
    }
    const auto head_start = snapshot.deputies.empty() ? core::duration{0} : deputy_head_start;
    return head_start + election_step * static_cast<std::int64_t>(rank + snapshot.deputies.size() + 1);
}

std::vector<http::endpoint> member::state::choose_witnesses() const
{
    std::vector<http::endpoint> chosen;
    std::set<std::string> zones;
    const auto add = [&](const directory::router& router) {
        if (router.name != settings.name && router.name != leader.name && !router.is_stopping &&
            chosen.size() < witness_count)
        {
            chosen.push_back(router.peer);
            zones.insert(router.zone);
        }
    };
    for (const auto& name : snapshot.deputies)
    {
        if (const auto known = snapshot.routers.find(name); known != snapshot.routers.end())
        {
            add(known->second);
        }
    }
    for (const auto& [name, router] : snapshot.routers)
    {
        if (!zones.contains(router.zone))
        {
            add(router);
        }
    }
    return chosen;
}

asio::awaitable<bool> member::state::is_leader_seen_by_others()
{
    struct survey
    {
        explicit survey(const asio::any_io_executor& io_executor) : done(io_executor) {}

        asio::steady_timer done;
        std::size_t unanswered = 0;
        bool is_seen = false;
    };
    const auto result = std::make_shared<survey>(executor);
    const json question = {{"kind", "leader seen"}, {"leader", leader.name}};
    const auto witnesses = choose_witnesses();
    result->unanswered = witnesses.size();
    result->done.expires_after(std::chrono::milliseconds(witness_timeout.ms));
    for (const auto& peer : witnesses)
    {
        asio::co_spawn(
            executor,
            [link = network, peer, text = question.dump(), result]() -> asio::awaitable<void> {
                try
                {
                    const auto answer =
                        internal::decode_message(co_await link->send_message(peer, text, witness_timeout));
                    result->is_seen = result->is_seen || answer.value("seen", false);
                }
                catch (const std::exception&)
                {
                    // A witness that does not answer says nothing about the leader.
                }
                --result->unanswered;
                if (result->is_seen || result->unanswered == 0)
                {
                    result->done.cancel();
                }
            },
            asio::detached);
    }
    if (result->unanswered > 0)
    {
        boost::system::error_code ignored;
        co_await result->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return result->is_seen;
}

asio::awaitable<void> member::state::run_election(const char* reason)
{
    const auto self_reference = shared_from_this();
    if (is_electing || leadership || is_ended)
    {
        co_return;
    }
    is_electing = true;
    try
    {
        const auto stored =
            co_await tables.cluster_state->read_prefix(internal::leadership_key, store_timeout);
        internal::note_store_answer(health, log, stored.era);
        const auto* const row = stored.rows.empty() ? nullptr : &stored.rows.front();
        std::optional<internal::leadership_record> record;
        if (row != nullptr)
        {
            record = internal::leadership_from_json(row->value);
        }
        if (must_defer_election(record, stored.era))
        {
            is_electing = false;
            co_return;
        }
        const bool is_other_leader = record && record->written >= snapshot.term &&
                                     record->leader.name != leader.name &&
                                     record->leader.name != settings.name;
        // A router without a directory knows no witnesses. The same leader may have taken the leadership
        // again after a restart of all, and may not have come to answer this router yet.
        const bool is_renewed = snapshot.term.is_none() && record && record->leader.name != settings.name &&
                                row->position() != std::exchange(leadership_position, row->position());
        if (is_other_leader || is_renewed)
        {
            leader = record->leader;
            contact.on_leader_named(clock::now());
            log.write("leader found",
                      {{"leader", leader.name}, {"version", row->version}, {"era", row->era}});
        }
        else
        {
            co_await take_leadership(std::move(record), row != nullptr ? row->version : 0, stored.era,
                                     reason);
        }
    }
    catch (const std::exception& failure)
    {
        internal::note_store_failure(health, log, "election", failure);
    }
    is_electing = false;
}

bool member::state::must_defer_election(const std::optional<internal::leadership_record>& record,
                                        std::int64_t era) const
{
    const auto now = clock::now();
    if (!record || record->assigned_era >= era)
    {
        return false;
    }
    // The leader knows the assignments that the restored store lost, and has just got the store back too.
    const bool is_leader_near =
        health.was_restored(informed_head_start, now) && contact.is_connected(now) && !leader.name.empty();
    const auto head_start = has_informed_reporter ? informed_head_start : unseen_head_start;
    const bool is_uninformed = snapshot.term.is_none() && now - joined_at < head_start;
    return is_leader_near || is_uninformed;
}

asio::awaitable<void> member::state::take_leadership(std::optional<internal::leadership_record> former,
                                                     std::int64_t version, std::int64_t era,
                                                     const char* reason)
{
    internal::leadership_start start;
    auto& next = start.record;
    next.leader = self;
    next.assigned_era = era;
    if (!leader.name.empty())
    {
        next.former_leaders.push_back(leader);
    }
    // Rows of releases without generations had tokens made of the row's version.
    auto number = std::max({snapshot.term.number, promised_term.number, version});
    if (former)
    {
        number = std::max(number, former->written.number);
        next.assigned_era = former->assigned_era;
        // A restored row may name an earlier leader than the one that this router followed.
        auto named = std::move(former->former_leaders);
        named.push_back(std::move(former->leader));
        std::ranges::copy_if(named, std::back_inserter(next.former_leaders),
                             [&](const auto& item) { return item.name != leader.name; });
    }
    else if (!snapshot.term.is_none())
    {
        // The store was restored to a time before the first assignment.
        next.assigned_era = snapshot.term.era;
    }
    next.written = {era, number + 1};
    start.secret = secret;
    std::vector<store::row_write> writes;
    writes.emplace_back(internal::leadership_key, version, internal::to_json(next));
    const auto result = co_await tables.cluster_state->commit("", std::move(writes), store_timeout);
    internal::note_store_answer(health, log, result.era);
    // A router that stops meanwhile leads until another one has taken over, since the row names it.
    if (result.is_committed && !is_ended)
    {
        start.version = result.revision;
        log.write("leadership taken", {{"term", next.written},
                                       {"assigned_era", next.assigned_era},
                                       {"era", result.era},
                                       {"reason", reason},
                                       {"former", leader.name}});
        become_leader(std::move(start));
        co_return;
    }
    log.write("leadership not taken", {{"reason", "another router was faster"}});
    if (!result.conflicts.empty() && result.conflicts.front().value.contains("router"))
    {
        const auto stored = internal::leadership_from_json(result.conflicts.front().value);
        if (stored.written >= snapshot.term)
        {
            leader = stored.leader;
            contact.on_leader_named(clock::now());
        }
    }
}

void member::state::become_leader(internal::leadership_start start)
{
    leader = self;
    // What an earlier leader sends from now on is not part of the directory that this one starts from.
    promised_term = start.record.written;
    contact.on_leader_named(clock::now());
    internal::leader_callbacks new_callbacks;
    new_callbacks.on_config = [weak = weak_from_this()](routes::routing_config config,
                                                        const std::string& packed) {
        const auto state = weak.lock();
        if (!state || !state->leadership)
        {
            return;
        }
        const auto version = config.version;
        if (state->callbacks.on_config(std::move(config)))
        {
            state->packed_config = packed;
            state->config_version = version;
        }
    };
    new_callbacks.on_directory_change = [weak = weak_from_this()](const leader::leader_state& current) {
        const auto state = weak.lock();
        if (!state || !state->leadership)
        {
            return;
        }
        const auto change = current.update_for(state->snapshot.term, state->snapshot.revision, clock::now());
        if (directory::apply(state->snapshot, change))
        {
            state->callbacks.on_directory(state->snapshot, change);
        }
    };
    new_callbacks.send = [weak = weak_from_this()](http::endpoint peer, std::string text,
                                                   core::duration timeout) -> asio::awaitable<std::string> {
        const auto state = weak.lock();
        if (!state)
        {
            throw core::connection_error("send", http::to_string(peer), "stopping");
        }
        const auto link = state->network;
        co_return co_await link->send_message(std::move(peer), std::move(text), timeout);
    };
    new_callbacks.offer_leadership = [weak = weak_from_this()](http::endpoint peer) {
        if (const auto state = weak.lock())
        {
            asio::co_spawn(
                state->executor, [state, peer = std::move(peer)] { return state->offer_leadership(peer); },
                asio::detached);
        }
    };
    new_callbacks.on_deposed = [weak = weak_from_this()](const char* why) {
        if (const auto state = weak.lock())
        {
            state->step_down(why);
        }
    };
    leadership =
        std::make_shared<internal::leader_service>(executor, self, adapter, tables, health, log, evacuations,
                                                   std::move(new_callbacks), std::move(start), packed_config);
    asio::co_spawn(
        executor, [service = leadership, former = snapshot] { return service->start(former); },
        asio::detached);
}

void member::state::offer_to_deputy()
{
    const auto& deputies = snapshot.deputies;
    const auto deputy =
        snapshot.routers.find(deputies.empty() ? "" : deputies.at(offers++ % deputies.size()));
    if (deputy != snapshot.routers.end())
    {
        asio::co_spawn(
            executor,
            [self = shared_from_this(), peer = deputy->second.peer] { return self->offer_leadership(peer); },
            asio::detached);
    }
}

asio::awaitable<void> member::state::offer_leadership(http::endpoint peer)
{
    const auto self_reference = shared_from_this();
    const auto link = network;
    const json message = {{"kind", "take over"}, {"term", snapshot.term}};
    try
    {
        co_await link->send_message(std::move(peer), message.dump(), offer_timeout);
    }
    catch (const core::error& failure)
    {
        log.write("handover failed", {{"reason", failure.what()}});
    }
}

void member::state::step_down(const char* reason)
{
    if (!leadership)
    {
        return;
    }
    log.write("leadership given up", {{"term", leadership->term()}, {"reason", reason}});
    leadership->stop();
    leadership = nullptr;
    if (leader.name == settings.name)
    {
        leader = {};
    }
    contact.on_leader_named(clock::now());
}

} // namespace briarfold::edge
