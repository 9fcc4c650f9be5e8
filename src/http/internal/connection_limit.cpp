#include "http/internal/connection_limit.hpp"

#include <algorithm>
#include <tuple>

namespace briarfold::http::internal {

namespace {

bool is_longer(std::int64_t since_ms, core::duration limit, core::time_point now)
{
    return now.ms - since_ms > limit.ms;
}

bool can_be_closed(const connection_wait& wait)
{
    return wait.since_ms != 0 && !wait.is_writing;
}

/// Orders connections that can be closed, the first to be closed before the others.
std::tuple<bool, std::int64_t> close_order(const connection_wait& wait)
{
    return {!wait.progress.is_incomplete(), wait.since_ms};
}

} // namespace

bool is_overdue(const connection_wait& wait, const wait_limits& limits, core::time_point now)
{
    if (wait.since_ms == 0)
    {
        return false;
    }
    if (wait.progress.body_since_ms != 0 && limits.body.ms > 0)
    {
        return is_longer(wait.progress.body_since_ms, limits.body, now);
    }
    if (wait.progress.is_incomplete() && limits.head.ms > 0)
    {
        return wait.progress.body_since_ms == 0 && is_longer(wait.progress.head_since_ms, limits.head, now);
    }
    return is_longer(wait.since_ms, limits.idle, now);
}

std::optional<std::size_t> choose_connection_to_close(const std::vector<connection_wait>& waits)
{
    const auto before = [](const connection_wait& a, const connection_wait& b) {
        return can_be_closed(a) != can_be_closed(b) ? can_be_closed(a) : close_order(a) < close_order(b);
    };
    const auto first = std::ranges::min_element(waits, before);
    if (first == waits.end() || !can_be_closed(*first))
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(first - waits.begin());
}

} // namespace briarfold::http::internal
