#include "leader/leadership_confirmation.hpp"

namespace briarfold::leader {

core::time_point leadership_confirmation::undisputed_at(core::time_point now,
                                                        core::time_point last_router_loss,
                                                        bool all_routers_follow, bool is_store_failing) const
{
    if (now - confirmed_at_ < max_storeless_time)
    {
        return now;
    }
    // Lost routers leave the directory, so that those left may all follow although others do not.
    const bool is_missing_one = last_router_loss >= confirmed_at_ || !all_routers_follow;
    return is_store_failing && !is_missing_one ? now : confirmed_at_ + max_storeless_time;
}

} // namespace briarfold::leader
