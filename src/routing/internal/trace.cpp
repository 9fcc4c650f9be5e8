#include "routing/internal/trace.hpp"

#include "trace/traceparent.hpp"

namespace briarfold::routing::internal {

std::string trace_context::to_header() const
{
    return trace::make_traceparent({trace_id, span_id, is_sampled});
}

trace_context start_span(std::string_view traceparent)
{
    const auto parent = trace::continue_or_start(traceparent);
    const auto child = trace::make_child(parent);
    trace_context context;
    context.trace_id = child.trace_id;
    context.parent_span_id = parent.span_id;
    context.span_id = child.span_id;
    context.is_sampled = child.is_sampled;
    return context;
}

} // namespace briarfold::routing::internal
