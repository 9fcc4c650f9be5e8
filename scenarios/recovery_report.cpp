#include "scenarios/recovery_report.hpp"

#include <algorithm>
#include <map>

namespace briarfold::scenarios {

namespace {

struct effect
{
    core::time_point time;
    std::string backend_server;
};

using effects_by_key = std::map<std::string, std::vector<effect>>;

effects_by_key collect(const std::vector<history::event>& events)
{
    effects_by_key effects;
    for (const auto& value : events)
    {
        if (value.kind == history::event_kind::execute)
        {
            const auto key = value.fields.at("service").get<std::string>() + "/" +
                             value.fields.at("key").get<std::string>();
            effects[key].push_back({value.time, value.fields.at("backend_server")});
        }
    }
    return effects;
}

/// `end` closes the last gap of a key that is not served again.
key_gap longest_gap(const std::string& key, const std::vector<effect>& effects, core::time_point fault,
                    core::duration window, core::time_point end)
{
    key_gap longest{key, core::duration{}, true};
    auto previous = fault;
    const auto consider = [&](core::time_point next, bool is_served) {
        if (previous < fault + window && longest.gap < next - previous)
        {
            longest.gap = next - previous;
            longest.is_served_again = is_served;
        }
    };
    for (const auto& item : effects)
    {
        if (item.time > fault)
        {
            consider(item.time, true);
            previous = item.time;
        }
    }
    // The last gap counts only when the key was not served at all: every history ends at some time.
    if (previous == fault)
    {
        consider(end, false);
    }
    return longest;
}

core::duration quantile(const std::vector<key_gap>& sorted, double share)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)].gap;
}

} // namespace

std::vector<key_gap> find_gaps(const std::vector<history::event>& events, core::time_point fault,
                               core::duration window,
                               const std::function<bool(const std::string& backend_server)>& is_affected)
{
    std::vector<key_gap> gaps;
    const auto end = events.empty() ? fault : events.back().time;
    for (const auto& [key, effects] : collect(events))
    {
        const auto after = std::ranges::upper_bound(effects, fault, {}, &effect::time);
        if (after != effects.begin() && is_affected((after - 1)->backend_server))
        {
            gaps.push_back(longest_gap(key, effects, fault, window, end));
        }
    }
    return gaps;
}

std::string describe(std::vector<key_gap> gaps)
{
    if (gaps.empty())
    {
        return "no key was affected";
    }
    constexpr double median = 0.5;
    constexpr double high = 0.9;
    std::ranges::sort(gaps, {}, &key_gap::gap);
    const auto late = std::ranges::count_if(
        gaps, [](const key_gap& item) { return item.gap > recovery_target && item.is_served_again; });
    const auto never = std::ranges::count(gaps, false, &key_gap::is_served_again);
    return std::to_string(gaps.size()) + " keys, without service for median " +
           std::to_string(quantile(gaps, median).ms) + " ms, 90% " + std::to_string(quantile(gaps, high).ms) +
           " ms, at most " + std::to_string(gaps.back().gap.ms) + " ms; " + std::to_string(late) + " over " +
           std::to_string(recovery_target.ms) + " ms, " + std::to_string(never) + " not served again";
}

} // namespace briarfold::scenarios
