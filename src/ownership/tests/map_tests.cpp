#include "ownership/internal/map_builder.hpp"
#include "ownership/internal/slice_sets.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace briarfold;
using namespace briarfold::ownership;
using namespace briarfold::ownership::internal;

namespace {

store::row make_row(const std::string& id, std::vector<slice> slices, std::int64_t revision,
                    const std::string& service = "fleetdesk")
{
    backend_server server;
    server.id = id;
    server.service = service;
    server.address = {"127.0.0.1", 9000};
    server.slices = std::move(slices);
    return {"backend-server/" + id, revision, revision, "", to_json(server)};
}

std::string owner_of(const map_builder& maps, std::uint64_t hash, const std::string& service = "fleetdesk")
{
    const auto found = maps.current()->owner(service, hash);
    return found ? found->id : "";
}

constexpr auto last_hash = std::numeric_limits<std::uint64_t>::max();

} // namespace

// Guards against a map that names an owner from an older row, or none at the edges of the hash space.
BOOST_AUTO_TEST_CASE(lookup_uses_the_newest_rows)
{
    map_builder maps;
    maps.apply({make_row("a", {{0, 99}}, 1), make_row("b", {{100, last_hash}}, 2)}, 2);
    BOOST_TEST(owner_of(maps, 0) == "a");
    BOOST_TEST(owner_of(maps, 100) == "b");
    BOOST_TEST(owner_of(maps, last_hash) == "b");
    maps.apply({make_row("a", {{0, 49}, {100, 149}}, 4), make_row("b", {{50, 99}, {150, last_hash}}, 4)}, 4);
    maps.apply({make_row("a", {{0, last_hash}}, 3)}, 4);
    BOOST_TEST(owner_of(maps, 120) == "a");
    BOOST_TEST(owner_of(maps, 70) == "b");
    maps.apply({store::row("backend-server/a", 5, 5, "", nullptr)}, 5);
    BOOST_TEST(owner_of(maps, 120).empty());
    BOOST_TEST(owner_of(maps, 150) == "b");
}

// Guards against a server that keeps its slices in a former service.
BOOST_AUTO_TEST_CASE(server_that_changes_service_leaves_the_former_one)
{
    map_builder maps;
    maps.apply({make_row("a", {{0, last_hash}}, 1)}, 1);
    maps.apply({make_row("a", {{0, last_hash}}, 2, "courseline")}, 2);
    BOOST_TEST(owner_of(maps, 5).empty());
    BOOST_TEST(owner_of(maps, 5, "courseline") == "a");
}

// Guards against set operations on slices that lose or duplicate a hash value.
BOOST_AUTO_TEST_CASE(slices_partition_the_space)
{
    BOOST_TEST(rc::check("splitting and removing keep each value once", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 200);
        const auto parts = split_space(count);
        RC_ASSERT(parts.size() == count);
        RC_ASSERT(parts.front().first == 0u);
        RC_ASSERT(parts.back().last == last_hash);
        for (std::size_t i = 1; i < parts.size(); ++i)
        {
            RC_ASSERT(parts[i - 1].last + 1 == parts[i].first);
        }
        const auto a = *rc::gen::arbitrary<std::uint64_t>();
        const auto b = *rc::gen::arbitrary<std::uint64_t>();
        const slice removed{std::min(a, b), std::max(a, b)};
        const auto rest = set_difference(parts, removed);
        const auto probe = *rc::gen::arbitrary<std::uint64_t>();
        const auto holds = [&](const slice& item) { return item.contains(probe); };
        RC_ASSERT(std::ranges::count_if(rest, holds) == (removed.contains(probe) ? 0 : 1));
    }));
}
