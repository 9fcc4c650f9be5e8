/// Connects routing to traces and metrics.
#pragma once

#include "metrics/registry.hpp"
#include "ownership/ownership.hpp"
#include "replica/ireplica.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "trace/ispan_sink.hpp"

namespace briarfold::router {

/// Fills on_span; the sink outlives the hooks. Calls and outcomes are recorded by the callers in a test,
/// since what a caller was told is what the guarantees speak of.
void observe_requests(routing::routing_hooks& hooks, trace::ispan_sink& spans);

/// Gauges that read the counters at each scrape. Everything passed outlives the registry.
void publish_counters(metrics::registry& registry, const routing::routing_counters& routing,
                      const ownership::ownership& ownership, const replica::ireplica& rows);

} // namespace briarfold::router
