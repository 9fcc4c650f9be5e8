#include "routes/evacuations.hpp"

#include <algorithm>
#include <vector>

namespace briarfold::routes {

namespace {

/// Longer names do not occur; a message must not grow by them.
constexpr std::size_t max_zone_bytes = 100;
/// Share of the bound, in percent, for which the leader moves keys. A router learns of a row within 2 s, so
/// 40% of 5 s leave 1 s for requests that are on their way.
constexpr std::int64_t keyed_share = 40;
constexpr std::int64_t percent = 100;

} // namespace

bool evacuations::is_zone_name(const std::string& text)
{
    const auto is_printable = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= max_zone_bytes && std::ranges::all_of(text, is_printable);
}

bool evacuations::record(const std::string& zone, const store::position& position, bool is_evacuated,
                         core::time_point since)
{
    const auto known = records_.find(zone);
    if (known == records_.end())
    {
        records_[zone] = {position, is_evacuated, since};
        return is_evacuated;
    }
    auto& present = known->second;
    if (position < present.position)
    {
        return false;
    }
    if (position == present.position || present.is_evacuated == is_evacuated)
    {
        present.position = position;
        present.since = std::min(present.since, since);
        return false;
    }
    present = {position, is_evacuated, since};
    return true;
}

std::set<std::string> evacuations::record_absent(const std::set<std::string>& present,
                                                 const store::position& read_at)
{
    std::set<std::string> returned;
    for (const auto& zone : zones())
    {
        if (!present.contains(zone) && record(zone, read_at, false, {}))
        {
            returned.insert(zone);
        }
    }
    return returned;
}

std::set<std::string> evacuations::merge(const nlohmann::json& message, core::time_point now)
{
    struct received_record
    {
        std::string zone;
        store::position position;
        bool is_evacuated = false;
        core::duration age;
    };
    std::vector<received_record> received;
    for (const auto& [zone, item] : message.items())
    {
        received.push_back({zone,
                            {item.at(0).get<std::int64_t>(), item.at(1).get<std::int64_t>()},
                            item.at(2).get<bool>(),
                            core::duration{std::max<std::int64_t>(item.at(3).get<std::int64_t>(), 0)}});
    }
    std::set<std::string> changed;
    for (const auto& item : received)
    {
        if (is_zone_name(item.zone) && record(item.zone, item.position, item.is_evacuated, now - item.age))
        {
            changed.insert(item.zone);
        }
    }
    return changed;
}

nlohmann::json evacuations::to_message(core::time_point now) const
{
    auto message = nlohmann::json::object();
    for (const auto& [zone, item] : records_)
    {
        // A time that is not known says nothing to others.
        const bool has_time = item.is_evacuated && item.since != core::time_point();
        const auto age = has_time ? (now - item.since).ms : 0;
        message[zone] =
            nlohmann::json::array({item.position.era, item.position.number, item.is_evacuated, age});
    }
    return message;
}

std::optional<core::time_point> evacuations::evacuated_since(const std::string& zone) const
{
    const auto known = records_.find(zone);
    const bool is_evacuated = known != records_.end() && known->second.is_evacuated;
    return is_evacuated ? std::optional(known->second.since) : std::nullopt;
}

std::set<std::string> evacuations::zones() const
{
    std::set<std::string> result;
    for (const auto& [zone, item] : records_)
    {
        if (item.is_evacuated)
        {
            result.insert(zone);
        }
    }
    return result;
}

core::time_point last_keyed_send(core::time_point evacuated_since, core::duration bound)
{
    return evacuated_since + core::duration{bound.ms * keyed_share / percent};
}

} // namespace briarfold::routes
