/// Trace context of one hop of a request.
#pragma once

#include <string>
#include <string_view>

namespace briarfold::routing::internal {

struct trace_context
{
    trace_context() = default;

    std::string trace_id;
    std::string parent_span_id;
    std::string span_id;
    bool is_sampled = true;

    /// Returns the traceparent header for the next hop.
    std::string to_header() const;
};

/// Starts a child span of the given traceparent. Starts a new trace if the traceparent is invalid or empty.
trace_context start_span(std::string_view traceparent);

} // namespace briarfold::routing::internal
