/// Time in milliseconds, the only unit of time in the code.
#pragma once

#include <compare>
#include <cstdint>

namespace briarfold::core {

/// A span of time in milliseconds; may be negative.
struct duration
{
    std::int64_t ms = 0;

    auto operator<=>(const duration&) const = default;
    constexpr duration operator+(duration other) const { return {ms + other.ms}; }
    constexpr duration operator-(duration other) const { return {ms - other.ms}; }
    constexpr duration operator*(std::int64_t factor) const { return {ms * factor}; }
};

/// A point in time in milliseconds. Points of different clocks must not be compared.
struct time_point
{
    std::int64_t ms = 0;

    auto operator<=>(const time_point&) const = default;
    constexpr time_point operator+(duration span) const { return {ms + span.ms}; }
    constexpr time_point operator-(duration span) const { return {ms - span.ms}; }
    constexpr duration operator-(time_point other) const { return {ms - other.ms}; }
};

/// Clocks of this machine. `now` counts on CLOCK_BOOTTIME, so that time passes while the machine is
/// suspended; every lease, grant and timeout uses it. `wall` is for display and history lines only.
class clock
{
public:
    static time_point now();
    static time_point wall();
};

namespace literals {

constexpr duration operator""_ms(unsigned long long value)
{
    return {static_cast<std::int64_t>(value)};
}

} // namespace literals

} // namespace briarfold::core
