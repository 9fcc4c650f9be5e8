#include "membership/relay.hpp"

#include "membership/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace briarfold::membership {

std::optional<router_info> relay_of(const std::vector<router_info>& live, const std::string& zone)
{
    std::vector<router_info> candidates;
    std::ranges::copy_if(live, std::back_inserter(candidates),
                         [&](const router_info& router) { return router.zone == zone; });
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return rendezvous_order(std::move(candidates), "relay/" + zone).front();
}

upstream_order upstreams_of(const router_info& self, const std::vector<router_info>& live)
{
    upstream_order order;
    const auto own = relay_of(live, self.zone);
    order.is_store_first = !own || own->instance_id == self.instance_id;
    if (!order.is_store_first)
    {
        order.peers.push_back(*own);
    }
    std::set<std::string> zones;
    std::ranges::for_each(live, [&](const router_info& router) { zones.insert(router.zone); });
    zones.erase(self.zone);
    for (const auto& zone : zones)
    {
        order.peers.push_back(*relay_of(live, zone));
    }
    return order;
}

} // namespace briarfold::membership
