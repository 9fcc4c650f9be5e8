/// Simulates one customer's requests on several routers in steps of one millisecond. The same seed gives the
/// same results on every machine.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace briarfold::bench {

enum class policy
{
    leased,
    fixed_split
};

struct scenario
{
    std::size_t routers = 12;
    double limit_per_s = 1000;
    double burst = 200;
    std::int64_t concurrency = 200;
    std::int64_t duration_ms = 60000;
    /// Returns the requests per second that are offered to a router at a time.
    std::function<double(std::size_t router, std::int64_t now_ms)> offered;
    /// Times in milliseconds from the start at which the coordinator is lost; a new one without state answers
    /// 2 s later.
    std::vector<std::int64_t> coordinator_losses;
    std::uint64_t seed = 1;
};

struct simulation_result
{
    std::int64_t offered = 0;
    std::int64_t admitted = 0;
    /// Requests that one token bucket for all routers would admit.
    std::int64_t ideal = 0;
    /// Maximum of the requests admitted in one second beyond rate and burst, as a share of the rate.
    double max_second_overshoot = 0;
    /// Admitted beyond rate * time + burst, as a share of rate * time.
    double total_overshoot = 0;
    /// Requests that the ideal bucket would have admitted and the policy did not, as a share of the ideal.
    double starvation = 0;
    /// Minimum over the routers of the share of its ideal that a router admitted.
    double min_router_share = 1;
    double messages_per_router_s = 0;
    double bytes_per_router_s = 0;
};

simulation_result simulate(const scenario& input, policy selected_policy);

} // namespace briarfold::bench
