/// Inclusive ranges of a key space of small integers, and sets of them.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace briarfold::keyspace {

/// Number of keys of a service; keys are 0 to key_count - 1.
constexpr std::uint32_t key_count = 65536;

struct key_range
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    auto operator<=>(const key_range&) const = default;
    bool contains(std::uint32_t key) const { return first <= key && key <= last; }
    std::uint32_t size() const { return last - first + 1; }
};

/// A set of keys as disjoint ranges. Functions that return one sort it and join adjacent ranges.
using key_set = std::vector<key_range>;

key_set normalized(key_set ranges);
key_set set_union(const key_set& a, const key_set& b);
key_set set_difference(const key_set& from, const key_set& removed);
key_set set_intersection(const key_set& a, const key_set& b);
/// Returns all keys of the key space that are not in `ranges`.
key_set complement(const key_set& ranges);
bool contains(const key_set& ranges, std::uint32_t key);
/// Returns whether every key of `part` is in `whole`.
bool covers(const key_set& whole, const key_set& part);
std::uint32_t size(const key_set& ranges);

} // namespace briarfold::keyspace
