/// Rate limit with a burst allowance.
#pragma once

#include "core/clock.hpp"

#include <optional>

namespace briarfold::limits {

/// Starts full. Not thread-safe.
class token_bucket
{
public:
    token_bucket(double rate_per_s, double burst, core::time_point now);

    /// Changes the limits. Tokens above the new burst are discarded; none are added.
    void set_limits(double rate_per_s, double burst, core::time_point now);
    /// Takes a token and returns nothing, or returns the time until the next token when there is none.
    std::optional<core::duration> take(core::time_point now);

    double rate() const { return rate_; }
    double burst() const { return burst_; }
    double tokens(core::time_point now);

private:
    void refill(core::time_point now);

    double rate_;
    double burst_;
    double tokens_;
    core::time_point last_refill_;
};

} // namespace briarfold::limits
