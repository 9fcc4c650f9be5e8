#include "bench/placement/workload.hpp"

#include <algorithm>
#include <limits>

namespace briarfold::bench {

namespace {

/// Mean load of a slot; leaves capacity for the loss of a zone.
constexpr double mean_slot_load = 0.5;
/// Share of the total load on all hot keys together; no hot key has more than half a slot.
constexpr double hot_share = 0.05;
constexpr double max_hot_key_load = 0.5;
constexpr double warmup_per_period = 0.25;

} // namespace

ownership::slice slice_range(std::size_t index, std::size_t count)
{
    const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / count;
    const std::uint64_t first = index * width;
    return {first, index + 1 == count ? std::numeric_limits<std::uint64_t>::max() : first + width - 1};
}

workload::workload(workload_size size, std::uint64_t seed)
    : size_(std::move(size)), random_(seed), base_load_(size_.targets * size_.slices_per_target),
      capacity_factors_(size_.targets, 1)
{
    // Loads of slices differ by a log-normal factor: each slice has many keys, some of them busier.
    std::lognormal_distribution<double> load_factor(0, 0.5);
    double sum = 0;
    for (auto& load : base_load_)
    {
        load = load_factor(random_);
        sum += load;
    }
    const double total = mean_slot_load * size_.slots * static_cast<double>(size_.targets);
    std::ranges::transform(base_load_, base_load_.begin(), [&](double load) { return load / sum * total; });
    draw_hot_keys();
}

void workload::draw_hot_keys()
{
    const double total = mean_slot_load * size_.slots * static_cast<double>(size_.targets) * hot_share;
    const double load = std::min(max_hot_key_load, total / static_cast<double>(size_.hot_keys));
    std::uniform_int_distribution<std::size_t> pick_slice(0, base_load_.size() - 1);
    hot_keys_.clear();
    for (std::size_t i = 0; i < size_.hot_keys; ++i)
    {
        const auto slice = pick_slice(random_);
        hot_keys_.push_back({slice_range(slice, base_load_.size()).first + 1 + i, slice, load});
    }
}

void workload::advance(std::size_t period, std::size_t periods)
{
    if (period % hot_change_periods == 0)
    {
        draw_hot_keys();
    }
    std::ranges::transform(capacity_factors_, capacity_factors_.begin(), [](double capacity_factor) {
        return capacity_factor > 0 ? std::min(1.0, capacity_factor + warmup_per_period) : 0;
    });
    if (period == periods / 4)
    {
        capacity_factors_[0] = 0;
    }
    if (period == periods / 2)
    {
        capacity_factors_[0] = warmup_per_period;
    }
    if (period == periods * 3 / 4)
    {
        for (std::size_t target = 0; target < capacity_factors_.size(); target += size_.zones)
        {
            capacity_factors_[target] = 0;
        }
    }
}

void workload::fill(placement::load_state& state) const
{
    state.targets.resize(size_.targets);
    for (std::size_t target = 0; target < size_.targets; ++target)
    {
        state.targets[target] = {"target-" + std::to_string(target), capacity_factors_[target], size_.slots};
    }
    state.slices.resize(base_load_.size());
    for (std::size_t index = 0; index < base_load_.size(); ++index)
    {
        state.slices[index].range = slice_range(index, base_load_.size());
        state.slices[index].load = base_load_[index];
    }
    state.hot_keys = hot_keys_;
    for (const auto& key : hot_keys_)
    {
        state.slices[key.slice].load += key.load;
    }
}

} // namespace briarfold::bench
