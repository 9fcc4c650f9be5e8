/// Decides which slices move. Pure: the same state gives the same moves.
#pragma once

#include "placement/placement_types.hpp"

namespace briarfold::placement {

struct policy_settings
{
    /// Load over the mean at which a target starts to give away slices. Below the stated imbalance of 1.15,
    /// so that a move starts before the target is missed.
    double trigger = 1.12;
    /// Load over the mean down to which it gives away and up to which others receive. The gap to `trigger`
    /// keeps slices from moving back and forth.
    double goal = 1.04;
    /// Time over which a move has to pay for itself, in seconds.
    double horizon_s = 60;
    /// Time for which the keys of a move have no owner, in seconds.
    double pause_s = 0.05;
    /// Cost of moving one unit of load, in seconds of that load; covers lost caches of the new owner.
    double churn_cost_s = 1;
    /// Moves off targets that must be emptied are not counted.
    std::size_t most_moves = 32;
};

/// Moves in the order in which to make them. A move is planned only when the load it takes off the excess,
/// times the horizon, exceeds the weighted cost of the pause and of the churn.
std::vector<planned_move> plan(const load_state& state, const policy_weights& weights,
                               const policy_settings& settings = {});

/// Maximum over mean of load per slot.
double imbalance(const load_state& state);

} // namespace briarfold::placement
