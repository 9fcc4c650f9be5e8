#include "limits/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::limits {

namespace {

constexpr double ms_per_second = 1000;
/// Maximum wait that is reported to a caller; the limits may change before it ends.
constexpr double max_wait_ms = 60000;

} // namespace

token_bucket::token_bucket(double rate_per_s, double burst, core::time_point now)
    : rate_(rate_per_s), burst_(burst), tokens_(burst), last_refill_(now)
{}

void token_bucket::refill(core::time_point now)
{
    const auto elapsed = std::max<std::int64_t>((now - last_refill_).ms, 0);
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(elapsed) / ms_per_second);
    last_refill_ = std::max(last_refill_, now);
}

void token_bucket::set_limits(double rate_per_s, double burst, core::time_point now)
{
    refill(now);
    rate_ = rate_per_s;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
}

std::optional<core::duration> token_bucket::take(core::time_point now)
{
    refill(now);
    if (tokens_ >= 1)
    {
        tokens_ -= 1;
        return std::nullopt;
    }
    const auto wait = rate_ > 0 ? (1 - tokens_) * ms_per_second / rate_ : max_wait_ms;
    return core::duration{static_cast<std::int64_t>(std::ceil(std::min(wait, max_wait_ms)))};
}

double token_bucket::tokens(core::time_point now)
{
    refill(now);
    return tokens_;
}

} // namespace briarfold::limits
