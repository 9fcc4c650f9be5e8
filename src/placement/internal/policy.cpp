#include "placement/policy.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <set>

namespace briarfold::placement {

namespace {

/// Load of each target relative to its fair share, updated while moves are planned.
class relative_loads
{
public:
    explicit relative_loads(const load_state& state) : state_(state), loads_(state.targets.size(), 0.0)
    {
        for (const auto& item : state.slices)
        {
            loads_[item.owner] += item.load;
        }
        const double slots = std::accumulate(state.targets.begin(), state.targets.end(), 0.0,
                                             [](double sum, const target_load& target) {
                                                 return sum + target.slots * target.capacity_factor;
                                             });
        mean_ = slots > 0 ? std::accumulate(loads_.begin(), loads_.end(), 0.0) / slots : 0;
        for (std::size_t target = 0; target < loads_.size(); ++target)
        {
            // A target without load that may receive nothing is neither a source nor a receiver.
            if (fair_load(target) > 0 || loads_[target] > 0)
            {
                by_relative_load_.emplace(relative_load(target), target);
            }
        }
    }

    double fair_load(std::size_t target) const
    {
        return mean_ * state_.targets[target].slots * state_.targets[target].capacity_factor;
    }
    double load(std::size_t target) const { return loads_[target]; }
    std::size_t most_loaded() const { return by_relative_load_.rbegin()->second; }
    std::size_t least_loaded() const { return by_relative_load_.begin()->second; }
    double relative_load(std::size_t target) const
    {
        if (fair_load(target) > 0)
        {
            return loads_[target] / fair_load(target);
        }
        return loads_[target] > 0 ? std::numeric_limits<double>::max() : 1;
    }

    void move(std::size_t from, std::size_t to, double amount)
    {
        change(from, -amount);
        change(to, amount);
    }
    /// Excludes a target from `most_loaded` and `least_loaded`.
    void exclude(std::size_t target) { by_relative_load_.erase({relative_load(target), target}); }
    bool is_exhausted() const { return by_relative_load_.size() < 2; }

private:
    void change(std::size_t target, double amount)
    {
        const auto removed = by_relative_load_.erase({relative_load(target), target});
        loads_[target] += amount;
        if (removed > 0)
        {
            by_relative_load_.emplace(relative_load(target), target);
        }
    }

    const load_state& state_;
    std::vector<double> loads_;
    std::set<std::pair<double, std::size_t>> by_relative_load_;
    double mean_ = 0;
};

struct candidate
{
    std::size_t slice = 0;
    ownership::slice part;
    double load = 0;
};

/// Returns the parts that can move, by target, in descending order of load: whole slices, and hot keys split
/// from their slices.
std::vector<std::vector<candidate>> candidates_by_target(const load_state& state)
{
    std::vector<std::vector<candidate>> result(state.targets.size());
    for (std::size_t index = 0; index < state.slices.size(); ++index)
    {
        const auto& item = state.slices[index];
        result[item.owner].push_back({index, item.range, item.load});
    }
    for (const auto& key : state.hot_keys)
    {
        const auto& source_slice = state.slices[key.slice];
        // A target that must be emptied gives away whole slices; splitting off a key would leave the rest
        // behind.
        if (source_slice.range.first != source_slice.range.last &&
            state.targets[source_slice.owner].capacity_factor > 0)
        {
            result[source_slice.owner].push_back({key.slice, {key.hash, key.hash}, key.load});
        }
    }
    for (auto& list : result)
    {
        std::ranges::sort(list, std::ranges::greater{}, &candidate::load);
    }
    return result;
}

bool is_worthwhile(const candidate& part, const policy_weights& weights, const policy_settings& settings)
{
    const double gain = part.load * settings.horizon_s;
    const double cost =
        part.load * (weights.unavailable * settings.pause_s + weights.churn * settings.churn_cost_s);
    return part.load > 0 && gain > cost;
}

/// Returns the index of the largest part that fits both the excess of the source and the spare load of the
/// receiver, so that few moves suffice; nothing when no part fits.
std::optional<std::size_t> choose_candidate(const std::vector<candidate>& list, double excess,
                                            double spare_load)
{
    const double max_load = std::min(excess, spare_load);
    const auto found =
        std::ranges::find_if(list, [&](const candidate& part) { return part.load <= max_load; });
    if (found == list.end() || found->load <= 0)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - list.begin());
}

} // namespace

std::vector<planned_move> plan(const load_state& state, const policy_weights& weights,
                               const policy_settings& settings)
{
    std::vector<planned_move> moves;
    relative_loads loads(state);
    auto candidates = candidates_by_target(state);
    std::size_t moves_left = settings.max_moves;
    while (!loads.is_exhausted())
    {
        const auto source = loads.most_loaded();
        const auto target = loads.least_loaded();
        if (loads.relative_load(source) <= settings.trigger_ratio || loads.fair_load(target) <= 0)
        {
            break;
        }
        // A target that must be emptied gives away all its slices, regardless of cost, of the moves left and
        // of the load of the receivers.
        const bool is_draining = loads.fair_load(source) <= 0;
        if (!is_draining && moves_left == 0)
        {
            break;
        }
        // No limit on the load: rounding errors in the sums would leave the last slice behind.
        constexpr double no_limit = std::numeric_limits<double>::infinity();
        const double excess = is_draining ? no_limit : loads.load(source) - loads.fair_load(source);
        const double spare_load =
            is_draining ? no_limit : loads.fair_load(target) * settings.goal_ratio - loads.load(target);
        auto& list = candidates[source];
        const auto chosen = choose_candidate(list, excess, spare_load);
        if (!chosen || (!is_draining && !is_worthwhile(list[*chosen], weights, settings)))
        {
            // The remaining parts of the source are too large for every receiver, such as one very hot key,
            // or too expensive to move.
            loads.exclude(source);
            continue;
        }
        const auto part = list[*chosen];
        // A slice and a key inside it must not move in the same round.
        std::erase_if(list, [&](const candidate& other) { return other.slice == part.slice; });
        loads.move(source, target, part.load);
        moves_left -= is_draining ? 0 : 1;
        moves.push_back({part.slice, part.part, target, part.load});
    }
    return moves;
}

double imbalance(const load_state& state)
{
    const relative_loads loads(state);
    double max_relative_load = 0;
    for (std::size_t target = 0; target < state.targets.size(); ++target)
    {
        max_relative_load = std::max(max_relative_load, loads.relative_load(target));
    }
    return max_relative_load;
}

} // namespace briarfold::placement
