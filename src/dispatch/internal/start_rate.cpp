#include "dispatch/start_rate.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::dispatch {

namespace {

constexpr double ms_per_s = 1000;
/// The bound covers the former front of a backend server and the new one.
constexpr double fronts_at_once = 2;
/// Keeps a backend server in use when the bound allows less than two requests a second.
constexpr double min_per_s = 0.1;
/// Absorbs rounding, so that a token is there at the millisecond that `wait` returns.
constexpr double rounding = 1e-6;

} // namespace

start_rate::start_rate(const start_rate_settings& settings, core::time_point now) : counted_at_(now)
{
    const double share = (settings.per_s * settings.over + settings.slack) / fronts_at_once;
    // A bucket must hold a whole token. If the bound leaves no room for one besides the rate, the rate gives
    // way.
    per_s_ = std::max(std::min(settings.per_s, share - 1), std::min(settings.per_s, min_per_s));
    capacity_ = std::max(share - per_s_, 1.0);
}

void start_rate::restart(core::time_point now)
{
    tokens_ = 0;
    counted_at_ = now;
    last_retry_ = {};
}

double start_rate::tokens(core::time_point now) const
{
    const auto elapsed_ms = static_cast<double>(std::max<std::int64_t>((now - counted_at_).ms, 0));
    return std::min(capacity_, tokens_ + per_s_ * elapsed_ms / ms_per_s);
}

bool start_rate::has_token(core::time_point now) const
{
    return tokens(now) + rounding >= 1;
}

void start_rate::take(core::time_point now)
{
    tokens_ = tokens(now) - 1;
    counted_at_ = now;
}

core::duration start_rate::wait(std::size_t ahead, core::time_point now) const
{
    const double missing = static_cast<double>(ahead + 1) - tokens(now) - rounding;
    if (missing <= 0)
    {
        return {};
    }
    return {static_cast<std::int64_t>(std::ceil(missing * ms_per_s / per_s_))};
}

core::duration start_rate::retry_wait(std::size_t ahead, core::time_point now) const
{
    const core::duration interval{static_cast<std::int64_t>(std::ceil(ms_per_s / per_s_))};
    return std::max(wait(ahead, now), last_retry_ + interval - now);
}

void start_rate::reserve_retry(std::size_t ahead, core::time_point now)
{
    last_retry_ = now + retry_wait(ahead, now);
}

} // namespace briarfold::dispatch
