/// Messages between a router and the coordinator of a customer's limits.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace briarfold::limits {

/// Constants of the lease protocol. bench/limits simulates their effect deterministically.
namespace share_timing {

/// Duration of a lease while the customer asks for more than its limit; short, so that unused shares return
/// soon.
constexpr core::duration contended_lease{1000};
/// Duration of a lease otherwise; longer leases cost fewer messages. A new coordinator restricts its grants
/// for the same time: with 4000 ms, 5% of the requests of a skewed load within its limit were refused in a
/// run of 60 s.
constexpr core::duration lease{2000};
/// Minimum interval between two requests of a router, which asks again early when its demand has changed.
constexpr core::duration min_request_interval{100};
/// Time without an answer from the coordinator after which a router falls back to limit / live routers.
constexpr core::duration coordinator_timeout{500};
/// Fraction of the limit that is split equally and that routers without a lease may use without a request.
constexpr double reserve_fraction = 0.1;
/// Factor by which a share exceeds the demand where the limit allows, since demand is an estimate of random
/// arrivals.
constexpr double headroom = 1.25;
constexpr double contended_headroom = 1.05;

} // namespace share_timing

/// Limits of a contract that are shared between routers; `rate` is in requests per second.
struct shared_limits
{
    double rate = 0;
    double burst = 0;
    std::int64_t concurrency = 0;

    auto operator<=>(const shared_limits&) const = default;
};

/// Request for a share. `rate` and `concurrency` are the demand at the router; `held_rate` and
/// `held_concurrency` are its lease, zero without one.
struct share_request
{
    std::string customer;
    double rate = 0;
    std::int64_t concurrency = 0;
    double held_rate = 0;
    std::int64_t held_concurrency = 0;

    bool operator==(const share_request&) const = default;
};

/// Leased share. The lease starts when the router sent its request.
struct share_grant
{
    std::string customer;
    double rate = 0;
    std::int64_t concurrency = 0;
    core::duration lease;

    bool operator==(const share_grant&) const = default;
};

nlohmann::json to_json(const share_request& value);
nlohmann::json to_json(const share_grant& value);
/// Throw core::error for a malformed value.
share_request parse_share_request(const nlohmann::json& value);
share_grant parse_share_grant(const nlohmann::json& value);

/// Returns the share of a router without a lease while the coordinator counts as reachable.
shared_limits reserve_share(const shared_limits& total, std::size_t routers);
/// Returns the share of a router that cannot reach the coordinator: limit / live routers.
shared_limits equal_share(const shared_limits& total, std::size_t routers);

} // namespace briarfold::limits
