#include "core/key_hash.hpp"
#include "routes/route_table.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>

using namespace briarfold;
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

// Guards against a match of a shorter prefix and against host comparisons that depend on case or port, or
// path comparisons that include the query.
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

// Guards against a lookup whose cost grows with the number of routes of its host. Compares the time of
// lookups among 20,000 routes with that among 20.
BOOST_AUTO_TEST_CASE(lookup_time_does_not_grow_with_the_number_of_routes)
{
    const auto measure_lookups = [](int routes) {
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
    const auto few = measure_lookups(20);
    // A linear search would take about 1,000 times as long; caches account for a small factor.
    BOOST_CHECK_LT(measure_lookups(20000).count(), 30 * few.count());
}

// Guards against an older configuration that arrives late and replaces a newer one.
BOOST_AUTO_TEST_CASE(older_configurations_are_ignored)
{
    route_table table;
    BOOST_REQUIRE(table.apply(make_config(7)));
    BOOST_CHECK(!table.apply(make_config(7)));
    BOOST_CHECK(!table.apply(make_config(5)));
    BOOST_CHECK_EQUAL(table.config().version, 7);
}

// Guards against a split that misses its shares over a short run of requests.
BOOST_AUTO_TEST_CASE(every_run_of_requests_has_the_shares_of_the_split)
{
    route_table table;
    BOOST_REQUIRE(table.apply(make_config(1)));
    const auto& split = *table.match("shop.example", "/x/1");
    for (int run = 0; run < 5; ++run)
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

// Load pattern: many routers that each get few requests of a split route, right after a configuration. Guards
// against a small part that gets none, since all routers begin with the largest.
BOOST_AUTO_TEST_CASE(the_first_requests_of_many_routers_have_the_shares_of_the_split)
{
    constexpr std::uint32_t routers = 80;
    constexpr int requests_each = 4;
    auto config = make_config(1);
    config.routes.front().services = {{"large", 90}, {"small", 10}};
    int small = 0;
    for (std::uint32_t i = 0; i < routers; ++i)
    {
        route_table table(static_cast<std::uint32_t>(core::text_hash("router-" + std::to_string(i))));
        table.apply(config);
        for (int request = 0; request < requests_each; ++request)
        {
            small += table.choose_service(table.config().routes.front()) == "small" ? 1 : 0;
        }
    }
    constexpr double total = routers * requests_each;
    BOOST_CHECK_GT(small / total, 0.05);
    BOOST_CHECK_LT(small / total, 0.15);
}

BOOST_AUTO_TEST_SUITE_END()
