/// Rate of bytes over the last seconds.
#pragma once

#include "core/clock.hpp"

#include <cmath>
#include <cstdint>

namespace briarfold::leader {

/// Moving average of a rate that is reported in amounts. It falls slowly, so that a service keeps its fronts
/// with bandwidth through a pause of its traffic.
class transfer_rate
{
public:
    void record(std::int64_t bytes, core::time_point now)
    {
        value_ = value_at(now) + static_cast<double>(bytes) * ms_per_s / window_ms;
        updated_at_ = now;
    }

    double bytes_per_s(core::time_point now) const { return value_at(now); }

private:
    static constexpr double ms_per_s = 1000;
    static constexpr double window_ms = 5000;

    double value_at(core::time_point now) const
    {
        return value_ * std::exp(-static_cast<double>((now - updated_at_).ms) / window_ms);
    }

    double value_ = 0;
    core::time_point updated_at_;
};

} // namespace briarfold::leader
