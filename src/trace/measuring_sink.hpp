/// Records how long each hop takes before it passes the span on.
#pragma once

#include "metrics/registry.hpp"
#include "trace/ispan_sink.hpp"

namespace briarfold::trace {

/// Summaries `briarfold_hop_duration_ms` by hop and result. Everything passed must outlive the sink.
class measuring_sink : public ispan_sink
{
public:
    measuring_sink(metrics::registry& registry, ispan_sink& next) : registry_(registry), next_(next) {}

    void record(span finished) override;

private:
    metrics::registry& registry_;
    ispan_sink& next_;
};

} // namespace briarfold::trace
