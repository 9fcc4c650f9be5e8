/// Bounds the arrivals beyond the first of each request at the backend servers of one service.
#pragma once

#include "core/clock.hpp"

#include <deque>

namespace briarfold::dispatch {

struct retry_budget_settings
{
    /// Repeats for each request of the window.
    double ratio = 0.2;
    core::duration window{10000};
    /// Repeats on top of the ratio, for all routers together.
    double slack = 0;
};

/// Counts over a sliding window. Load pattern: backend servers that fail or reject a part of their requests,
/// where unbounded retries would multiply the load.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

    void count_request(core::time_point now);
    /// Counts a repeat and returns true when the budget allows it. `share` is the part of the slack that this
    /// router may use.
    bool take(double share, core::time_point now);
    double left(double share, core::time_point now);

private:
    void drop_old(core::time_point now);

    retry_budget_settings settings_;
    std::deque<core::time_point> requests_;
    std::deque<core::time_point> repeats_;
};

} // namespace briarfold::dispatch
