/// Order in which a router asks upstreams for rows.
#pragma once

#include "membership/membership_types.hpp"

#include <optional>
#include <string>

namespace briarfold::membership {

/// The router of the zone that follows the store for the others: rendezvous hashing over the live routers.
std::optional<router_info> relay_of(const std::vector<router_info>& live, const std::string& zone);

struct upstream_order
{
    /// Whether the store comes before the peers: true on the relay.
    bool is_store_first = false;
    /// The zone's relay, then relays of other zones.
    std::vector<router_info> peers;
};

upstream_order upstreams_of(const router_info& self, const std::vector<router_info>& live);

} // namespace briarfold::membership
