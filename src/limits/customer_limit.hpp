/// The limits of one customer on one router. Pure: no clock, no I/O.
#pragma once

#include "limits/limit_types.hpp"
#include "limits/share_types.hpp"
#include "limits/token_bucket.hpp"

#include <array>
#include <optional>
#include <string>

namespace briarfold::limits {

/// Outcome of asking for one request: admitted when `limit` is none.
struct verdict
{
    limit_kind limit = limit_kind::none;
    core::duration retry_after;
};

/// Uses the leased share while its lease lasts; without a lease the quiet share, and with an unreachable
/// coordinator limit / live routers. Not thread-safe.
class customer_limit
{
public:
    customer_limit(std::string customer, shared_limits limits, std::size_t routers, core::time_point now);

    void set_limits(const shared_limits& limits, std::size_t routers, core::time_point now);
    /// Admits one request, to be followed by `release`, or refuses it.
    verdict admit(core::time_point now);
    void release();

    /// The request to send to the coordinator now, if any. The answer goes to `apply`, a failure to `fail`.
    std::optional<share_request> next_request(core::time_point now);
    /// `sent` is the time at which the request was sent.
    void apply(const share_grant& grant, core::time_point sent, core::time_point now);
    void fail(core::time_point now);

    /// What this router may use now.
    shared_limits share(core::time_point now) const;
    std::int64_t in_flight() const { return in_flight_; }
    /// No traffic for a minute and nothing in progress: the object may be dropped.
    bool is_idle(core::time_point now) const;

private:
    struct slot
    {
        std::int64_t index = -1;
        std::int64_t arrivals = 0;
        std::int64_t peak = 0;
    };

    slot& current_slot(core::time_point now);
    double rate_demand(core::time_point now) const;
    std::int64_t concurrency_demand(core::time_point now) const;
    bool has_lease(core::time_point now) const { return now < lease_end_; }
    bool is_unreachable(core::time_point now) const;
    void update_bucket(core::time_point now);
    core::duration retry_of_concurrency(core::time_point now) const;

    static constexpr std::size_t slots = 10;

    std::string customer_;
    shared_limits limits_;
    std::size_t routers_;
    token_bucket bucket_;
    std::array<slot, slots> recent_{};
    std::int64_t in_flight_ = 0;
    std::int64_t refused_in_slot_ = 0;
    share_grant lease_;
    core::time_point lease_start_;
    core::time_point lease_end_;
    core::time_point last_asked_;
    core::time_point last_arrival_;
    double asked_rate_ = 0;
    std::int64_t asked_concurrency_ = 0;
    bool is_asking_ = false;
    std::optional<core::time_point> failing_since_;
};

} // namespace briarfold::limits
