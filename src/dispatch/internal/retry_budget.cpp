#include "dispatch/retry_budget.hpp"

namespace briarfold::dispatch {

namespace {

/// Fraction of the budget that may be used. The rest is a margin, since arrivals are counted where they
/// happen and windows slide.
constexpr double usable_fraction = 0.75;

} // namespace

void retry_budget::remove_expired(core::time_point now)
{
    const auto start = now - settings_.window;
    while (!requests_.empty() && requests_.front() < start)
    {
        requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() < start)
    {
        retries_.pop_front();
    }
}

void retry_budget::count_request(core::time_point now)
{
    remove_expired(now);
    requests_.push_back(now);
}

double retry_budget::remaining(double share, core::time_point now)
{
    remove_expired(now);
    const double allowed =
        usable_fraction * (settings_.ratio * static_cast<double>(requests_.size()) + settings_.slack * share);
    return allowed - static_cast<double>(retries_.size());
}

bool retry_budget::take(double share, core::time_point now)
{
    if (remaining(share, now) < 1)
    {
        return false;
    }
    retries_.push_back(now);
    return true;
}

std::size_t retry_budget::requests(core::time_point now)
{
    remove_expired(now);
    return requests_.size();
}

std::size_t retry_budget::retries(core::time_point now)
{
    remove_expired(now);
    return retries_.size();
}

} // namespace briarfold::dispatch
