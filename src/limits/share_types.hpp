/// Messages between a router and the coordinator of a customer's limits.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace briarfold::limits {

/// Constants of the shares. Deterministic figures: bench/limits.
namespace share_timing {

/// Length of a lease while the customer asks for more than its limit: unused shares return soon.
constexpr core::duration contended_lease{1000};
/// Length of a lease otherwise; longer leases cost fewer messages. A new coordinator is cautious for as long:
/// with 4000 ms, 5% of the requests of a skewed load within its limit were refused in a run of 60 s.
constexpr core::duration lease{2000};
/// A router asks again early when its demand changed, at most this often.
constexpr core::duration least_interval{100};
/// Silence of the coordinator after which a router falls back to limit / live routers.
constexpr core::duration coordinator_timeout{500};
/// Part of the limit that routers without a lease may use without asking, split equally.
constexpr double reserve = 0.1;
/// Demand is an estimate of random arrivals; a share exceeds it by this factor where the limit allows.
constexpr double headroom = 1.25;
constexpr double contended_headroom = 1.05;

} // namespace share_timing

/// The limits of a contract that are shared.
struct shared_limits
{
    double rate = 0;
    double burst = 0;
    std::int64_t concurrency = 0;

    auto operator<=>(const shared_limits&) const = default;
};

/// `rate` and `concurrency` are what the router's callers ask for; `held` is its lease, zero without one.
struct share_request
{
    std::string customer;
    double rate = 0;
    std::int64_t concurrency = 0;
    double held_rate = 0;
    std::int64_t held_concurrency = 0;

    bool operator==(const share_request&) const = default;
};

/// Valid from the moment the router sent its request.
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
/// Throw core::error.
share_request parse_share_request(const nlohmann::json& value);
share_grant parse_share_grant(const nlohmann::json& value);

/// What a router without a lease may use while nothing is wrong.
shared_limits quiet_share(const shared_limits& all, std::size_t routers);
/// What a router may use that cannot reach a coordinator.
shared_limits equal_share(const shared_limits& all, std::size_t routers);

} // namespace briarfold::limits
