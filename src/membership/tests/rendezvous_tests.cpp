#include "membership/rendezvous.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace briarfold::membership;

namespace {

std::vector<router_info> make_routers(int count)
{
    std::vector<router_info> routers(count);
    for (int i = 0; i < count; ++i)
    {
        routers[i].instance_id = "router-" + std::to_string(i);
        routers[i].zone = i % 2 == 0 ? "a" : "b";
    }
    return routers;
}

} // namespace

// Guards against roles that move between the surviving routers when one router is lost.
BOOST_AUTO_TEST_CASE(loss_of_a_router_moves_only_its_roles)
{
    const auto all = make_routers(12);
    auto fewer = all;
    fewer.erase(fewer.begin() + 3);
    for (int role = 0; role < 200; ++role)
    {
        const auto name = "front/" + std::to_string(role);
        const auto before = rendezvous_order(all, name).front();
        if (before.instance_id != "router-3")
        {
            BOOST_TEST(rendezvous_order(fewer, name).front().instance_id == before.instance_id);
        }
    }
}

BOOST_AUTO_TEST_CASE(preferred_routers_come_first)
{
    const auto order = rendezvous_order(make_routers(6), "front/x",
                                        [](const router_info& router) { return router.zone == "b"; });
    BOOST_TEST(std::ranges::all_of(order.begin(), order.begin() + 3,
                                   [](const router_info& router) { return router.zone == "b"; }));
}
