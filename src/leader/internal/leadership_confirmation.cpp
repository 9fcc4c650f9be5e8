#include "leader/leadership_confirmation.hpp"

#include <algorithm>

namespace briarfold::leader {

namespace {

/// The leadership is checked in the store when no write has confirmed it for this time.
constexpr core::duration check_interval{4000};

} // namespace

void leadership_confirmation::on_confirmed(core::time_point sent)
{
    confirmed_at_ = std::max(confirmed_at_, sent);
    if (sent >= resumed_at_)
    {
        stood_still_since_.reset();
    }
}

void leadership_confirmation::on_tick(bool is_isolated, core::time_point now)
{
    if (now - last_tick_ > max_pause)
    {
        stood_still_since_ = stood_still_since_.value_or(last_tick_);
        resumed_at_ = now;
    }
    last_tick_ = now;
    if (!is_isolated)
    {
        isolated_since_.reset();
    }
    else if (!isolated_since_)
    {
        isolated_since_ = now;
    }
}

bool leadership_confirmation::is_check_due(core::time_point now) const
{
    return stood_still_since_ || proof_requested_at_ > confirmed_at_ || now - confirmed_at_ > check_interval;
}

core::time_point leadership_confirmation::proved_at(core::time_point now, bool all_routers_follow,
                                                    bool is_store_failing) const
{
    return is_store_failing ? undisputed_at(now, all_routers_follow, is_store_failing)
                            : std::min(now, confirmed_at_);
}

core::time_point leadership_confirmation::undisputed_at(core::time_point now, bool all_routers_follow,
                                                        bool is_store_failing) const
{
    const auto limit =
        is_store_failing && all_routers_follow ? now : std::min(now, confirmed_at_ + max_storeless_time);
    if (is_store_failing && isolated_since_)
    {
        return std::min(limit, std::max(*isolated_since_, confirmed_at_));
    }
    const bool stands_still = now - last_tick_ > max_pause;
    if (stood_still_since_ || stands_still)
    {
        const auto last_run = stood_still_since_.value_or(last_tick_);
        return all_routers_follow ? limit : std::min(limit, std::max(last_run, confirmed_at_));
    }
    return limit;
}

} // namespace briarfold::leader
