#include "core/error.hpp"
#include "directory/owner_index.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace briarfold;
using namespace briarfold::directory;

namespace {

entry make_entry(const std::string& id, const std::string& front, keyspace::key_set keys,
                 std::int64_t revision)
{
    entry item;
    item.server.id = id;
    item.server.service = "keyed";
    item.front = front;
    item.keys = std::move(keys);
    item.revision = revision;
    return item;
}

snapshot make_snapshot(std::vector<entry> entries, std::int64_t revision)
{
    snapshot result;
    result.term = {0, 1};
    result.revision = revision;
    for (auto& item : entries)
    {
        result.entries.emplace(item.server.id, std::move(item));
    }
    return result;
}

/// Returns the owner of the key by a search through all entries.
std::optional<owner> expected_owner(const snapshot& known, std::uint32_t key)
{
    for (const auto& [id, item] : known.entries)
    {
        const auto contains = [key](const keyspace::key_range& range) { return range.contains(key); };
        if (!item.front.empty() && std::ranges::any_of(item.keys, contains))
        {
            return owner{id, item.front, std::ranges::any_of(item.withdrawn, contains), item.is_unreachable};
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against a key that moves with a lower token after the store came back with an older counter, or
// after many changes of front.
BOOST_AUTO_TEST_CASE(tokens_follow_the_order_of_generations)
{
    constexpr std::int64_t number = 1000000;
    const auto token = first_token({1, number}, max_front_changes);
    constexpr std::int64_t call_tokens = std::int64_t{1} << call_token_bits;
    BOOST_CHECK_GE(first_token({1, number + 1}, 0), token + call_tokens);
    BOOST_CHECK_GT(first_token({2, 1}, 0), first_token({1, number + 1}, max_front_changes));
    BOOST_CHECK_GT(first_token({max_era, number}, max_front_changes), token);
    BOOST_CHECK_THROW(first_token({1, 1}, max_front_changes + 1), core::error);
}

// Guards against an update that contains the whole directory for one changed entry: with hundreds of backend
// servers, each change would then cost each router as much as its start.
BOOST_AUTO_TEST_CASE(update_contains_only_the_changes)
{
    auto current =
        make_snapshot({make_entry("s1", "r1", {{0, 9}}, 3), make_entry("s2", "r1", {{10, 19}}, 7)}, 7);
    current.routers_revision = 4;
    current.routers["r1"].name = "r1";
    change_log changes;
    changes.removed = {{"s0", 6}, {"s9", 2}};
    changes.routers = {{"r1", 4}};
    const auto change = make_update(current, changes, {0, 1}, 5);
    BOOST_TEST(!change.is_full_snapshot);
    BOOST_TEST(change.changed.entries.size() == 1U);
    BOOST_TEST(!change.has_routers());
    BOOST_TEST(change.removed == std::vector<std::string>{"s0"});
    BOOST_TEST(make_update(current, changes, {0, 1}, 3).has_routers());
}

// Guards against an update that lists all routers when one of them changed: while hundreds of routers start,
// each change would be sent to each router with the whole list.
BOOST_AUTO_TEST_CASE(update_contains_only_the_changed_routers)
{
    auto known = make_snapshot({}, 5);
    for (const auto* name : {"r1", "r2", "r3"})
    {
        known.routers[name].name = name;
    }
    known.routers_revision = 4;
    auto next = known;
    next.revision = 7;
    next.routers_revision = 7;
    next.routers["r2"].is_stopping = true;
    next.routers.erase("r3");
    change_log changes;
    changes.routers = {{"r1", 2}, {"r2", 6}, {"r3", 7}};
    const auto change = update_from_json(to_json(make_update(next, changes, {0, 1}, 5)));
    BOOST_TEST(change.changed.routers.size() == 1U);
    BOOST_TEST(change.removed_routers == std::vector<std::string>{"r3"});
    BOOST_TEST(apply(known, change));
    BOOST_CHECK(known == next);
}

// Guards against routers that are dropped from a directory by an update without routers.
BOOST_AUTO_TEST_CASE(update_without_routers_keeps_the_routers)
{
    auto known = make_snapshot({}, 5);
    known.routers["r1"].name = "r1";
    known.routers_revision = 4;
    auto next = known;
    next.revision = 6;
    const auto change = update_from_json(to_json(make_update(next, {}, {0, 1}, 5)));
    BOOST_TEST(apply(known, change));
    BOOST_TEST(known.revision == 6);
    BOOST_TEST(known.routers.contains("r1"));
}

// Guards against an index that differs from the directory after many changes, so that requests go to a former
// owner. Applies moves, withdrawals, removals and additions in random order.
BOOST_AUTO_TEST_CASE(index_matches_the_directory_after_every_change)
{
    std::mt19937 random(7);
    constexpr std::uint32_t part = 1024;
    constexpr int servers = 12;
    const auto number = [&random](std::uint32_t below) {
        return static_cast<std::uint32_t>(random() % below);
    };
    snapshot known = make_snapshot({}, 1);
    std::vector<int> holder(keyspace::key_count / part, -1);
    owner_index index;
    change_log changes;
    for (int round = 0; round < 400; ++round)
    {
        const auto former = known.revision;
        ++known.revision;
        for (int i = 0; i < 3; ++i)
        {
            holder[number(holder.size())] = static_cast<int>(number(servers + 2)) - 2;
        }
        for (int server = 0; server < servers; ++server)
        {
            const auto id = "s" + std::to_string(server);
            keyspace::key_set keys;
            for (std::uint32_t i = 0; i < holder.size(); ++i)
            {
                if (holder[i] == server)
                {
                    keys.push_back({i * part, (i + 1) * part - 1});
                }
            }
            if (keys.empty())
            {
                if (known.entries.erase(id) > 0)
                {
                    changes.removed[id] = known.revision;
                }
                continue;
            }
            auto item =
                make_entry(id, "r" + std::to_string(number(2)), keyspace::normalized(keys), known.revision);
            item.is_unreachable = number(8) == 0;
            if (number(3) == 0)
            {
                item.withdrawn = {item.keys.front()};
            }
            auto& present = known.entries[id];
            item.revision = present.revision;
            if (!(item == present))
            {
                present = item;
                present.revision = known.revision;
            }
            changes.removed.erase(id);
        }
        const bool is_first = round == 0;
        index.apply(known, make_update(known, changes, is_first ? generation() : known.term, former));
        for (int i = 0; i < 200; ++i)
        {
            const auto key = number(keyspace::key_count);
            BOOST_REQUIRE(index.find("keyed", key) == expected_owner(known, key));
        }
    }
}

// Guards against requests that are sent to a front all of whose backend servers are in an evacuated zone.
BOOST_AUTO_TEST_CASE(groups_leave_out_evacuated_zones)
{
    snapshot known;
    for (const auto* zone : {"a", "b"})
    {
        entry item;
        item.server.id = std::string("server ") + zone;
        item.server.service = "plain";
        item.server.zone = zone;
        item.front = std::string("front ") + zone;
        known.entries[item.server.id] = item;
    }
    owner_index index;
    index.apply(known, make_update(known, {}, {}, 0));
    index.set_evacuated_zones(known, {"a"});
    BOOST_REQUIRE(index.find_group("plain") != nullptr);
    BOOST_CHECK(*index.find_group("plain") == (std::map<std::string, int>{{"front b", 1}}));
    BOOST_CHECK(!index.is_evacuated("plain"));
    index.set_evacuated_zones(known, {"a", "b"});
    BOOST_CHECK(index.find_group("plain") == nullptr);
    BOOST_CHECK(index.is_evacuated("plain"));
    BOOST_CHECK(!index.is_evacuated("other"));
    index.set_evacuated_zones(known, {});
    BOOST_CHECK_EQUAL(index.find_group("plain")->size(), 2U);
}
