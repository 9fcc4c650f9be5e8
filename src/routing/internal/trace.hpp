/// The span of one hop of a request.
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

    /// The header value for the next hop.
    std::string to_header() const;
};

/// A new span under the given traceparent; an invalid or empty one starts a new trace.
trace_context start_span(std::string_view traceparent);

} // namespace briarfold::routing::internal
