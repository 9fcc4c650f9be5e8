#include "placement/heavy_hitters.hpp"

#include <algorithm>
#include <ranges>

namespace briarfold::placement {

void heavy_hitters::add(std::uint64_t hash, double weight)
{
    double before = 0;
    if (const auto known = positions_.find(hash); known != positions_.end())
    {
        before = known->second->first;
        by_weight_.erase(known->second);
    }
    else if (positions_.size() >= capacity_)
    {
        const auto smallest = by_weight_.begin();
        before = smallest->first;
        positions_.erase(smallest->second);
        by_weight_.erase(smallest);
    }
    positions_[hash] = by_weight_.emplace(before + weight, hash);
}

void heavy_hitters::decay(double factor)
{
    weight_index faded;
    for (const auto& [weight, hash] : by_weight_)
    {
        positions_[hash] = faded.emplace(weight * factor, hash);
    }
    by_weight_ = std::move(faded);
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
