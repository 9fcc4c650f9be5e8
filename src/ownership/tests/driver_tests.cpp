#include "ownership/tests/cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

using namespace briarfold;
using namespace briarfold::ownership::tests;

namespace {

struct cluster
{
    cluster()
    {
        for (const auto* zone : {"a", "b", "c", "a"})
        {
            routers.push_back(std::make_unique<router_node>(zone, platform.address()));
        }
        for (int i = 0; i < 4; ++i)
        {
            const auto zone = std::string(1, static_cast<char>('a' + i % 3));
            backends.push_back(
                std::make_unique<backend_node>("fd-" + std::to_string(i), zone, platform.address()));
        }
    }

    /// Suspended coroutines refer to the parts of their node, so the parts must not be destroyed before the
    /// context, which owns the sockets of the parts. A router process ends without destroying either.
    ~cluster()
    {
        std::ranges::for_each(routers, [](auto& node) {
            node->threads.halt();
            static_cast<void>(node.release());
        });
        std::ranges::for_each(backends, [](auto& node) {
            node->threads.halt();
            static_cast<void>(node.release());
        });
    }

    router_node& any_router() { return *routers.back(); }
    std::shared_ptr<const ownership::backend_server> row(const std::string& id)
    {
        return any_router().protocol.map()->find(id);
    }
    router_node* controller_of(const std::string& id)
    {
        const auto server = row(id);
        const auto found = std::ranges::find_if(
            routers, [&](const auto& router) { return server && router->id == server->controller; });
        return found == routers.end() ? nullptr : found->get();
    }
    std::uint64_t accepted_grants()
    {
        std::uint64_t sum = 0;
        std::ranges::for_each(routers,
                              [&](const auto& item) { sum += item->protocol.counters().grants_accepted; });
        return sum;
    }
    bool is_settled()
    {
        const auto all = any_router().protocol.map()->all();
        return all.size() == backends.size() && std::ranges::all_of(all, [&](const auto& server) {
                   return !server->slices.empty() && server->intent == ownership::intent::active &&
                          server->witnesses.size() == 2 && controller_of(server->id);
               });
    }

    platform_node platform;
    std::vector<std::unique_ptr<router_node>> routers;
    std::vector<std::unique_ptr<backend_node>> backends;
};

} // namespace

// Guards against any break between the state machines and their I/O: first assignment, grants with vouchers,
// loss of a backend server, loss of a controller, a move and a graceful stop, over real sockets.
BOOST_AUTO_TEST_CASE(cluster_assigns_recovers_moves_and_hands_over)
{
    cluster c;
    BOOST_REQUIRE(wait_until([&] { return c.is_settled(); }));
    const auto before = c.accepted_grants();
    BOOST_REQUIRE(wait_until([&] { return c.accepted_grants() > before + 20; }));

    const auto source = c.row("fd-1");
    const ownership::slice_move request{source->slices.front(), "fd-1", "fd-2"};
    const bool is_moved = asio::co_spawn(c.any_router().threads.context,
                                         c.any_router().protocol.move(request), asio::use_future)
                              .get();
    BOOST_TEST(is_moved);
    BOOST_TEST(wait_until([&] {
        const auto owner = c.any_router().protocol.map()->owner("fleetdesk", request.part.first);
        return owner && owner->id == "fd-2";
    }));

    c.backends[0]->threads.halt();
    BOOST_TEST(wait_until([&] {
        const auto lost = c.row("fd-0");
        return lost->intent == ownership::intent::lost && lost->slices.empty();
    }));

    auto* const leaving = c.controller_of("fd-1");
    BOOST_REQUIRE(leaving != nullptr);
    asio::co_spawn(leaving->threads.context, leaving->protocol.hand_over_all(), asio::use_future).get();
    BOOST_TEST(leaving->protocol.counters().controlled_rows == 0u);

    auto* const killed = c.controller_of("fd-3");
    BOOST_REQUIRE(killed != nullptr);
    const auto epoch = c.row("fd-3")->epoch;
    killed->threads.halt();
    const auto survivor =
        std::ranges::find_if(c.routers, [&](const auto& item) { return item.get() != killed; });
    std::shared_ptr<const ownership::backend_server> taken;
    BOOST_TEST(wait_until([&] {
        taken = (*survivor)->protocol.map()->find("fd-3");
        return taken->epoch > epoch && taken->controller != killed->id;
    }));
}
