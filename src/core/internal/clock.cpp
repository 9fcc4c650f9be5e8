#include "core/clock.hpp"

#include <ctime>

namespace briarfold::core {

namespace {

time_point read_clock(clockid_t id)
{
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1000000;
    timespec value{};
    clock_gettime(id, &value);
    return {value.tv_sec * ms_per_second + value.tv_nsec / ns_per_ms};
}

} // namespace

time_point clock::now()
{
    return read_clock(CLOCK_BOOTTIME);
}

time_point clock::wall()
{
    return read_clock(CLOCK_REALTIME);
}

} // namespace briarfold::core
