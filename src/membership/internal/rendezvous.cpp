#include "membership/rendezvous.hpp"

#include "core/key_hash.hpp"

#include <algorithm>

namespace briarfold::membership {

std::vector<router_info> rendezvous_order(std::vector<router_info> routers, std::string_view role,
                                          const std::function<bool(const router_info&)>& prefers)
{
    const auto rank = [&](const router_info& router) {
        const bool is_preferred = prefers && prefers(router);
        const auto weight = core::text_hash(router.instance_id + "|" + std::string(role));
        return std::tuple(is_preferred, weight, router.instance_id);
    };
    std::ranges::sort(routers, std::ranges::greater{}, rank);
    return routers;
}

} // namespace briarfold::membership
