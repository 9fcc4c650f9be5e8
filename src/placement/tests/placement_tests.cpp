#include "placement/heavy_hitters.hpp"
#include "placement/policy.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::placement;

namespace {

/// Returns a state in which `loads[i]` are the loads of the slices of target i.
load_state make_state(const std::vector<std::vector<double>>& loads)
{
    load_state state;
    std::uint64_t position = 0;
    for (std::size_t target = 0; target < loads.size(); ++target)
    {
        state.targets.push_back({"target-" + std::to_string(target), 1, 1});
        for (const double load : loads[target])
        {
            state.slices.push_back({{position, position + 9}, target, load});
            position += 10;
        }
    }
    return state;
}

} // namespace

// Guards against unnecessary churn: no slice of a balanced service moves.
BOOST_AUTO_TEST_CASE(balanced_load_causes_no_moves)
{
    BOOST_TEST(plan(make_state({{1, 1}, {1, 1.1}, {1, 1}}), {}).empty());
}

BOOST_AUTO_TEST_CASE(load_moves_to_the_least_loaded_target)
{
    const auto moves = plan(make_state({{3, 2, 1}, {2}, {1}}), {});
    BOOST_REQUIRE(!moves.empty());
    BOOST_TEST(moves.front().target == 2);
    BOOST_TEST(moves.front().load == 2.0);
}

// Guards against moving a key that alone exceeds the mean from server to server.
BOOST_AUTO_TEST_CASE(key_above_the_mean_load_does_not_move)
{
    auto state = make_state({{10}, {1}, {1}});
    state.slices[0].range = {5, 5};
    BOOST_TEST(plan(state, {}).empty());
}

BOOST_AUTO_TEST_CASE(hot_key_is_split_from_its_slice)
{
    auto state = make_state({{6, 0.1}, {2}, {2}});
    state.hot_keys = {{3, 0, 1.2}};
    const auto moves = plan(state, {});
    BOOST_REQUIRE(!moves.empty());
    BOOST_TEST((moves.front().part == briarfold::ownership::slice{3, 3}));
}

// Guards against slices that move to a leaving server.
BOOST_AUTO_TEST_CASE(leaving_target_is_emptied_and_receives_nothing)
{
    auto state = make_state({{1, 1}, {1, 1}, {1, 1}});
    state.targets[1].capacity_factor = 0;
    const auto moves = plan(state, {}, {.goal_ratio = 2});
    BOOST_TEST(moves.size() == 2u);
    for (const auto& move : moves)
    {
        BOOST_TEST(state.slices[move.slice].owner == 1u);
        BOOST_TEST(move.target != 1u);
    }
}

// Guards against slices that stay on a leaving server because every receiver is near its fair load.
BOOST_AUTO_TEST_CASE(leaving_target_is_emptied_above_the_goal)
{
    auto state = make_state({{1, 1}, {1, 1}, {1, 1}, {1, 1}});
    state.targets[3].capacity_factor = 0;
    BOOST_TEST(plan(state, {.churn = 1000}).size() == 2u);
}

// Guards against keys without service after the loss of a server because the limit of voluntary moves is
// reached.
BOOST_AUTO_TEST_CASE(emptying_is_not_limited_by_max_moves)
{
    auto state = make_state({{1, 1, 1}, {1, 1, 1}, {1, 1, 1}});
    state.targets[0].capacity_factor = 0;
    BOOST_TEST(plan(state, {}, {.max_moves = 1}).size() >= 3u);
    BOOST_TEST(plan(make_state({{1, 1, 1, 1}, {1}, {1}}), {}, {.max_moves = 1}).size() == 1u);
}

// Guards against a slice that stays because its hot key was moved out of it.
BOOST_AUTO_TEST_CASE(leaving_target_gives_away_whole_slices)
{
    auto state = make_state({{1, 1}, {1, 1}, {1, 1}});
    state.targets[2].capacity_factor = 0;
    state.hot_keys = {{state.slices[4].range.first, 4, 2}};
    const auto moves = plan(state, {});
    BOOST_REQUIRE(moves.size() == 2u);
    BOOST_TEST((moves[0].part == state.slices[moves[0].slice].range));
    BOOST_TEST((moves[1].part == state.slices[moves[1].slice].range));
}

// Guards against a move that costs more than it gains within the horizon.
BOOST_AUTO_TEST_CASE(expensive_churn_prevents_moves)
{
    BOOST_TEST(plan(make_state({{3, 2, 1}, {2}, {1}}), {.churn = 1000}).empty());
}

// Guards against losing a heavy key in a long tail of light ones.
BOOST_AUTO_TEST_CASE(sketch_keeps_heavy_keys)
{
    heavy_hitters sketch(64);
    for (std::uint64_t round = 0; round < 20000; ++round)
    {
        sketch.add(1000000 + round);
        if (round % 10 == 0)
        {
            sketch.add(round % 3);
        }
    }
    const auto top = sketch.top(3);
    BOOST_REQUIRE(top.size() == 3u);
    for (const auto& item : top)
    {
        BOOST_TEST(item.hash < 3u);
    }
}
