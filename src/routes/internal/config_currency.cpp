#include "routes/config_currency.hpp"

#include <algorithm>

namespace briarfold::routes {

namespace {

/// Shares of the maximum delay, in percent. A leader that works confirms the configuration more often than it
/// is checked, and a check ends before the configuration stops being current.
constexpr std::int64_t check_share = 65;
constexpr std::int64_t current_share = 85;
constexpr std::int64_t percent = 100;
constexpr std::int64_t long_unconfirmed_factor = 2;
constexpr core::duration min_retry_delay{300};
constexpr core::duration max_retry_delay{2400};

} // namespace

void config_currency::on_confirmed(core::time_point at)
{
    if (at > confirmed_at_)
    {
        confirmed_at_ = at;
        retry_at_ = {};
        retry_delay_ = {};
    }
}

void config_currency::on_check_failed(core::time_point now)
{
    retry_delay_ = std::clamp(retry_delay_ * 2, min_retry_delay, max_retry_delay);
    retry_at_ = now + retry_delay_;
}

bool config_currency::is_current(core::time_point now) const
{
    return age(now).ms * percent <= max_delay_.ms * current_share;
}

core::time_point config_currency::next_check() const
{
    return std::max(confirmed_at_ + core::duration{max_delay_.ms * check_share / percent}, retry_at_);
}

bool config_currency::is_long_unconfirmed(core::time_point now) const
{
    return age(now) > max_delay_ * long_unconfirmed_factor;
}

} // namespace briarfold::routes
