#include "trace/traceparent.hpp"

#include "core/ids.hpp"

#include <algorithm>
#include <array>

namespace briarfold::trace {

namespace {

constexpr std::size_t trace_digits = 32;
constexpr std::size_t span_digits = 16;
constexpr std::size_t length = 55;
constexpr std::size_t trace_start = 3;
constexpr std::size_t span_start = 36;
constexpr std::size_t flags_start = 53;

bool is_hex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

std::string random_digits()
{
    const auto id = core::make_id("x");
    return id.substr(id.size() - span_digits);
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view header)
{
    if (header.size() < length || header[2] != '-' || header[span_start - 1] != '-' ||
        header[flags_start - 1] != '-')
    {
        return std::nullopt;
    }
    const auto version = header.substr(0, 2);
    const auto trace_id = header.substr(trace_start, trace_digits);
    const auto span_id = header.substr(span_start, span_digits);
    const auto flags = header.substr(flags_start, 2);
    const bool has_valid_length = header.size() == length || (version != "00" && header[length] == '-');
    if (!has_valid_length || version == "ff" || is_zero(trace_id) || is_zero(span_id) ||
        !std::ranges::all_of(std::array{version, trace_id, span_id, flags}, is_hex))
    {
        return std::nullopt;
    }
    // The lowest bit of the flags means sampled; odd hex digits have it set.
    const bool is_sampled = std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
    return trace_context(std::string(trace_id), std::string(span_id), is_sampled);
}

std::string make_traceparent(const trace_context& value)
{
    return "00-" + value.trace_id + "-" + value.span_id + (value.is_sampled ? "-01" : "-00");
}

trace_context make_root()
{
    return {random_digits() + random_digits(), random_digits(), true};
}

trace_context make_child(const trace_context& parent)
{
    return {parent.trace_id, random_digits(), parent.is_sampled};
}

trace_context continue_or_start(std::string_view header)
{
    if (auto context = parse_traceparent(header))
    {
        return *context;
    }
    auto context = make_root();
    context.span_id.clear();
    return context;
}

} // namespace briarfold::trace
