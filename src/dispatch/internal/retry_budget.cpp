#include "dispatch/retry_budget.hpp"

namespace briarfold::dispatch {

namespace {

/// Part of the allowance that is used, since arrivals are counted where they happen and windows slide.
constexpr double used_part = 0.75;

} // namespace

void retry_budget::drop_old(core::time_point now)
{
    const auto start = now - settings_.window;
    while (!requests_.empty() && requests_.front() < start)
    {
        requests_.pop_front();
    }
    while (!repeats_.empty() && repeats_.front() < start)
    {
        repeats_.pop_front();
    }
}

void retry_budget::count_request(core::time_point now)
{
    drop_old(now);
    requests_.push_back(now);
}

double retry_budget::left(double share, core::time_point now)
{
    drop_old(now);
    const double allowed =
        used_part * (settings_.ratio * static_cast<double>(requests_.size()) + settings_.slack * share);
    return allowed - static_cast<double>(repeats_.size());
}

bool retry_budget::take(double share, core::time_point now)
{
    if (left(share, now) < 1)
    {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

} // namespace briarfold::dispatch
