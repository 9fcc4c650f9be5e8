/// Finds the most frequent key hashes of a stream in bounded memory.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace briarfold::placement {

struct heavy_hitter
{
    std::uint64_t hash = 0;
    /// Estimate that is never below the true weight, and above it by at most the smallest counter.
    double weight = 0;

    bool operator==(const heavy_hitter&) const = default;
};

/// Space-Saving sketch: keeps `capacity` counters; a new hash replaces the smallest one and inherits its
/// weight. Any hash with more than 1/capacity of the total weight is kept. Not thread-safe.
class heavy_hitters
{
public:
    explicit heavy_hitters(std::size_t capacity) : capacity_(capacity) {}

    void add(std::uint64_t hash, double weight = 1);
    /// Multiplies all weights by `factor`, so that old traffic counts less.
    void decay(double factor);
    /// Returns at most `count` hashes, the heaviest first.
    std::vector<heavy_hitter> top(std::size_t count) const;

private:
    using weight_index = std::multimap<double, std::uint64_t>;

    std::size_t capacity_;
    weight_index by_weight_;
    std::unordered_map<std::uint64_t, weight_index::iterator> positions_;
};

} // namespace briarfold::placement
