/// Hands out shares of one customer's limits. Pure: no clock, no I/O.
#pragma once

#include "limits/share_types.hpp"

#include <map>
#include <string>

namespace briarfold::limits {

/// Shares go up to each router's demand (max-min fair), and half of what is left is split equally; the other
/// half waits for sudden demand. Leases that have not expired plus the quiet shares of the other routers
/// never exceed the rate. Leases never exceed the concurrency; a router without a lease may add one request.
/// A new coordinator does not know the leases of its predecessor; for the length of one lease it grants no
/// more than what a router holds or its equal share. Not thread-safe.
class share_coordinator
{
public:
    share_coordinator(shared_limits limits, core::time_point now);

    /// A shrinking limit takes effect with the next grant to each router.
    void set_limits(const shared_limits& limits) { limits_ = limits; }
    share_grant grant(const std::string& router, const share_request& request, std::size_t routers,
                      core::time_point now);

    const shared_limits& limits() const { return limits_; }
    /// Sum of the leases in force.
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
    core::time_point known_from_;
    std::map<std::string, lease> leases_;
};

} // namespace briarfold::limits
