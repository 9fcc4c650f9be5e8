#include "routing/internal/trace.hpp"

#include "core/key_hash.hpp"

#include <algorithm>
#include <random>

namespace briarfold::routing::internal {

namespace {

// "00-" trace id "-" span id "-" flags
constexpr std::size_t trace_id_start = 3;
constexpr std::size_t trace_id_size = 32;
constexpr std::size_t span_id_start = 36;
constexpr std::size_t span_id_size = 16;
constexpr std::size_t flags_start = 53;
constexpr std::size_t header_size = 55;

std::string random_hex()
{
    static thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return core::to_hex(engine());
}

bool is_hex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_valid(std::string_view header)
{
    if (header.size() != header_size || !header.starts_with("00-") || header[span_id_start - 1] != '-' ||
        header[flags_start - 1] != '-')
    {
        return false;
    }
    const auto trace = header.substr(trace_id_start, trace_id_size);
    const auto span = header.substr(span_id_start, span_id_size);
    const auto is_zero = [](std::string_view text) {
        return std::ranges::all_of(text, [](char c) { return c == '0'; });
    };
    return is_hex(trace) && is_hex(span) && is_hex(header.substr(flags_start)) && !is_zero(trace) &&
           !is_zero(span);
}

} // namespace

std::string trace_context::to_header() const
{
    std::string header;
    header.reserve(header_size);
    return header.append("00-").append(trace_id).append("-").append(span_id).append("-").append(flags);
}

trace_context start_span(std::string_view traceparent)
{
    trace_context context;
    context.span_id = random_hex();
    if (is_valid(traceparent))
    {
        context.trace_id = traceparent.substr(trace_id_start, trace_id_size);
        context.parent_span_id = traceparent.substr(span_id_start, span_id_size);
        context.flags = traceparent.substr(flags_start);
        return context;
    }
    context.trace_id = random_hex() + random_hex();
    return context;
}

} // namespace briarfold::routing::internal
