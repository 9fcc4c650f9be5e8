/// Connects routing to traces and metrics.
#pragma once

#include "metrics/registry.hpp"
#include "ownership/ownership.hpp"
#include "replica/ireplica.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "trace/ispan_sink.hpp"

namespace briarfold::router {

/// Sets `on_span` to record spans in the sink, which must outlive the hooks. Leaves `on_call` and
/// `on_outcome` empty: in tests the callers record calls and outcomes, because the guarantees apply to what
/// the caller receives.
void record_spans(routing::routing_hooks& hooks, trace::ispan_sink& spans);

/// Registers gauges that read the counters at each scrape. All arguments must outlive the registry.
void publish_counters(metrics::registry& registry, const routing::routing_counters& routing,
                      const ownership::ownership& ownership, const replica::ireplica& rows);

} // namespace briarfold::router
