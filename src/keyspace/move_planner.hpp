/// Decides which keys move between backend servers. Pure: the same state gives the same moves.
#pragma once

#include "keyspace/key_range.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briarfold::keyspace {

/// Load of each key in slots: work offered in a second, in seconds. Keys without traffic have 0.
using key_loads = std::vector<float>;

struct holder
{
    std::string id;
    /// Slots of average speed.
    double capacity = 1;
    key_set keys;
    /// Whether it may receive keys.
    bool can_receive = true;
    /// Whether it may give keys away now.
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
    /// Load over the mean at which a holder gives keys away. Moves are cheap beside rejected requests, and
    /// below this the difference is within the spread of the measured load.
    double trigger = 1.3;
    /// Utilization below which a holder gives nothing away, since its queue is short anyway.
    double least_utilization = 0.3;
    /// Part of the capacity below which a move is not worth its pause.
    double least_amount = 0.03;
    std::size_t max_moves = 8;
};

/// Load of all keys of the set.
double load_of(const key_set& keys, const key_loads& loads);

/// Moves from loaded to idle holders, the most loaded first. Load patterns: traffic concentrated on
/// neighbouring keys, a hot key above one holder's slots (its neighbours leave it), a new holder without
/// keys.
std::vector<key_move> plan_moves(std::vector<holder> holders, const key_loads& loads,
                                 const planner_settings& settings = {});

struct placed_range
{
    key_range range;
    std::string to;

    bool operator==(const placed_range&) const = default;
};

/// Places keys that nobody holds; splits a range whose load is more than one holder has room for. Empty when
/// no holder accepts keys.
std::vector<placed_range> place(const key_set& free, std::vector<holder> holders, const key_loads& loads);

/// Even ranges in the order of the holders, by their capacity.
std::vector<placed_range> place_evenly(const std::vector<holder>& holders);

} // namespace briarfold::keyspace
