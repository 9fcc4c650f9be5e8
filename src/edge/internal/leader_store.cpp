#include "core/error.hpp"
#include "core/pause.hpp"
#include "edge/internal/leader_service.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>
#include <utility>

namespace briarfold::edge::internal {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;

/// Maximum wait of one read of changes. With a longer wait, a store that does not answer would be noticed too
/// late for a change of leader.
constexpr core::duration feed_wait{1000};
/// The same for the configuration, whose answers without changes confirm the one in force on all routers.
constexpr core::duration config_feed_wait{800};
/// Pause between reads of the registry. Changes are batched, since each answer wakes all routers.
constexpr core::duration registry_read_pause{120};
constexpr core::duration min_healthy_time{2200};
/// Every router reports within this time, also one that is throttled for most of a second.
constexpr core::duration max_report_wait{1300};
constexpr core::duration report_poll_interval{20};

} // namespace

void leader_service::offer_config(const json& document)
{
    apply_config(document);
    propagate_changes();
}

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
        std::map<std::string, double> cold_rates;
        for (const auto& service : config.services)
        {
            if (service.has_key_ownership)
            {
                keyed.insert(service.name);
            }
            if (service.cold_requests_per_s > 0)
            {
                cold_rates[service.name] = service.cold_requests_per_s;
            }
        }
        state_->set_keyed_services(std::move(keyed));
        state_->set_cold_rates(std::move(cold_rates));
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

asio::awaitable<store::position> leader_service::read_config()
{
    // The configuration in force is applied first: a restored store may hold an older one.
    if (config_version_ == 0 && !packed_config_.empty())
    {
        const auto packed = packed_config_;
        apply_config(unpack(packed), packed);
    }
    const auto sent = clock::now();
    const auto rows = co_await tables_.config->read_prefix(tables_.config_key, store_timeout);
    note_store_answer(health_, log_, rows.era);
    for (const auto& row : rows.rows)
    {
        if (row.key == tables_.config_key)
        {
            apply_config(row.value);
        }
    }
    const auto evacuated = co_await tables_.config->read_prefix(evacuations_.key_prefix(), store_timeout);
    evacuations_.apply_all(evacuated);
    config_position_ = std::max(config_position_, rows.position());
    on_config_confirmed(sent);
    co_return rows.position();
}

void leader_service::apply_registration(const store::row& row)
{
    const auto now = clock::now();
    auto& known = known_registrations_[row.key];
    const auto former_position = std::exchange(known.position, std::max(known.position, row.position()));
    if (row.position() <= former_position)
    {
        return;
    }
    const auto read = row.value.is_null() ? std::nullopt : adapter_.read_registration(row.key, row.value);
    const bool is_known = known.start_time_ms > 0;
    if (read && is_known && row.era > former_position.era)
    {
        // A restored row may be older than what the backend server wrote before the restore.
        const std::pair stated(read->server.start_time_ms, read->sequence);
        const std::pair last_stated(known.start_time_ms, known.sequence);
        if (stated < last_stated || (known.is_removed && stated == last_stated))
        {
            log_.write("registration outdated", {{"backend_server", row.key},
                                                 {"sequence", read->sequence},
                                                 {"known_sequence", known.sequence},
                                                 {"removed", known.is_removed}});
            return;
        }
    }
    known.is_removed = !read;
    if (read)
    {
        known.start_time_ms = read->server.start_time_ms;
        known.sequence = read->sequence;
        registered_.insert(row.key);
        state_->on_registered(read->server, now);
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

asio::awaitable<store::position> leader_service::read_registry()
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
        auto& known = known_registrations_[id];
        // A restored store may lack a registration that its backend server is about to write again.
        known.is_removed = known.position.era == rows.era;
        state_->on_unregistered(id, !health_.was_failing(min_healthy_time, clock::now()), clock::now());
    }
    registry_position_ = std::max(registry_position_, rows.position());
    co_return rows.position();
}

