/// A token bucket of one second's worth of operations.
#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace briarfold::standins {

class rate_limit
{
public:
    explicit rate_limit(double per_second) : per_second_(per_second), tokens_(per_second) {}

    /// Takes `count` tokens, or none and returns false.
    bool take(std::size_t count, core::time_point now)
    {
        constexpr double ms_per_second = 1000;
        if (last_.ms != 0)
        {
            const auto elapsed = static_cast<double>((now - last_).ms);
            tokens_ = std::min(per_second_, tokens_ + elapsed * per_second_ / ms_per_second);
        }
        last_ = now;
        const auto wanted = static_cast<double>(count);
        if (tokens_ < wanted)
        {
            return false;
        }
        tokens_ -= wanted;
        return true;
    }

private:
    double per_second_;
    double tokens_;
    core::time_point last_;
};

} // namespace briarfold::standins
