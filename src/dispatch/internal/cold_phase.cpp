#include "dispatch/cold_phase.hpp"

namespace briarfold::dispatch {

void cold_phase::configure(const start_rate_settings& settings, core::time_point now)
{
    if (settings == settings_)
    {
        return;
    }
    settings_ = settings;
    rate_.reset();
    if (settings.per_s > 0)
    {
        rate_.emplace(settings, now);
    }
}

void cold_phase::extend(core::time_point& until, core::duration left, core::time_point now)
{
    // A backend server that has just become cold may have got any number of requests in the last second.
    if (rate_ && left.ms > 0 && !is_cold(now))
    {
        rate_->restart(now);
    }
    until = std::max(until, now + left);
}

void cold_phase::on_registration(core::duration left, core::time_point now)
{
    extend(stated_until_, left, now);
}

void cold_phase::on_statement(core::duration left, core::time_point now)
{
    extend(stated_until_, left, now);
    stated_until_ = now + left;
    assumed_until_ = {};
}

void cold_phase::assume_cold(core::duration span, core::time_point now)
{
    extend(assumed_until_, span, now);
}

void cold_phase::reset()
{
    stated_until_ = {};
    assumed_until_ = {};
}

void cold_phase::on_send(core::time_point now)
{
    if (is_cold(now))
    {
        rate_->take(now);
    }
}

core::duration cold_phase::wait(std::size_t ahead, core::time_point now) const
{
    if (!is_cold(now))
    {
        return {};
    }
    // The rate ends with the cold phase.
    return std::min(rate_->wait(ahead, now), left(now));
}

core::duration cold_phase::retry_wait(std::size_t ahead, core::time_point now) const
{
    return is_cold(now) ? std::min(rate_->retry_wait(ahead, now), left(now)) : core::duration{0};
}

void cold_phase::reserve_retry(std::size_t ahead, core::time_point now)
{
    if (is_cold(now))
    {
        rate_->reserve_retry(ahead, now);
    }
}

double cold_phase::usable_slots(int slots, double mean_ms, core::time_point now) const
{
    constexpr double ms_per_s = 1000;
    return is_cold(now) ? std::min<double>(slots, rate_->per_s() * mean_ms / ms_per_s) : slots;
}

} // namespace briarfold::dispatch
