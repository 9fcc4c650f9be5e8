/// Limits retries to a share of requests, so that retries cannot multiply the load of a failing server.
#pragma once

#include <algorithm>

namespace briarfold::limits {

/// Not thread-safe.
class retry_budget
{
public:
    /// Maximum number of retries that are saved up, for customers with few requests.
    static constexpr double max_saved = 10;

    void add_request(double share) { saved_ = std::min(max_saved, saved_ + share); }
    bool take()
    {
        if (saved_ < 1)
        {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    double saved_ = 1;
};

} // namespace briarfold::limits
