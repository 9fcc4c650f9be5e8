/// Spans and their place in a trace.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarfold::trace {

/// Identifies a span inside a trace, as in the W3C header `traceparent`.
struct trace_context
{
    trace_context() = default;
    trace_context(std::string trace, std::string span, bool sampled)
        : trace_id(std::move(trace)), span_id(std::move(span)), is_sampled(sampled)
    {}

    /// 32 lower-case hex digits.
    std::string trace_id;
    /// 16 lower-case hex digits.
    std::string span_id;
    bool is_sampled = true;

    auto operator<=>(const trace_context&) const = default;
};

/// One hop of a request: `entry`, `front` or `backend`.
struct span
{
    trace_context context;
    /// Empty for the first span of a trace.
    std::string parent_span_id;
    std::string request_id;
    std::string name;
    /// A client span waits for another process; a server span serves one.
    bool is_client = false;
    /// Wall clock in milliseconds.
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
    bool is_error = false;
    /// Such as {"briarfold.outcome", "answered"}.
    std::vector<std::pair<std::string, std::string>> attributes;

    bool operator==(const span&) const = default;
};

} // namespace briarfold::trace
