/// Plans which keys move between backend servers. Deterministic: the same state gives the same moves.
#pragma once

#include "keyspace/key_range.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briarfold::keyspace {

/// Load of each key, in slots: seconds of work offered per second. 0 for keys without traffic.
using key_loads = std::vector<float>;

/// Backend server as the planner sees it.
struct holder
{
    std::string id;
    /// Number of slots, scaled to the average speed.
    double capacity = 1;
    key_set keys;
    /// Whether it may receive keys.
    bool can_receive = true;
    /// Whether its keys may be moved away now.
    bool can_give = true;

    bool operator==(const holder&) const = default;
};

struct key_move
{
    std::string from;
    key_range range;
    std::string to;

    bool operator==(const key_move&) const = default;
};

struct planner_settings
{
    /// Ratio of a holder's utilization to the mean above which its keys are moved away. Moves are cheap
    /// compared with rejected requests, but a smaller difference is within the spread of the measured load.
    double imbalance_threshold = 1.3;
    /// Utilization up to which a holder keeps its keys, since its queue is short anyway.
    double min_utilization = 0.3;
    /// Fraction of the receiver's capacity below which a move is not worth the pause it causes.
    double min_move_fraction = 0.03;
    std::size_t max_moves = 8;
};

/// Returns the total load of the keys.
double load_of(const key_set& keys, const key_loads& loads);

/// Returns moves from busy to idle holders, the busiest first. Balances traffic that is concentrated on
/// neighbouring keys, moves other keys away from a holder with a hot key that exceeds its slots, and moves
/// keys to a new holder without any.
std::vector<key_move> plan_moves(std::vector<holder> holders, const key_loads& loads,
                                 const planner_settings& settings = {});

struct range_placement
{
    key_range range;
    std::string to;

    bool operator==(const range_placement&) const = default;
};

/// Assigns free keys to holders and splits a range whose load exceeds the headroom of one holder. Returns an
/// empty list if no holder can receive keys.
std::vector<range_placement> place(const key_set& free, std::vector<holder> holders, const key_loads& loads);

/// Divides all keys among the holders that can receive keys, in their order and in proportion to capacity.
std::vector<range_placement> place_evenly(const std::vector<holder>& holders);

} // namespace briarfold::keyspace
