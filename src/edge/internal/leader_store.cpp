#include "core/error.hpp"
#include "core/pause.hpp"
#include "edge/internal/leader_service.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge::internal {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;

/// Maximum wait of one read of changes. With a longer wait, a store that does not answer would be noticed too
/// late for a change of leader.
constexpr core::duration feed_wait{1000};
/// Pause between reads of the registry. Changes are batched, since each answer wakes all routers.
constexpr core::duration registry_read_pause{120};
constexpr core::duration min_healthy_time{2200};

} // namespace

void leader_service::apply_config(const json& document, std::string packed)
{
    try
    {
        auto config = adapter_.read_config(document);
        if (config.version <= config_version_)
        {
            return;
        }
        packed_config_ = packed.empty() ? pack(document) : std::move(packed);
        config_version_ = config.version;
        std::set<std::string> keyed;
        for (const auto& service : config.services)
        {
            if (service.has_key_ownership)
            {
                keyed.insert(service.name);
            }
        }
        state_->set_keyed_services(std::move(keyed));
        log_.write("configuration read", {{"version", config.version},
                                          {"routes", config.routes.size()},
                                          {"packed_bytes", packed_config_.size()}});
        callbacks_.on_config(std::move(config), packed_config_);
    }
    catch (const std::exception& failure)
    {
        log_.write("configuration refused", {{"reason", failure.what()}, {"in_force", config_version_}});
    }
}

asio::awaitable<std::int64_t> leader_service::read_config()
{
    const auto rows = co_await tables_.config->read_prefix(tables_.config_key, store_timeout);
    for (const auto& row : rows.rows)
    {
        if (row.key == tables_.config_key)
        {
            apply_config(row.value);
        }
    }
    if (config_version_ == 0 && !packed_config_.empty())
    {
        const auto packed = packed_config_;
        apply_config(unpack(packed), packed);
    }
    config_revision_ = std::max(config_revision_, rows.revision);
    co_return rows.revision;
}

void leader_service::apply_registration(const store::row& row)
{
    const auto now = clock::now();
    auto& seen = registration_versions_[row.key];
    if (row.version < seen)
    {
        return;
    }
    seen = row.version;
    const auto server = row.value.is_null() ? std::nullopt : adapter_.read_registration(row.key, row.value);
    if (server)
    {
        registered_.insert(row.key);
        state_->on_registered(*server, now);
    }
    else if (registered_.erase(row.key) > 0)
    {
        state_->on_unregistered(row.key, !health_.was_failing(min_healthy_time, now) && row.value.is_null(),
                                now);
    }
    else if (!row.value.is_null())
    {
        log_.write("registration ignored", {{"backend_server", row.key}});
    }
}

asio::awaitable<std::int64_t> leader_service::read_registry()
{
    const auto rows = co_await tables_.registry->read_prefix("", store_timeout);
    note_store_answer(health_, log_, rows.era);
    auto missing = registered_;
    for (const auto& row : rows.rows)
    {
        missing.erase(row.key);
        apply_registration(row);
    }
    for (const auto& id : missing)
    {
        registered_.erase(id);
        state_->on_unregistered(id, !health_.was_failing(min_healthy_time, clock::now()), clock::now());
    }
    registry_revision_ = std::max(registry_revision_, rows.revision);
    co_return rows.revision;
}

asio::awaitable<void> leader_service::follow_registry(std::int64_t revision)
{
    const auto self = shared_from_this();
    while (is_running())
    {
        core::duration pause = registry_read_pause;
        try
        {
            auto batch = co_await tables_.registry->changes(revision, feed_wait);
            if (!is_running())
            {
                co_return;
            }
            note_store_answer(health_, log_, batch.era);
            if (batch.is_truncated)
            {
                revision = co_await read_registry();
            }
            else
            {
                revision = batch.revision;
                registry_revision_ = std::max(registry_revision_, revision);
                std::ranges::for_each(batch.rows, [this](const auto& row) { apply_registration(row); });
            }
            if (batch.rows.empty() && !batch.is_truncated)
            {
                pause = {};
            }
            propagate_changes();
        }
        catch (const core::error& failure)
        {
            note_store_failure(health_, log_, "registry", failure);
            pause = store_retry;
        }
        if (pause.ms > 0)
        {
            co_await core::pause_for(pause);
        }
    }
}

