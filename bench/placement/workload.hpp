/// Simulates a keyed load with changing hot keys, a server that leaves and returns, and the loss of a zone.
#pragma once

#include "placement/placement_types.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace briarfold::bench {

struct workload_size
{
    std::string name;
    std::size_t targets = 0;
    int slots = 1;
    std::size_t zones = 1;
    std::size_t slices_per_target = 64;
    std::size_t hot_keys = 31;
};

/// Deterministic for a given seed.
class workload
{
public:
    workload(workload_size size, std::uint64_t seed);

    /// Advances by one period: hot keys change every `hot_change_periods`, one server leaves at a quarter of
    /// the run and returns at a half, a zone is lost at three quarters.
    void advance(std::size_t period, std::size_t periods);
    /// Sets the targets, the loads of the slices and the hot keys. Leaves the owners of slices as they are.
    void fill(placement::load_state& state) const;

    static constexpr std::size_t hot_change_periods = 12;

private:
    void draw_hot_keys();

    workload_size size_;
    std::mt19937_64 random_;
    std::vector<double> base_load_;
    std::vector<placement::hot_key> hot_keys_;
    std::vector<double> capacity_factors_;
};

/// Returns the hash range of slice `index` of `count`.
ownership::slice slice_range(std::size_t index, std::size_t count);

} // namespace briarfold::bench
