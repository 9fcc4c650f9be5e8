/// Composes the upstreams of a router's feed.
#pragma once

#include "membership/imembership.hpp"
#include "replica/feed.hpp"
#include "wire/ipeer_rpc.hpp"

namespace briarfold::membership {

/// The store on the zone's relay, elsewhere the relay; then relays of other zones and the store. An upstream
/// that failed goes to the end for a while. All arguments outlive the function returned.
replica::source_order make_feed_order(imembership& members, store::itable_store& store,
                                      wire::ipeer_rpc& peers);

} // namespace briarfold::membership
