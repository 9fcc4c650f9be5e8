#include "dispatch/priority_rates.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>

namespace briarfold::dispatch {

namespace {

/// Time constant of the arriving work: some requests long, and shorter than a burst.
constexpr double work_window_ms = 1000;
/// Time constant of the shares of admitted requests, which covers a burst and the calm after it.
constexpr double share_window_ms = 5000;
/// Fewer offered requests in the window give no meaningful share.
constexpr double min_offered = 5;
/// No priority may be served 5 in 100 less often than a less urgent one; reacts before that bound.
constexpr double max_lead = 0.02;
/// Each priority is served at least a quarter as often as all together; the rest is a margin for requests
/// that are admitted and then expire.
constexpr double min_relative_share = 0.7;

} // namespace

void priority_rates::record_offered(int priority, double work_ms, core::time_point now)
{
    auto& value = update(priority, now);
    value.work_per_ms += work_ms / work_window_ms;
    value.offered += 1;
}

void priority_rates::record_admitted(int priority, core::time_point now)
{
    update(priority, now).admitted += 1;
}

void priority_rates::record_withdrawn(int priority, core::time_point now)
{
    auto& value = update(priority, now);
    value.admitted = std::max(value.admitted - 1, 0.0);
}

double priority_rates::urgent_work(int priority, core::time_point now) const
{
    double sum = 0;
    for (const auto& [other, value] : rates_)
    {
        sum += other < priority ? decay(value, now).work_per_ms : 0;
    }
    return sum;
}

bool priority_rates::is_ahead_of_urgent(int priority, core::time_point now) const
{
    const auto own = rates_.find(priority);
    if (own == rates_.end())
    {
        return false;
    }
    const double share = decay(own->second, now).admitted_share();
    return std::any_of(rates_.begin(), own, [&](const auto& entry) {
        const auto urgent = decay(entry.second, now);
        return urgent.offered >= min_offered && urgent.admitted_share() + max_lead < share;
    });
}

bool priority_rates::may_displace(int priority, core::time_point now) const
{
    const auto own = rates_.find(priority);
    if (own == rates_.end())
    {
        return false;
    }
    auto after = decay(own->second, now);
    after.admitted -= 1;
    return has_min_share(after, now);
}

bool priority_rates::is_starved(int priority, core::time_point now) const
{
    const auto own = rates_.find(priority);
    return own != rates_.end() && !has_min_share(decay(own->second, now), now);
}

bool priority_rates::has_min_share(const rates& value, core::time_point now) const
{
    rates all;
    for (const auto& [priority, other] : rates_)
    {
        const auto present = decay(other, now);
        all.offered += present.offered;
        all.admitted += present.admitted;
    }
    return value.admitted_share() >= min_relative_share * all.admitted_share();
}

priority_rates::rates priority_rates::decay(rates value, core::time_point now)
{
    const auto age = static_cast<double>(std::max<std::int64_t>((now - value.updated).ms, 0));
    value.work_per_ms *= std::exp(-age / work_window_ms);
    value.offered *= std::exp(-age / share_window_ms);
    value.admitted *= std::exp(-age / share_window_ms);
    value.updated = now;
    return value;
}

priority_rates::rates& priority_rates::update(int priority, core::time_point now)
{
    auto& value = rates_[priority];
    value = decay(value, now);
    return value;
}

} // namespace briarfold::dispatch
