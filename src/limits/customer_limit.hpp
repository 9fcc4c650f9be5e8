/// Enforces the limits of one customer on one router. Has no clock and does no I/O.
#pragma once

#include "limits/limit_types.hpp"
#include "limits/share_types.hpp"
#include "limits/token_bucket.hpp"

#include <array>
#include <optional>
#include <string>

namespace briarfold::limits {

/// Result of an admission check. The request is admitted when `limit` is none.
struct admission_result
{
    limit_kind limit = limit_kind::none;
    core::duration retry_after;
};

/// Allows the leased share while the lease is valid. Without a lease it allows the reserve share, or limit /
/// live routers when the coordinator is unreachable. Not thread-safe.
class customer_limit
{
public:
    customer_limit(std::string customer, shared_limits limits, std::size_t routers, core::time_point now);

    void set_limits(const shared_limits& limits, std::size_t routers, core::time_point now);
    /// Admits or refuses one request. Each admitted request must be followed by one `release`.
    admission_result admit(core::time_point now);
    void release();

    /// Returns the request to send to the coordinator now, if any. Its answer goes to `on_grant`, a failure
    /// to `on_failure`.
    std::optional<share_request> next_request(core::time_point now);
    /// `sent` is the time at which the request was sent.
    void on_grant(const share_grant& grant, core::time_point sent, core::time_point now);
    void on_failure(core::time_point now);

    /// Returns the part of the limits that this router may use now.
    shared_limits share(core::time_point now) const;
    std::int64_t in_flight() const { return in_flight_; }
    /// Returns true after a minute without traffic when no request is in flight; the object may then be
    /// removed.
    bool is_idle(core::time_point now) const;

private:
    struct demand_interval
    {
        std::int64_t index = -1;
        std::int64_t arrivals = 0;
        std::int64_t peak = 0;
    };

    demand_interval& current_interval(core::time_point now);
    double rate_demand(core::time_point now) const;
    std::int64_t concurrency_demand(core::time_point now) const;
    bool has_lease(core::time_point now) const { return now < lease_end_; }
    bool is_coordinator_unreachable(core::time_point now) const;
    void update_bucket(core::time_point now);
    core::duration concurrency_retry_after(core::time_point now) const;

    static constexpr std::size_t interval_count = 10;

    std::string customer_;
    shared_limits limits_;
    std::size_t routers_;
    token_bucket bucket_;
    std::array<demand_interval, interval_count> recent_intervals_{};
    std::int64_t in_flight_ = 0;
    std::int64_t refused_in_interval_ = 0;
    share_grant lease_;
    core::time_point lease_start_;
    core::time_point lease_end_;
    core::time_point last_request_;
    core::time_point last_arrival_;
    double requested_rate_ = 0;
    std::int64_t requested_concurrency_ = 0;
    bool is_request_pending_ = false;
    std::optional<core::time_point> failing_since_;
};

} // namespace briarfold::limits
