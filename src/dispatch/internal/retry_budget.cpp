#include "dispatch/retry_budget.hpp"

#include <algorithm>

namespace briarfold::dispatch {

namespace {

// A window allows at most the capacity at its start plus what is added in it and shortly before, since a
// retry waits for a slot before it arrives.
/// Fractions of the ratio that each request adds, and that the requests of a window allow at once.
constexpr double added_ratio = 0.7;
constexpr double ratio_at_once = 0.15;
/// Fractions of the slack that a window adds, and that are allowed at once.
constexpr double added_slack = 0.3;
constexpr double slack_at_once = 0.55;

} // namespace

void retry_budget::refill(double share, core::time_point now)
{
    const auto start = now - settings_.window;
    requests_.erase(requests_.begin(), std::ranges::lower_bound(requests_, start));
    const auto elapsed = now - refilled_at_.value_or(now);
    refilled_at_ = now;
    const double windows = static_cast<double>(elapsed.ms) / static_cast<double>(settings_.window.ms);
    const double capacity = ratio_at_once * settings_.ratio * static_cast<double>(requests_.size()) +
                            slack_at_once * settings_.slack * share;
    tokens_ = std::min(tokens_ + added_slack * settings_.slack * share * windows, capacity);
}

void retry_budget::count_request(double share, core::time_point now)
{
    requests_.push_back(now);
    tokens_ += added_ratio * settings_.ratio;
    refill(share, now);
}

double retry_budget::available(double share, core::time_point now)
{
    refill(share, now);
    return tokens_;
}

bool retry_budget::take(double share, core::time_point now)
{
    if (available(share, now) < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace briarfold::dispatch