asio::awaitable<void> leader_service::follow_config(std::int64_t revision)
{
    const auto self = shared_from_this();
    while (is_running())
    {
        bool has_failed = false;
        try
        {
            const auto batch = co_await tables_.config->changes(revision, feed_wait);
            if (!is_running())
            {
                co_return;
            }
            note_store_answer(health_, log_, batch.era);
            if (batch.is_truncated)
            {
                revision = co_await read_config();
            }
            else
            {
                revision = batch.revision;
                config_revision_ = std::max(config_revision_, revision);
                for (const auto& row : batch.rows)
                {
                    if (row.key == tables_.config_key && !row.value.is_null())
                    {
                        apply_config(row.value);
                    }
                }
            }
            propagate_changes();
        }
        catch (const core::error& failure)
        {
            note_store_failure(health_, log_, "configuration", failure);
            has_failed = true;
        }
        if (has_failed)
        {
            co_await core::pause_for(store_retry);
        }
    }
}

asio::awaitable<void> leader_service::check_leadership()
{
    try
    {
        const auto stored = co_await tables_.cluster_state->read_prefix(leadership_key, store_timeout);
        note_store_answer(health_, log_, stored.era);
        if (stored.rows.empty() || stored.rows.front().version != leadership_version_)
        {
            callbacks_.on_deposed("the leadership row changed");
            co_return;
        }
        confirmation_.on_confirmed(clock::now());
    }
    catch (const core::error& failure)
    {
        note_store_failure(health_, log_, "leadership", failure);
    }
}

asio::awaitable<void> leader_service::write_rows(std::vector<leader::assignment_row> rows)
{
    const auto self = shared_from_this();
    bool may_be_committed = false;
    const auto leadership = to_json(leadership_record{self_, state_->former_leaders()});
    while (is_running())
    {
        std::vector<store::row_write> writes;
        writes.emplace_back(leadership_key, leadership_version_, leadership);
        for (const auto& row : rows)
        {
            writes.emplace_back(assignment_prefix + row.name, assignment_versions_[row.name], row.document);
        }
        store::commit_result result;
        bool is_answered = false;
        try
        {
            result = co_await tables_.cluster_state->commit("", writes, store_timeout);
            is_answered = true;
        }
        catch (const core::error& failure)
        {
            log_.write("write without answer", {{"rows", rows.size()}, {"reason", failure.what()}});
            health_.on_failure(clock::now());
            may_be_committed = true;
        }
        if (!is_running())
        {
            co_return;
        }
        const auto now = clock::now();
        if (is_answered)
        {
            note_store_answer(health_, log_, result.era);
        }
        if (is_answered && !result.is_committed && may_be_committed)
        {
            // An earlier unanswered try may have caused the conflict; then the rows hold exactly what it
            // wrote.
            const auto committed = std::ranges::all_of(writes, [&](const store::row_write& write) {
                return std::ranges::any_of(result.conflicts, [&](const store::row& row) {
                    return row.key == write.key && row.value == write.value;
                });
            });
            result.is_committed = committed;
            result.revision = committed ? result.conflicts.front().version : 0;
        }
        if (is_answered && result.is_committed)
        {
            leadership_version_ = result.revision;
            confirmation_.on_confirmed(now);
            for (const auto& row : rows)
            {
                assignment_versions_[row.name] = result.revision;
            }
            is_writing_ = false;
            state_->on_written(result.revision);
            log_.write("assignments written",
                       {{"rows", rows.size()}, {"version", result.revision}, {"era", result.era}});
            propagate_changes();
            co_return;
        }
        if (is_answered)
        {
            callbacks_.on_deposed("a write of assignments met another leader");
            co_return;
        }
        co_await core::pause_for(store_retry);
    }
}

} // namespace briarfold::edge::internal
