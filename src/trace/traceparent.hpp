/// The W3C header `traceparent`, version 00.
#pragma once

#include "trace/trace_types.hpp"

#include <optional>

namespace briarfold::trace {

/// Empty when `header` is not valid; the router then starts a new trace, as the specification asks for.
/// Higher versions are read by the rules of version 00.
std::optional<trace_context> parse_traceparent(std::string_view header);
std::string make_traceparent(const trace_context& value);

/// A new trace.
trace_context make_root();
/// A new span in the trace of `parent`.
trace_context make_child(const trace_context& parent);
/// The trace of the header when it is valid, otherwise a new one. The result is the caller's span, or a
/// context without a span id for a new trace; pass it to make_child.
trace_context continue_or_start(std::string_view header);

} // namespace briarfold::trace
