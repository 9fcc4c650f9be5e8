/// Limits how often one router sends requests to a service again.
#pragma once

#include "core/clock.hpp"

#include <deque>
#include <optional>

namespace briarfold::dispatch {

struct retry_budget_settings
{
    /// Retries allowed per request in the window.
    double ratio = 0.2;
    core::duration window{10000};
    /// Retries allowed in the window in addition to the ratio, for all routers together.
    double slack = 0;

    bool operator==(const retry_budget_settings&) const = default;
};

/// Tokens that requests and time add and retries take. It starts empty, and its capacity is a small part of a
/// window's budget: what is forgotten when a router ends can only be unused, so the budgets of all routers
/// together keep the bound in every window, whenever they end and start. Without a budget, retries would
/// multiply the load when backend servers fail or reject part of their requests.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

    /// Counts a request of a client. `share` is the fraction of the slack that this router may use.
    void count_request(double share, core::time_point now);
    /// Takes one retry and returns true if the budget allows it, otherwise returns false and takes nothing.
    bool take(double share, core::time_point now);
    /// Retries that are allowed at this moment; may be a fraction.
    double available(double share, core::time_point now);

private:
    void refill(double share, core::time_point now);

    retry_budget_settings settings_;
    /// Times of the requests in the last window.
    std::deque<core::time_point> requests_;
    double tokens_ = 0;
    std::optional<core::time_point> refilled_at_;
};

} // namespace briarfold::dispatch
