#include "keyspace/move_planner.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>

using namespace briarfold::keyspace;

namespace {

std::vector<holder> even_holders(std::size_t count, double capacity)
{
    std::vector<holder> holders;
    for (std::size_t i = 0; i < count; ++i)
    {
        holder item;
        item.id = "s" + std::to_string(i);
        item.capacity = capacity;
        holders.push_back(item);
    }
    for (const auto& part : place_evenly(holders))
    {
        const auto position = std::ranges::find(holders, part.to, &holder::id);
        position->keys.push_back(part.range);
    }
    return holders;
}

/// Returns loads that decay exponentially on both sides of a peak, within a few thousand neighbouring keys.
key_loads peaked_loads(double total)
{
    constexpr double peak = 20000;
    constexpr double width = 3000;
    key_loads loads(key_count);
    double sum = 0;
    for (std::uint32_t key = 0; key < key_count; ++key)
    {
        loads[key] = static_cast<float>(std::exp(-std::abs(key - peak) / width) + 0.01);
        sum += loads[key];
    }
    std::ranges::for_each(loads, [&](float& load) { load = static_cast<float>(load * total / sum); });
    return loads;
}

void apply_moves(std::vector<holder>& holders, const std::vector<key_move>& moves)
{
    for (const auto& move : moves)
    {
        auto& from = *std::ranges::find(holders, move.from, &holder::id);
        auto& to = *std::ranges::find(holders, move.to, &holder::id);
        BOOST_CHECK(covers(from.keys, {move.range}));
        from.keys = set_difference(from.keys, {move.range});
        to.keys = set_union(to.keys, {move.range});
    }
}

double max_to_mean_load(const std::vector<holder>& holders, const key_loads& loads)
{
    double max_load = 0;
    double sum = 0;
    for (const auto& item : holders)
    {
        const double load = load_of(item.keys, loads) / item.capacity;
        max_load = std::max(max_load, load);
        sum += load;
    }
    return max_load * static_cast<double>(holders.size()) / sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(move_planner)

// Guards against an overloaded holder when traffic is concentrated on neighbouring keys: with even ranges one
// holder has 5 times the mean load. A few rounds of moves must bring it below twice the mean.
BOOST_AUTO_TEST_CASE(concentrated_traffic_is_spread)
{
    auto holders = even_holders(30, 6);
    const auto loads = peaked_loads(90);
    BOOST_CHECK_GT(max_to_mean_load(holders, loads), 4);
    for (int round = 0; round < 12; ++round)
    {
        apply_moves(holders, plan_moves(holders, loads));
    }
    BOOST_CHECK_LT(max_to_mean_load(holders, loads), 1.6);
}

// Guards against other keys that stay at the holder of a hot key, which draws more load than one holder can
// serve. They must move away; the hot key itself stays.
BOOST_AUTO_TEST_CASE(other_keys_move_away_from_a_hot_key)
{
    auto holders = even_holders(10, 6);
    key_loads loads(key_count, 20.0F / key_count);
    constexpr std::uint32_t hot = 33000;
    loads[hot] = 25;
    for (int round = 0; round < 8; ++round)
    {
        apply_moves(holders, plan_moves(holders, loads));
    }
    const auto owner =
        std::ranges::find_if(holders, [](const holder& item) { return contains(item.keys, hot); });
    BOOST_REQUIRE(owner != holders.end());
    BOOST_CHECK_LT(load_of(owner->keys, loads) - loads[hot], 0.5);
}

// Guards against moves back and forth under even load.
BOOST_AUTO_TEST_CASE(even_load_causes_no_moves)
{
    const auto holders = even_holders(12, 6);
    BOOST_CHECK(plan_moves(holders, key_loads(key_count, 36.0F / key_count)).empty());
}

// Guards against a new holder without keys that gets none of the traffic.
BOOST_AUTO_TEST_CASE(a_new_holder_receives_keys)
{
    auto holders = even_holders(5, 6);
    holder added;
    added.id = "new";
    added.capacity = 6;
    holders.push_back(added);
    const key_loads loads(key_count, 20.0F / key_count);
    planner_settings settings;
    settings.imbalance_threshold = 1.1;
    for (int round = 0; round < 3; ++round)
    {
        apply_moves(holders, plan_moves(holders, loads, settings));
    }
    BOOST_CHECK_GT(load_of(holders.back().keys, loads), 1);
}

// Guards against free keys that no holder receives and against a single holder that receives all of them.
BOOST_AUTO_TEST_CASE(free_keys_are_all_placed_on_several_holders)
{
    auto holders = even_holders(6, 6);
    const auto free = holders.front().keys;
    holders.erase(holders.begin());
    const auto loads = peaked_loads(18);
    key_set placed;
    std::map<std::string, int> receivers;
    for (const auto& part : place(free, holders, loads))
    {
        placed.push_back(part.range);
        ++receivers[part.to];
    }
    BOOST_CHECK(normalized(placed) == normalized(free));
    BOOST_CHECK(place(free, {}, loads).empty());
    BOOST_CHECK_GT(receivers.size(), 0U);
}

// Guards against keys of a lost holder of a large service that are divided into hundreds of ranges, each of
// which has to be renewed separately.
BOOST_AUTO_TEST_CASE(keys_of_a_lost_holder_are_divided_into_few_ranges)
{
    constexpr std::uint32_t servers = 512;
    constexpr std::uint32_t width = key_count / servers;
    std::vector<holder> holders;
    for (std::uint32_t i = 1; i < servers; ++i)
    {
        holder item;
        item.id = "s" + std::to_string(i);
        item.capacity = 6;
        item.can_receive = true;
        item.can_give = true;
        item.keys = {{i * width, (i + 1) * width - 1}};
        holders.push_back(item);
    }
    const key_loads loads(key_count, 0.02F);
    const auto placed = place({{0, width - 1}}, holders, loads);
    std::uint32_t sum = 0;
    for (const auto& part : placed)
    {
        sum += part.range.size();
    }
    BOOST_CHECK_EQUAL(sum, width);
    BOOST_CHECK_LE(placed.size(), 10U);
    BOOST_CHECK_GE(placed.size(), 2U);
}

// Guards against a leaving holder that still receives keys.
BOOST_AUTO_TEST_CASE(a_leaving_holder_receives_nothing)
{
    auto holders = even_holders(3, 6);
    holders[1].can_receive = false;
    holders[1].keys.clear();
    const auto loads = peaked_loads(18);
    for (const auto& move : plan_moves(holders, loads))
    {
        BOOST_CHECK(move.to != holders[1].id);
    }
    for (const auto& part : place({{0, 1000}}, holders, loads))
    {
        BOOST_CHECK(part.to != holders[1].id);
    }
}

BOOST_AUTO_TEST_SUITE_END()
