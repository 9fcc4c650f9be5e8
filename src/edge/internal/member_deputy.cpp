#include "core/error.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

constexpr core::duration deputy_wait{2500};
/// Registrations change often; a deputy gathers them.
constexpr core::duration news_gather{300};
/// Time that the leader has to read a row by itself.
constexpr core::duration news_delay{150};

} // namespace

bool member::state::is_deputy() const
{
    return !leading && !is_stopping &&
           std::ranges::find(known.deputies, settings.name) != known.deputies.end();
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
        core::duration pause = is_config ? core::duration{0} : news_gather;
        try
        {
            if (revision == 0)
            {
                const auto all = co_await rows->read_prefix(prefix, store_timeout);
                revision = all.revision;
            }
            const auto batch = co_await rows->changes(revision, deputy_wait);
            health.on_success(clock::now());
            revision = batch.is_truncated ? 0 : batch.revision;
            for (const auto& row : batch.rows)
            {
                if (!is_config || row.key == tables.config_key)
                {
                    note_news(table, row);
                }
            }
        }
        catch (const core::error&)
        {
            // Whether the store serves this router is all that the deputy needs to know.
            health.on_failure(clock::now());
            pause = store_retry;
        }
        if (pause.ms > 0)
        {
            co_await core::pause_for(pause);
        }
    }
    --watchers;
}

void member::state::note_news(const std::string& table, const store::row& row)
{
    news[{table, row.key}] = {row, clock::now()};
}

void member::state::add_news(json& message)
{
    auto list = json::array();
    for (const auto& [name, item] : news)
    {
        // The leader reads the same rows, so most news is known to it when it is old enough to be told.
        if (clock::now() - item.seen >= news_delay)
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

void member::state::drop_known_news(const json& reply)
{
    const auto config_revision = reply.value("config_revision", std::int64_t{0});
    const auto registry_revision = reply.value("registry_revision", std::int64_t{0});
    std::erase_if(news, [&](const auto& item) {
        const auto known_revision = item.first.first == "config" ? config_revision : registry_revision;
        return item.second.row.version <= known_revision;
    });
    if (!is_deputy())
    {
        news.clear();
    }
}

} // namespace briarfold::edge
