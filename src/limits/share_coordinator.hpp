/// Leases shares of one customer's limits to routers. Has no clock and does no I/O.
#pragma once

#include "limits/share_types.hpp"

#include <map>
#include <string>

namespace briarfold::limits {

/// Shares go up to each router's demand (max-min fairness). Half of the surplus is split equally; the other
/// half is kept for sudden demand. Leases that have not expired plus the reserve shares of the other routers
/// never exceed the rate. Leases never exceed the concurrency; a router without a lease may add one request.
/// A new coordinator does not know the leases of its predecessor; for the duration of one lease it grants at
/// most what a router holds or its equal share, whichever is larger. Not thread-safe.
class share_coordinator
{
public:
    share_coordinator(shared_limits limits, core::time_point now);

    /// A lowered limit takes effect with the next grant to each router.
    void set_limits(const shared_limits& limits) { limits_ = limits; }
    share_grant grant(const std::string& router, const share_request& request, std::size_t routers,
                      core::time_point now);

    const shared_limits& limits() const { return limits_; }
    /// Returns the sum of the leases in force.
    shared_limits leased(core::time_point now) const;

private:
    struct lease
    {
        double rate_demand = 0;
        std::int64_t concurrency_demand = 0;
        double rate = 0;
        std::int64_t concurrency = 0;
        core::time_point end;
    };

    double rate_for(const std::string& router, double capacity, std::size_t routers) const;
    std::int64_t concurrency_for(const std::string& router, std::int64_t capacity, std::size_t routers,
                                 core::time_point now) const;

    shared_limits limits_;
    core::time_point leases_known_at_;
    std::map<std::string, lease> leases_;
};

} // namespace briarfold::limits
