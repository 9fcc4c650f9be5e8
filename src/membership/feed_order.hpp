/// Order in which the feed of a router tries its upstreams.
#pragma once

#include "membership/imembership.hpp"
#include "replica/feed.hpp"
#include "wire/ipeer_rpc.hpp"

namespace briarfold::membership {

/// Returns a function that lists the upstreams in order of preference. On the relay of a zone, the store
/// comes first, then the relays of other zones; on other routers, the zone's relay comes first, then the
/// relays of other zones, then the store. The feed itself tries upstreams that failed recently last. All
/// arguments must outlive the returned function.
replica::source_order make_feed_order(imembership& members, store::itable_store& store,
                                      wire::ipeer_rpc& peers);

} // namespace briarfold::membership
