#include "core/error.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

/// Without changes a deputy's reads only show that the store serves it.
constexpr core::duration deputy_feed_wait{8000};
/// Registrations change often, so a deputy batches them.
constexpr core::duration registry_read_pause{300};
/// Time for which a deputy leaves the leader to read a row itself.
constexpr core::duration deputy_report_delay{150};

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
    std::int64_t revision = 0;
    while (is_deputy())
    {
        core::duration pause = is_config ? core::duration{0} : registry_read_pause;
        try
        {
            if (revision == 0)
            {
                const auto all = co_await rows->read_prefix(prefix, store_timeout);
                revision = all.revision;
            }
            const auto batch = co_await rows->changes(revision, deputy_feed_wait);
            internal::note_store_answer(health, log, batch.era);
            revision = batch.is_truncated ? 0 : batch.revision;
            for (const auto& row : batch.rows)
            {
                if (!is_config || row.key == tables.config_key)
                {
                    record_deputy_row(table, row);
                }
            }
        }
        catch (const core::error&)
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
                            {"version", item.row.version},
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
    const auto config_revision = reply.value("config_revision", std::int64_t{0});
    const auto registry_revision = reply.value("registry_revision", std::int64_t{0});
    std::erase_if(deputy_rows, [&](const auto& item) {
        const auto known_revision = item.first.first == "config" ? config_revision : registry_revision;
        return item.second.row.version <= known_revision;
    });
    if (!is_deputy())
    {
        deputy_rows.clear();
    }
}

} // namespace briarfold::edge
