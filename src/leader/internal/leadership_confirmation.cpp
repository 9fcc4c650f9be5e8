#include "leader/leadership_confirmation.hpp"

#include <algorithm>

namespace briarfold::leader {

void leadership_confirmation::on_isolation(bool is_isolated, core::time_point now)
{
    if (!is_isolated)
    {
        isolated_since_.reset();
    }
    else if (!isolated_since_)
    {
        isolated_since_ = now;
    }
}

core::time_point leadership_confirmation::undisputed_at(core::time_point now, bool all_routers_follow,
                                                        bool is_store_failing) const
{
    if (is_store_failing && isolated_since_)
    {
        return std::min(std::max(*isolated_since_, confirmed_at_), confirmed_at_ + max_storeless_time);
    }
    if (now - confirmed_at_ < max_storeless_time)
    {
        return now;
    }
    return is_store_failing && all_routers_follow ? now : confirmed_at_ + max_storeless_time;
}

} // namespace briarfold::leader
