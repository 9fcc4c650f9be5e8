/// Rate at which one backend server may get requests while it is cold. Does no I/O and reads no clock.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <optional>

namespace briarfold::dispatch {

/// What a cold backend server can handle, and the bound that all routers together must keep.
struct start_rate_settings
{
    /// Requests a second that it can handle; 0 when there is no limit.
    double per_s = 0;
    /// The bound on any span of one second is `per_s` * `over` + `slack`.
    double over = 1.5;
    double slack = 8;

    bool operator==(const start_rate_settings&) const = default;
};

/// Token bucket that starts empty. In any span of one second it gives at most half of the bound, so that a
/// former and a new front of the same backend server keep the bound together, without knowing of each other.
///
/// Load pattern: an availability zone whose backend servers all return cold while the demand for their keys
/// is undiminished. Each would get several times the requests that it can handle, and crash.
class start_rate
{
public:
    start_rate(const start_rate_settings& settings, core::time_point now);

    /// Empties the bucket.
    void restart(core::time_point now);
    bool has_token(core::time_point now) const;
    /// Takes a token for a request that is sent now. Call it only if there is one.
    void take(core::time_point now);
    /// Returns the time until there is a token for a request behind `ahead` others.
    core::duration wait(std::size_t ahead, core::time_point now) const;
    /// Returns the time after which a rejected request finds a token, behind those for which one is reserved.
    core::duration retry_wait(std::size_t ahead, core::time_point now) const;
    /// Reserves the time that `retry_wait` returns, so that rejected requests do not return all at once.
    void reserve_retry(std::size_t ahead, core::time_point now);
    /// Returns the requests a second that are sent in the long run.
    double per_s() const { return per_s_; }

private:
    double tokens(core::time_point now) const;

    double per_s_ = 0;
    double capacity_ = 1;
    double tokens_ = 0;
    core::time_point counted_at_;
    /// Latest retry time that was reserved.
    core::time_point last_retry_;
};

} // namespace briarfold::dispatch