asio::awaitable<void> leader_service::follow_registry(store::position position)
{
    const auto self = shared_from_this();
    while (is_running())
    {
        core::duration pause = registry_read_pause;
        try
        {
            const auto batch = co_await tables_.registry->changes(position.number, feed_wait);
            if (!is_running())
            {
                co_return;
            }
            note_store_answer(health_, log_, batch.era);
            // In another era, changes below this position may be new.
            const bool is_gap = batch.is_truncated || batch.era != position.era;
            if (is_gap)
            {
                position = co_await read_registry();
            }
            else
            {
                position = batch.position();
                registry_position_ = std::max(registry_position_, position);
                std::ranges::for_each(batch.rows, [this](const auto& row) { apply_registration(row); });
            }
            if (batch.rows.empty() && !is_gap)
            {
                pause = {};
            }
            propagate_changes();
        }
        catch (const std::exception& failure)
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

asio::awaitable<void> leader_service::follow_config(store::position position)
{
    const auto self = shared_from_this();
    while (is_running())
    {
        bool has_failed = false;
        try
        {
            const auto sent = clock::now();
            const auto batch = co_await tables_.config->changes(position.number, config_feed_wait);
            if (!is_running())
            {
                co_return;
            }
            note_store_answer(health_, log_, batch.era);
            if (batch.is_truncated || batch.era != position.era)
            {
                position = co_await read_config();
            }
            else
            {
                position = batch.position();
                config_position_ = std::max(config_position_, position);
                // An answer without changes was given when the wait had ended.
                const auto waited_until = sent + config_feed_wait;
                const bool has_waited = batch.rows.empty() && clock::now() >= waited_until;
                on_config_confirmed(has_waited ? waited_until : sent);
                evacuations_.apply_changes(batch);
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
        catch (const std::exception& failure)
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
    const auto self = shared_from_this();
    try
    {
        const auto expected_version = leadership_version_;
        const auto sent = clock::now();
        const auto stored = co_await tables_.cluster_state->read_prefix(leadership_key, store_timeout);
        note_store_answer(health_, log_, stored.era);
        if (is_writing_ || leadership_version_ != expected_version)
        {
            // A write of this leader has changed the row meanwhile, or is about to.
        }
        else if (is_rewrite_due())
        {
            // The versions are those of a restored copy; the rewrite finds out who leads.
            propagate_changes();
        }
        else if (stored.rows.empty() || stored.rows.front().version != leadership_version_)
        {
            callbacks_.on_deposed("the leadership row changed");
        }
        else
        {
            confirmation_.on_confirmed(sent);
        }
    }
    catch (const std::exception& failure)
    {
        note_store_failure(health_, log_, "leadership", failure);
    }
    is_checking_ = false;
}

asio::awaitable<void> leader_service::write_rows(std::vector<leader::assignment_row> rows)
{
    const auto self = shared_from_this();
    bool may_be_committed = false;
    const auto record = make_record(true);
    const auto leadership = to_json(record);
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
        const auto sent = clock::now();
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
        if (is_answered)
        {
            note_store_answer(health_, log_, result.era);
        }
        if (is_rewrite_due())
        {
            // Whatever became of this write, the rows are written again.
            state_->on_write_failed();
            is_writing_ = false;
            propagate_changes();
            co_return;
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
            written_ = record.written;
            confirmation_.on_confirmed(sent);
            for (const auto& row : rows)
            {
                assignment_versions_[row.name] = result.revision;
            }
            is_writing_ = false;
            state_->on_written(written_);
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

leadership_record leader_service::make_record(bool has_all_rows) const
{
    leadership_record record;
    record.leader = self_;
    record.former_leaders = state_->former_leaders();
    record.written = {health_.era(), written_.number + 1};
    // Rows without the keys that are withheld do not tell a next leader who may hold them.
    const bool is_complete = has_all_rows && !state_->is_withholding(clock::now());
    record.assigned_era = is_complete ? health_.era() : assigned_era_;
    return record;
}

asio::awaitable<bool> leader_service::is_followed_since_restore()
{
    const auto start = clock::now();
    const auto since = health_.restored_at().value_or(start);
    while (is_running() && clock::now() - start < max_report_wait)
    {
        if (state_->have_all_reported(since, clock::now()))
        {
            co_return true;
        }
        co_await core::pause_for(report_poll_interval);
    }
    co_return false;
}

bool leader_service::adopt_versions(const store::row_batch& stored)
{
    leadership_version_ = 0;
    assignment_versions_.clear();
    for (const auto& row : stored.rows)
    {
        if (row.key.starts_with(assignment_prefix))
        {
            assignment_versions_[row.key.substr(std::string(assignment_prefix).size())] = row.version;
        }
        if (row.key != leadership_key)
        {
            continue;
        }
        leadership_version_ = row.version;
        const auto record = leadership_from_json(row.value);
        const bool is_own = record.leader.incarnation == self_.incarnation;
        if (record.written > written_ && !is_own)
        {
            return false;
        }
        written_.number = std::max(written_.number, record.written.number);
    }
    return true;
}

std::vector<std::vector<store::row_write>> leader_service::make_rewrite(const store::row_batch& stored) const
{
    // Limits of a transaction of the platform's store, with room for the leadership row and the encoding.
    constexpr std::size_t max_rows = 90;
    constexpr std::size_t max_bytes = std::size_t{500} * 1024;
    std::map<std::string, json> rows;
    for (const auto& [name, version] : assignment_versions_)
    {
        rows[name] = json{{"servers", json::array()}};
    }
    for (auto& row : state_->all_rows())
    {
        rows[row.name] = std::move(row.document);
    }
    std::vector<std::vector<store::row_write>> groups(1);
    if (std::ranges::find(stored.rows, secret_key, &store::row::key) == stored.rows.end())
    {
        groups.back().emplace_back(secret_key, 0, json{{"secret", secret_}});
    }
    std::size_t bytes = 0;
    for (const auto& [name, document] : rows)
    {
        bytes += document.dump().size();
        if (groups.back().size() >= max_rows || bytes > max_bytes)
        {
            groups.emplace_back();
            bytes = document.dump().size();
        }
        const auto version = assignment_versions_.find(name);
        groups.back().emplace_back(assignment_prefix + name,
                                   version == assignment_versions_.end() ? 0 : version->second, document);
    }
    return groups;
}

asio::awaitable<void> leader_service::rewrite_rows()
{
    const auto self = shared_from_this();
    while (is_running() && is_rewrite_due())
    {
        const bool is_latest = recovered_era_ == health_.era() || co_await is_followed_since_restore();
        if (!is_latest && is_running())
        {
            // A leader that was replaced while it stood still must not write what it knew.
            callbacks_.on_deposed("a router does not follow since the store was restored");
            co_return;
        }
        try
        {
            const auto sent = clock::now();
            const auto stored = co_await tables_.cluster_state->read_prefix("", store_timeout);
            note_store_answer(health_, log_, stored.era);
            if (!is_running())
            {
                co_return;
            }
            if (!adopt_versions(stored))
            {
                callbacks_.on_deposed("another router took the leadership after the store was restored");
                co_return;
            }
            auto groups = make_rewrite(stored);
            bool is_complete = true;
            for (auto& writes : groups)
            {
                const bool is_last = &writes == &groups.back();
                const auto record = make_record(is_last);
                writes.emplace_back(leadership_key, leadership_version_, to_json(record));
                const auto result = co_await tables_.cluster_state->commit("", writes, store_timeout);
                note_store_answer(health_, log_, result.era);
                is_complete = result.is_committed && result.era == stored.era && is_running();
                if (!is_complete)
                {
                    break;
                }
                leadership_version_ = result.revision;
                written_ = record.written;
                for (const auto& write : writes)
                {
                    if (write.key.starts_with(assignment_prefix))
                    {
                        const auto name = write.key.substr(std::string(assignment_prefix).size());
                        assignment_versions_[name] = result.revision;
                    }
                }
            }
            if (is_complete)
            {
                rewritten_era_ = stored.era;
                confirmation_.on_confirmed(sent);
                log_.write("assignments written again",
                           {{"rows", assignment_versions_.size()}, {"era", stored.era}, {"term", term_}});
                continue;
            }
        }
        catch (const std::exception& failure)
        {
            note_store_failure(health_, log_, "rewrite", failure);
        }
        co_await core::pause_for(store_retry);
    }
    is_writing_ = false;
    propagate_changes();
}

} // namespace briarfold::edge::internal
