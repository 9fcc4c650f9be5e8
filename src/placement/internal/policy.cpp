#include "placement/policy.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <set>

namespace briarfold::placement {

namespace {

/// Load relative to the mean, by target, kept while moves are planned.
class balance
{
public:
    explicit balance(const load_state& state) : state_(state), loads_(state.targets.size(), 0.0)
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
            // An empty target that may receive nothing is neither a source nor a receiver.
            if (fair(target) > 0 || loads_[target] > 0)
            {
                order_.emplace(relative(target), target);
            }
        }
    }

    double fair(std::size_t target) const
    {
        return mean_ * state_.targets[target].slots * state_.targets[target].capacity_factor;
    }
    double load(std::size_t target) const { return loads_[target]; }
    std::size_t most_loaded() const { return order_.rbegin()->second; }
    std::size_t least_loaded() const { return order_.begin()->second; }
    double relative(std::size_t target) const
    {
        if (fair(target) > 0)
        {
            return loads_[target] / fair(target);
        }
        return loads_[target] > 0 ? std::numeric_limits<double>::max() : 1;
    }

    void move(std::size_t from, std::size_t to, double amount)
    {
        change(from, -amount);
        change(to, amount);
    }
    /// Leaves a target out of the choice of the most loaded.
    void set_aside(std::size_t target) { order_.erase({relative(target), target}); }
    bool is_empty() const { return order_.size() < 2; }

private:
    void change(std::size_t target, double amount)
    {
        const auto removed = order_.erase({relative(target), target});
        loads_[target] += amount;
        if (removed > 0)
        {
            order_.emplace(relative(target), target);
        }
    }

    const load_state& state_;
    std::vector<double> loads_;
    std::set<std::pair<double, std::size_t>> order_;
    double mean_ = 0;
};

struct candidate
{
    std::size_t slice = 0;
    ownership::slice part;
    double load = 0;
};

/// Parts that can move, by target and falling load: whole slices, and hot keys out of their slices.
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
        const auto& holder = state.slices[key.slice];
        // A target that must be emptied gives away whole slices; a key taken out would leave the rest behind.
        if (holder.range.first != holder.range.last && state.targets[holder.owner].capacity_factor > 0)
        {
            result[holder.owner].push_back({key.slice, {key.hash, key.hash}, key.load});
        }
    }
    for (auto& list : result)
    {
        std::ranges::sort(list, std::ranges::greater{}, &candidate::load);
    }
    return result;
}

bool pays(const candidate& part, const policy_weights& weights, const policy_settings& settings)
{
    const double gain = part.load * settings.horizon_s;
    const double cost =
        part.load * (weights.unavailable * settings.pause_s + weights.churn * settings.churn_cost_s);
    return part.load > 0 && gain > cost;
}

/// The largest part that fits both the excess of the source and the room of the receiver, so that few moves
/// suffice.
std::optional<std::size_t> choose(const std::vector<candidate>& list, double excess, double room)
{
    const double most = std::min(excess, room);
    const auto found = std::ranges::find_if(list, [&](const candidate& part) { return part.load <= most; });
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
    balance loads(state);
    auto candidates = candidates_by_target(state);
    std::size_t budget = settings.max_moves;
    while (!loads.is_empty())
    {
        const auto source = loads.most_loaded();
        const auto target = loads.least_loaded();
        if (loads.relative(source) <= settings.trigger_ratio || loads.fair(target) <= 0)
        {
            break;
        }
        // A target that must be emptied gives away all it has, whatever the cost, the budget and the load of
        // the receivers.
        const bool must_empty = loads.fair(source) <= 0;
        if (!must_empty && budget == 0)
        {
            break;
        }
        // Without a limit for sums: their rounding would leave the last slice behind.
        constexpr double no_limit = std::numeric_limits<double>::infinity();
        const double excess = must_empty ? no_limit : loads.load(source) - loads.fair(source);
        const double room =
            must_empty ? no_limit : loads.fair(target) * settings.goal_ratio - loads.load(target);
        auto& list = candidates[source];
        const auto chosen = choose(list, excess, room);
        if (!chosen || (!must_empty && !pays(list[*chosen], weights, settings)))
        {
            // What is left on the source is too large for every receiver, such as one very hot key.
            loads.set_aside(source);
            continue;
        }
        const auto part = list[*chosen];
        // A slice and a key inside it must not move in the same round.
        std::erase_if(list, [&](const candidate& other) { return other.slice == part.slice; });
        loads.move(source, target, part.load);
        budget -= must_empty ? 0 : 1;
        moves.push_back({part.slice, part.part, target, part.load});
    }
    return moves;
}

double imbalance(const load_state& state)
{
    const balance loads(state);
    double worst = 0;
    for (std::size_t target = 0; target < state.targets.size(); ++target)
    {
        worst = std::max(worst, loads.relative(target));
    }
    return worst;
}

} // namespace briarfold::placement
