#include "routing/internal/front_choice.hpp"

#include "membership/rendezvous.hpp"

namespace briarfold::routing::internal {

front_order front_choice::order_for(const ownership::backend_server& server)
{
    const auto live = membership_.live();
    const std::scoped_lock lock(mutex_);
    if (live != live_)
    {
        live_ = live;
        orders_.clear();
    }
    auto& order = orders_[server.id];
    if (!order)
    {
        const auto is_near = [&](const membership::router_info& router) {
            return router.zone == server.zone;
        };
        order = std::make_shared<const std::vector<membership::router_info>>(
            membership::rendezvous_order(*live, "front/" + server.id, is_near));
    }
    return order;
}

} // namespace briarfold::routing::internal
