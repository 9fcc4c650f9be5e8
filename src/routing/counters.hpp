/// Counters of the entry and front roles. Values only increase.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace briarfold::routing {

using counter = std::atomic<std::uint64_t>;

struct routing_counters
{
    counter requests{0};
    counter answered{0};
    counter refused{0};
    counter unknown{0};
    counter forwarded{0};
    counter served_locally{0};
    /// Waits for a newer map, for a backend server that does not accept requests yet, or for admission.
    counter holds{0};
    counter entry_retries{0};
    counter front_requests{0};
    counter front_retries{0};
    counter retries_over_budget{0};
    counter queue_waits{0};
    counter queue_rejections{0};
    counter connections_opened{0};
    counter connections_lost{0};
    counter timeouts{0};
    counter id_mismatches{0};
    counter silent_connections{0};
    counter pool_rebuilds{0};
    counter cancels_sent{0};
};

/// Returns every counter by name, for the metrics endpoint.
std::map<std::string, std::uint64_t> to_map(const routing_counters& counters);

} // namespace briarfold::routing
