/// Finds the most frequent key hashes of a stream in bounded memory.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace briarfold::placement {

struct hitter
{
    std::uint64_t hash = 0;
    /// Never below the true weight; above it by at most the smallest counter.
    double weight = 0;

    bool operator==(const hitter&) const = default;
};

/// Space-Saving sketch: keeps `capacity` counters; a new hash replaces the smallest one and inherits its
/// weight. Any hash with more than 1/capacity of the total weight is kept. Not thread-safe.
class heavy_hitters
{
public:
    explicit heavy_hitters(std::size_t capacity) : capacity_(capacity) {}

    void add(std::uint64_t hash, double weight = 1);
    /// Multiplies all weights, so that old traffic fades.
    void decay(double factor);
    /// The heaviest first.
    std::vector<hitter> top(std::size_t count) const;

private:
    using order = std::multimap<double, std::uint64_t>;

    std::size_t capacity_;
    order by_weight_;
    std::unordered_map<std::uint64_t, order::iterator> positions_;
};

} // namespace briarfold::placement
