#include "placement/heavy_hitters.hpp"

#include <algorithm>
#include <ranges>

namespace briarfold::placement {

void heavy_hitters::add(std::uint64_t hash, double weight)
{
    double previous_weight = 0;
    if (const auto position = positions_.find(hash); position != positions_.end())
    {
        previous_weight = position->second->first;
        by_weight_.erase(position->second);
    }
    else if (positions_.size() >= capacity_)
    {
        const auto smallest = by_weight_.begin();
        previous_weight = smallest->first;
        positions_.erase(smallest->second);
        by_weight_.erase(smallest);
    }
    positions_[hash] = by_weight_.emplace(previous_weight + weight, hash);
}

void heavy_hitters::decay(double factor)
{
    weight_index decayed;
    for (const auto& [weight, hash] : by_weight_)
    {
        positions_[hash] = decayed.emplace(weight * factor, hash);
    }
    by_weight_ = std::move(decayed);
}

std::vector<heavy_hitter> heavy_hitters::top(std::size_t count) const
{
    std::vector<heavy_hitter> result;
    for (const auto& [weight, hash] : by_weight_ | std::views::reverse | std::views::take(count))
    {
        result.push_back({hash, weight});
    }
    return result;
}

} // namespace briarfold::placement
