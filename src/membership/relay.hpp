/// Choice of the upstreams from which a router reads rows.
#pragma once

#include "membership/membership_types.hpp"

#include <optional>
#include <string>

namespace briarfold::membership {

/// Returns the relay of a zone, the router that follows the store on behalf of the others. It is chosen by
/// rendezvous hashing over the live routers; nothing when the zone has no live router.
std::optional<router_info> relay_of(const std::vector<router_info>& live, const std::string& zone);

struct upstream_order
{
    /// Whether the store comes before the peers; true on the zone's relay and when the zone has none.
    bool is_store_first = false;
    /// The zone's relay, unless it is this router, then the relays of other zones.
    std::vector<router_info> peers;
};

upstream_order upstreams_of(const router_info& self, const std::vector<router_info>& live);

} // namespace briarfold::membership
