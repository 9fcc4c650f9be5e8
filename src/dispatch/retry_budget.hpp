/// Limits the attempts beyond the first of each request at the backend servers of one service.
#pragma once

#include "core/clock.hpp"

#include <deque>

namespace briarfold::dispatch {

struct retry_budget_settings
{
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    core::duration window{10000};
    /// Retries allowed in the window in addition to the ratio, for all routers together.
    double slack = 0;
};

/// Retry budget over a sliding window. Without it, retries would multiply the load when backend servers fail
/// or reject part of their requests.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

    void count_request(core::time_point now);
    /// Counts a retry and returns true if the budget allows it, otherwise returns false and counts nothing.
    /// `share` is the fraction of the slack that this router may use.
    bool take(double share, core::time_point now);
    double remaining(double share, core::time_point now);
    /// Number of requests and of retries counted in the window before `now`.
    std::size_t requests(core::time_point now);
    std::size_t retries(core::time_point now);

private:
    void remove_expired(core::time_point now);

    retry_budget_settings settings_;
    std::deque<core::time_point> requests_;
    std::deque<core::time_point> retries_;
};

} // namespace briarfold::dispatch
