/// Input of the placement policy: loads of backend servers and slices.
#pragma once

#include "ownership/ownership_types.hpp"

#include <cstdint>
#include <vector>

namespace briarfold::placement {

/// Backend server that can own slices. All loads are in slot-seconds per second.
struct target_load
{
    std::string id;
    /// Part of its full capacity that it may receive now, from 0 (leaving or lost) to 1 (warmed up).
    double capacity_factor = 1;
    int slots = 1;
};

struct slice_load
{
    ownership::slice range;
    /// Index of the owner in `load_state::targets`.
    std::size_t owner = 0;
    double load = 0;
};

/// Key with significant load, inside the slice with the index `slice`.
struct hot_key
{
    std::uint64_t hash = 0;
    std::size_t slice = 0;
    double load = 0;
};

struct load_state
{
    std::vector<target_load> targets;
    std::vector<slice_load> slices;
    std::vector<hot_key> hot_keys;
};

/// Cost weights from the contracts of the service's customers, weighted by their load.
struct policy_weights
{
    double unavailable = 1;
    double churn = 1;
};

/// Move of `part` of a slice to a target; `slice` and `target` are indexes.
struct planned_move
{
    std::size_t slice = 0;
    ownership::slice part;
    std::size_t target = 0;
    double load = 0;

    bool operator==(const planned_move&) const = default;
};

} // namespace briarfold::placement
