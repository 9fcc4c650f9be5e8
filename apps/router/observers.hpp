/// Connects routing to history, traces and metrics.
#pragma once

#include "history/writer.hpp"
#include "metrics/registry.hpp"
#include "ownership/ownership.hpp"
#include "replica/ireplica.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "trace/ispan_sink.hpp"

namespace briarfold::router {

/// Fills on_call, on_outcome and on_span. The writer and the sink outlive the hooks.
void observe_requests(routing::routing_hooks& hooks, history::writer& history, trace::ispan_sink& spans);

/// Gauges that read the counters at each scrape. Everything passed outlives the registry.
void publish_counters(metrics::registry& registry, const routing::routing_counters& routing,
                      const ownership::ownership& ownership, const replica::ireplica& rows);

} // namespace briarfold::router
