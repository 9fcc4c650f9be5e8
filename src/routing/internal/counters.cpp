#include "routing/counters.hpp"

namespace briarfold::routing {

std::map<std::string, std::uint64_t> to_map(const routing_counters& counters)
{
    return {{"requests", counters.requests},
            {"answered", counters.answered},
            {"refused", counters.refused},
            {"unknown", counters.unknown},
            {"forwarded", counters.forwarded},
            {"served_locally", counters.served_locally},
            {"holds", counters.holds},
            {"entry_retries", counters.entry_retries},
            {"front_requests", counters.front_requests},
            {"front_retries", counters.front_retries},
            {"retries_over_budget", counters.retries_over_budget},
            {"queue_waits", counters.queue_waits},
            {"queue_rejections", counters.queue_rejections},
            {"connections_opened", counters.connections_opened},
            {"connections_lost", counters.connections_lost},
            {"timeouts", counters.timeouts},
            {"id_mismatches", counters.id_mismatches},
            {"silent_connections", counters.silent_connections},
            {"pool_rebuilds", counters.pool_rebuilds},
            {"cancels_sent", counters.cancels_sent}};
}

} // namespace briarfold::routing
