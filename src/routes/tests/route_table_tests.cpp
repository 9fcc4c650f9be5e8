#include "routes/route_table.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>

using namespace briarfold::routes;

namespace {

route make_route(const std::string& name, const std::string& prefix, std::vector<weighted_service> services)
{
    route result;
    result.name = name;
    result.host = "Shop.Example";
    result.prefix = prefix;
    result.services = std::move(services);
    return result;
}

routing_config make_config(std::int64_t version)
{
    routing_config config;
    config.version = version;
    config.routes = {make_route("all", "/", {{"a", 1}}), make_route("deep", "/x/y/", {{"b", 1}}),
                     make_route("split", "/x/", {{"a", 90}, {"b", 10}})};
    return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_tables)

// Guards against a shorter prefix that wins, a host that is compared with its case or port, and queries that
// count.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins)
{
    route_table table;
    BOOST_CHECK(!table.is_known());
    BOOST_REQUIRE(table.apply(make_config(3)));
    BOOST_CHECK_EQUAL(table.match("shop.example:80", "/x/y/z?q=/a/")->name, "deep");
    BOOST_CHECK_EQUAL(table.match("SHOP.example", "/x/z")->name, "split");
    BOOST_CHECK_EQUAL(table.match("shop.example", "/other")->name, "all");
    BOOST_CHECK(table.match("else.example", "/x/") == nullptr);
    BOOST_CHECK_EQUAL(table.match("shop.example", "/x/y/")->name, "deep");
    BOOST_CHECK_EQUAL(table.match("shop.example", "/x/y")->name, "split");
    BOOST_CHECK(table.match("shop.example", "x/y/") == nullptr);
}

// Guards against a cost of each request that rises with the number of routes of its host. Compares the time
// of lookups among 20,000 routes with that among 20.
BOOST_AUTO_TEST_CASE(many_routes_cost_a_request_little)
{
    const auto time_of_lookups = [](int routes) {
        routing_config config;
        config.version = 1;
        for (int i = 0; i < routes; ++i)
        {
            config.routes.push_back(
                make_route("r" + std::to_string(i), "/p" + std::to_string(i) + "/", {{"a", 1}}));
        }
        route_table table;
        const bool is_applied = table.apply(std::move(config));
        BOOST_REQUIRE(is_applied);
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 20000; ++i)
        {
            const auto name = std::to_string(i % routes);
            BOOST_REQUIRE_EQUAL(table.match("shop.example", "/p" + name + "/x/y")->name, "r" + name);
        }
        return std::chrono::steady_clock::now() - start;
    };
    const auto few = time_of_lookups(20);
    // A linear search would take about 1,000 times as long; caches account for a small factor.
    BOOST_CHECK_LT(time_of_lookups(20000).count(), 30 * few.count());
}

// Guards against an older configuration that comes late.
BOOST_AUTO_TEST_CASE(versions_never_go_back)
{
    route_table table;
    BOOST_REQUIRE(table.apply(make_config(7)));
    BOOST_CHECK(!table.apply(make_config(7)));
    BOOST_CHECK(!table.apply(make_config(5)));
    BOOST_CHECK_EQUAL(table.config().version, 7);
}

// Guards against a split whose short stretches miss their shares.
BOOST_AUTO_TEST_CASE(every_stretch_has_the_shares_of_the_split)
{
    route_table table;
    BOOST_REQUIRE(table.apply(make_config(1)));
    const auto& split = *table.match("shop.example", "/x/1");
    for (int stretch = 0; stretch < 5; ++stretch)
    {
        std::map<std::string, int> count;
        for (int i = 0; i < 20; ++i)
        {
            ++count[table.choose_service(split)];
        }
        BOOST_CHECK_EQUAL(count["a"], 18);
        BOOST_CHECK_EQUAL(count["b"], 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
