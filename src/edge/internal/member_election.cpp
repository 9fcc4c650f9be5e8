#include "core/key_hash.hpp"
#include "edge/internal/member_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

/// Routers try to become the leader one after the other, in an order that differs for each term.
constexpr core::duration election_step{60};
/// An offer takes as long as a report.
constexpr core::duration offer_timeout{450};

} // namespace

core::duration member::state::election_delay() const
{
    constexpr std::uint64_t most_steps = 12;
    // Routers with a small share of a processor come later.
    constexpr double strong_cpu = 0.5;
    constexpr double most_weak_steps = 6;
    const auto weak_steps = std::clamp(strong_cpu / settings.cpu - 1, 0.0, most_weak_steps);
    const auto rank = core::text_hash(settings.name + std::to_string(known.term)) % most_steps +
                      static_cast<std::uint64_t>(weak_steps);
    const auto place = std::ranges::find(known.deputies, settings.name);
    const bool is_listed = place != known.deputies.end();
    return is_listed ? election_step * (place - known.deputies.begin())
                     : election_step * static_cast<std::int64_t>(rank + known.deputies.size() + 1);
}

asio::awaitable<void> member::state::elect(const char* reason)
{
    const auto self_reference = shared_from_this();
    if (is_electing || leading || is_ended)
    {
        co_return;
    }
    is_electing = true;
    try
    {
        const auto row = co_await tables.cluster_state->read(internal::leadership_key, store_timeout);
        health.on_success(clock::now());
        std::optional<directory::router> holder;
        if (row)
        {
            holder = directory::router_from_json(row->value.at("router"));
        }
        const bool is_news = holder && holder->name != leader.name && holder->name != settings.name;
        if (is_news)
        {
            leader = *holder;
            failed_reports = 0;
            last_contact = clock::now();
            log.write("leader found", {{"leader", leader.name}, {"version", row->version}});
        }
        else
        {
            std::vector<store::row_write> writes;
            writes.emplace_back(internal::leadership_key, row ? row->version : 0,
                                internal::leadership_value(self));
            const auto result = co_await tables.cluster_state->commit("", std::move(writes), store_timeout);
            if (result.is_committed && !is_stopping)
            {
                log.write("leadership taken",
                          {{"term", result.revision}, {"reason", reason}, {"former", leader.name}});
                become_leader(result.revision);
            }
            else
            {
                log.write("leadership not taken", {{"reason", "another router was faster"}});
                if (!result.conflicts.empty() && result.conflicts.front().value.contains("router"))
                {
                    leader = directory::router_from_json(result.conflicts.front().value.at("router"));
                    failed_reports = 0;
                    last_contact = clock::now();
                }
            }
        }
    }
    catch (const std::exception& failure)
    {
        internal::note_store_failure(health, log, "election", failure);
    }
    is_electing = false;
}

void member::state::become_leader(std::int64_t term)
{
    leader = self;
    failed_reports = 0;
    internal::leader_surroundings outside;
    outside.on_local_config = [weak = weak_from_this()](routes::routing_config config,
                                                        const std::string& packed) {
        const auto state = weak.lock();
        if (!state || !state->leading)
        {
            return;
        }
        const auto version = config.version;
        if (state->surroundings.on_config(std::move(config)))
        {
            state->packed_config = packed;
            state->known_config_version = version;
        }
    };
    outside.on_local_change = [weak = weak_from_this()](const leader::leader_state& current) {
        const auto state = weak.lock();
        if (!state || !state->leading)
        {
            return;
        }
        const auto change = current.update_for(state->known.term, state->known.revision, clock::now());
        if (directory::apply(state->known, change))
        {
            state->surroundings.on_directory(state->known, change);
        }
    };
    outside.send = [weak = weak_from_this()](http::endpoint peer, std::string text,
                                             core::duration timeout) -> asio::awaitable<std::string> {
        const auto state = weak.lock();
        if (!state)
        {
            throw core::connection_error("send", http::to_string(peer), "stopping");
        }
        const auto link = state->network;
        co_return co_await link->send_message(std::move(peer), std::move(text), timeout);
    };
    outside.offer_leadership = [weak = weak_from_this()](http::endpoint peer) {
        if (const auto state = weak.lock())
        {
            asio::co_spawn(
                state->executor, [state, peer = std::move(peer)] { return state->offer_leadership(peer); },
                asio::detached);
        }
    };
    outside.on_deposed = [weak = weak_from_this()](const char* why) {
        if (const auto state = weak.lock())
        {
            state->step_down(why);
        }
    };
    leading = std::make_shared<internal::leader_service>(executor, self, hooks, tables, health, log,
                                                         std::move(outside), term, packed_config);
    asio::co_spawn(
        executor, [service = leading, former = known] { return service->start(former); }, asio::detached);
}

asio::awaitable<void> member::state::offer_leadership(http::endpoint peer)
{
    const auto self_reference = shared_from_this();
    const auto link = network;
    const json message = {{"kind", "take over"}, {"term", known.term}};
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
    if (!leading)
    {
        return;
    }
    log.write("leadership given up", {{"term", leading->term()}, {"reason", reason}});
    leading->stop();
    leading = nullptr;
    if (leader.name == settings.name)
    {
        leader = {};
    }
    last_contact = clock::now();
    failed_reports = 0;
}

} // namespace briarfold::edge
