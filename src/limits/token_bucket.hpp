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

    /// Changes the limits; tokens above the new burst are lost, none are made.
    void set(double rate_per_s, double burst, core::time_point now);
    /// Takes a token, or returns the time until the next one.
    std::optional<core::duration> take(core::time_point now);

    double rate() const { return rate_; }
    double burst() const { return burst_; }
    double tokens(core::time_point now);

private:
    void refill(core::time_point now);

    double rate_;
    double burst_;
    double tokens_;
    core::time_point last_;
};

} // namespace briarfold::limits
