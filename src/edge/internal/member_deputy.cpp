#include "core/error.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

/// Without changes a deputy's reads only show that the store serves it.
constexpr core::duration deputy_feed_wait{8000};
/// Registrations change often, so a deputy batches them.
constexpr core::duration registry_read_pause{300};
/// Time for which a deputy leaves the leader to read a row itself.
constexpr core::duration deputy_report_delay{150};
/// Time in which a leader that works has told the front of a backend server that it leaves.
constexpr core::duration leader_drain_time{500};
constexpr core::duration announcement_timeout{400};
constexpr core::duration announcement_interval{2500};
/// Registrations may lapse while the store fails, and are back within this time of its return.
constexpr core::duration min_healthy_time{2200};

} // namespace

bool member::state::is_deputy() const
{
    return !leadership && !is_stopping &&
           std::ranges::find(snapshot.deputies, settings.name) != snapshot.deputies.end();
}

asio::awaitable<void> member::state::watch_as_deputy(std::string table)
{
    const auto self_reference = shared_from_this();
    const bool is_config = table == "config";
    const auto rows = is_config ? tables.config : tables.registry;
    const std::string prefix = is_config ? tables.config_key : std::string();
    std::optional<store::position> position;
    while (is_deputy())
    {
        core::duration pause = is_config ? core::duration{0} : registry_read_pause;
        try
        {
            if (!position)
            {
                const auto all = co_await rows->read_prefix(prefix, store_timeout);
                if (is_config)
                {
                    const auto evacuated =
                        co_await rows->read_prefix(evacuations.key_prefix(), store_timeout);
                    evacuations.apply_all(evacuated);
                }
                position = all.position();
            }
            const auto batch = co_await rows->changes(position->number, deputy_feed_wait);
            internal::note_store_answer(health, log, batch.era);
            // In another era, changes below this position may be new.
            if (batch.is_truncated || batch.era != position->era)
            {
                position.reset();
                continue;
            }
            position = batch.position();
            if (is_config)
            {
                evacuations.apply_changes(batch);
            }
            for (const auto& row : batch.rows)
            {
                if (!is_config || row.key == tables.config_key)
                {
                    record_deputy_row(table, row);
                }
            }
        }
        catch (const std::exception&)
        {
            // The deputy needs to know only whether the store serves this router.
            health.on_failure(clock::now());
            pause = store_retry;
        }
        if (pause.ms > 0)
        {
            co_await core::pause_for(pause);
        }
    }
    --running_watches;
}

void member::state::record_deputy_row(const std::string& table, const store::row& row)
{
    deputy_rows[{table, row.key}] = {row, clock::now()};
    if (table != "registry")
    {
        return;
    }
    const auto read = row.value.is_null() ? std::nullopt : adapter.read_registration(row.key, row.value);
    const bool is_gone = row.value.is_null() && !health.was_failing(min_healthy_time, clock::now());
    const auto entry = snapshot.entries.find(row.key);
    if (entry != snapshot.entries.end() && (is_gone || (read && read->server.is_draining)))
    {
        const auto start_time_ms = read ? read->server.start_time_ms : entry->second.server.start_time_ms;
        asio::co_spawn(
            executor,
            [self = shared_from_this(), process = leader::server_process{row.key, start_time_ms}, is_gone] {
                return self->announce_leaving(process, is_gone);
            },
            asio::detached);
    }
}

asio::awaitable<void> member::state::announce_leaving(leader::server_process process, bool is_gone)
{
    const auto self_reference = shared_from_this();
    co_await core::pause_for(leader_drain_time);
    co_await tell_front(process, is_gone);
    // The word that a registration is gone does not last, so it is repeated until the leader has read it.
    const auto is_unread = [&] {
        const auto known = deputy_rows.find({"registry", process.backend_server});
        return known != deputy_rows.end() && known->second.row.value.is_null() && is_deputy() && !is_ended;
    };
    while (is_gone && is_unread())
    {
        co_await core::pause_for(announcement_interval);
        if (is_unread())
        {
            co_await tell_front(process, is_gone);
        }
    }
}

asio::awaitable<void> member::state::tell_front(leader::server_process process, bool is_gone)
{
    const auto self_reference = shared_from_this();
    const auto entry = snapshot.entries.find(process.backend_server);
    if (is_ended || entry == snapshot.entries.end())
    {
        co_return;
    }
    const auto front = entry->second.front;
    log.write("leaving backend server announced",
              {{"backend_server", process.backend_server}, {"front", front}, {"gone", is_gone}});
    if (front == settings.name)
    {
        callbacks.on_leaving(process, is_gone);
        co_return;
    }
    const auto router = snapshot.routers.find(front);
    const auto link = network;
    if (router == snapshot.routers.end() || !link)
    {
        co_return;
    }
    const json message = {{"kind", "backend server leaves"},
                          {"backend_server", process.backend_server},
                          {"start_time_ms", process.start_time_ms},
                          {"gone", is_gone}};
    try
    {
        co_await link->send_message(router->second.peer, message.dump(), announcement_timeout);
    }
    catch (const std::exception& failure)
    {
        log.write("announcement failed", {{"front", front}, {"reason", failure.what()}});
    }
}

void member::state::add_deputy_rows(json& message)
{
    auto list = json::array();
    for (const auto& [name, item] : deputy_rows)
    {
        // The leader reads the same rows and has most of them by itself when this delay ends.
        if (clock::now() - item.seen >= deputy_report_delay)
        {
            list.push_back({{"table", name.first},
                            {"key", name.second},
                            {"position", internal::position_to_json(item.row.position())},
                            {"value", item.row.value}});
        }
    }
    if (!list.empty())
    {
        message["news"] = std::move(list);
    }
}

void member::state::drop_confirmed_rows(const json& reply)
{
    if (!reply.contains("config_position"))
    {
        return;
    }
    const auto config_position = internal::position_from_json(reply.at("config_position"));
    const auto registry_position = internal::position_from_json(reply.at("registry_position"));
    std::erase_if(deputy_rows, [&](const auto& item) {
        const auto& known = item.first.first == "config" ? config_position : registry_position;
        return item.second.row.position() <= known;
    });
    if (!is_deputy())
    {
        deputy_rows.clear();
    }
}

} // namespace briarfold::edge
