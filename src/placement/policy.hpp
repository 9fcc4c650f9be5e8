/// Decides which slices move. Deterministic: the same state gives the same moves.
#pragma once

#include "placement/placement_types.hpp"

namespace briarfold::placement {

struct policy_settings
{
    /// Ratio of load to mean load above which a target gives away slices. Below the stated imbalance of 1.15,
    /// so that moves start before it is reached.
    double trigger_ratio = 1.12;
    /// Ratio of load to mean load up to which a target receives slices. The gap to `trigger_ratio` keeps
    /// slices from moving back and forth.
    double goal_ratio = 1.04;
    /// Time within which the gain of a move must exceed its cost, in seconds.
    double horizon_s = 60;
    /// Time for which the keys of a move have no owner, in seconds.
    double pause_s = 0.05;
    /// Cost of moving one unit of load, in seconds of that load; covers the cold caches of the new owner.
    double churn_cost_s = 1;
    /// Maximum number of moves in a plan. Moves off targets that must be emptied are not counted.
    std::size_t max_moves = 32;
};

/// Returns the moves in the order in which to make them. A move is planned only when the load that it takes
/// off the excess, times the horizon, exceeds the weighted cost of the pause and of the churn; moves off
/// targets that must be emptied are planned in any case.
std::vector<planned_move> plan(const load_state& state, const policy_weights& weights,
                               const policy_settings& settings = {});

/// Returns the maximum load per slot divided by the mean.
double imbalance(const load_state& state);

} // namespace briarfold::placement
