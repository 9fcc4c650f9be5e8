#include "edge/internal/evacuation_tracker.hpp"

#include "core/clock.hpp"

#include <algorithm>

namespace briarfold::edge::internal {

namespace {

using core::clock;

constexpr const char* message_field = "evacuations";

} // namespace

std::string evacuation_tracker::read_zone(const store::row& row)
{
    auto zone = row.key.substr(key_prefix_.size());
    if (routes::evacuations::is_zone_name(zone))
    {
        return zone;
    }
    ++malformed_;
    log_.write("evacuation refused", {{"key", row.key}, {"reason", "the key does not end in a zone's name"}});
    return {};
}

void evacuation_tracker::apply_changes(const store::row_batch& batch)
{
    has_read_all_ = true;
    std::set<std::string> changed;
    for (const auto& row : batch.rows)
    {
        const auto zone = is_evacuation_row(row) ? read_zone(row) : std::string();
        if (!zone.empty() && known_.record(zone, row.position(), !row.value.is_null(), clock::now()))
        {
            changed.insert(zone);
        }
    }
    note_changes(changed, "store");
}

void evacuation_tracker::apply_all(const store::row_batch& batch)
{
    // A read by a process that was never confirmed does not tell how old a row is, so that its time is taken
    // to be over.
    const auto since = has_read_all_ ? clock::now() : core::time_point();
    has_read_all_ = true;
    std::set<std::string> present;
    std::set<std::string> changed;
    for (const auto& row : batch.rows)
    {
        const auto zone = is_evacuation_row(row) ? read_zone(row) : std::string();
        if (zone.empty())
        {
            continue;
        }
        present.insert(zone);
        if (known_.record(zone, row.position(), true, known_.evacuated_since(zone).value_or(since)))
        {
            changed.insert(zone);
        }
    }
    changed.merge(known_.record_absent(present, batch.position()));
    note_changes(changed, "store");
}

void evacuation_tracker::apply_message(const nlohmann::json& message, const std::string& source)
{
    if (!message.contains(message_field))
    {
        return;
    }
    try
    {
        note_changes(known_.merge(message.at(message_field), clock::now()), source);
    }
    catch (const nlohmann::json::exception& failure)
    {
        ++malformed_;
        log_.write("evacuation refused", {{"from", source}, {"reason", failure.what()}});
    }
}

void evacuation_tracker::add_to(nlohmann::json& message) const
{
    if (!known_.is_empty())
    {
        message[message_field] = known_.to_message(clock::now());
    }
}

void evacuation_tracker::note_changes(const std::set<std::string>& zones, const std::string& source)
{
    if (zones.empty())
    {
        return;
    }
    ++changes_;
    for (const auto& zone : zones)
    {
        log_.write(known_.is_evacuated(zone) ? "zone evacuated" : "zone returned",
                   {{"zone", zone}, {"from", source}});
    }
    if (on_change_)
    {
        on_change_();
    }
}

} // namespace briarfold::edge::internal
