#include "membership/feed_order.hpp"

#include "membership/relay.hpp"
#include "replica/peer_source.hpp"

#include <algorithm>

namespace briarfold::membership {

replica::source_order make_feed_order(imembership& members, store::itable_store& store,
                                      wire::ipeer_rpc& peers)
{
    return [&members, &store, &peers] {
        const auto live = members.live();
        const auto order = upstreams_of(members.self(), *live);
        replica::feed_sources sources;
        std::ranges::transform(order.peers, std::back_inserter(sources), [&](const router_info& router) {
            const http::endpoint peer(router.ip, router.peer_port);
            return std::make_shared<replica::peer_source>(peers, router.instance_id, peer);
        });
        const auto position = order.is_store_first ? sources.begin() : sources.end();
        sources.insert(position, std::make_shared<replica::store_source>(store));
        return sources;
    };
}

} // namespace briarfold::membership
