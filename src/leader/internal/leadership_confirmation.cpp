#include "leader/leadership_confirmation.hpp"

namespace briarfold::leader {

core::time_point leadership_confirmation::undisputed_at(core::time_point now, bool all_routers_follow,
                                                        bool is_store_failing) const
{
    if (now - confirmed_at_ < max_storeless_time)
    {
        return now;
    }
    return is_store_failing && all_routers_follow ? now : confirmed_at_ + max_storeless_time;
}

} // namespace briarfold::leader
