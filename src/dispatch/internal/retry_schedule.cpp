#include "dispatch/retry_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace briarfold::dispatch {

namespace {

/// A shorter wait would not outlast the connection to another router.
constexpr core::duration min_wait{50};
constexpr int client_time_per_wait = 3;
/// Time for which capacity is kept for a caller after its retry time; covers the connection to another router
/// and the hop from there to the front.
constexpr core::duration return_grace{100};
/// Maximum difference between the deadlines that a caller implies before and after it waited: the hops of
/// both requests and the rounding of its own clock.
constexpr core::duration deadline_tolerance{60};

} // namespace

core::duration retry_schedule::reserve(const reserved_retry& wanted, core::time_point free_at,
                                       double capacity, core::time_point now)
{
    drop_lapsed(now);
    const auto at = std::max({next_, free_at, now + min_wait});
    const core::duration max_wait{(wanted.client_deadline - now).ms / client_time_per_wait};
    const auto work_time = core::duration{std::llround(std::ceil(wanted.work_ms))};
    if (capacity <= 0 || at - now > max_wait || at + work_time > wanted.client_deadline)
    {
        return {};
    }
    auto entry = wanted;
    entry.at = at;
    reserved_.push_back(entry);
    next_ = at + core::duration{std::max<std::int64_t>(std::llround(wanted.work_ms / capacity), 1)};
    return at - now;
}

bool retry_schedule::claim(core::time_point client_deadline, int priority, core::time_point now)
{
    drop_lapsed(now);
    const auto difference = [&](const reserved_retry& entry) {
        return std::abs((entry.client_deadline - client_deadline).ms);
    };
    const auto position = std::ranges::find_if(reserved_, [&](const reserved_retry& entry) {
        return entry.priority == priority && difference(entry) <= deadline_tolerance.ms &&
               entry.at <= now + deadline_tolerance;
    });
    if (position == reserved_.end())
    {
        return false;
    }
    reserved_.erase(position);
    return true;
}

double retry_schedule::work_due(core::time_point until, core::time_point now)
{
    drop_lapsed(now);
    const auto end =
        std::ranges::find_if(reserved_, [until](const reserved_retry& entry) { return entry.at > until; });
    return std::accumulate(reserved_.begin(), end, 0.0,
                           [](double sum, const reserved_retry& entry) { return sum + entry.work_ms; });
}

void retry_schedule::drop_lapsed(core::time_point now)
{
    std::erase_if(reserved_, [now](const reserved_retry& entry) { return entry.at + return_grace < now; });
}

} // namespace briarfold::dispatch
