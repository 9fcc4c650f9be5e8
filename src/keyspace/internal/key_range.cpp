#include "keyspace/key_range.hpp"

#include <algorithm>
#include <numeric>

namespace briarfold::keyspace {

key_set normalized(key_set ranges)
{
    std::ranges::sort(ranges);
    key_set joined;
    for (const auto& range : ranges)
    {
        if (!joined.empty() && range.first <= joined.back().last + 1)
        {
            joined.back().last = std::max(joined.back().last, range.last);
        }
        else
        {
            joined.push_back(range);
        }
    }
    return joined;
}

key_set united(const key_set& a, const key_set& b)
{
    key_set all = a;
    all.insert(all.end(), b.begin(), b.end());
    return normalized(std::move(all));
}

key_set without(const key_set& from, const key_set& removed)
{
    key_set left = normalized(from);
    for (const auto& hole : removed)
    {
        key_set next;
        for (const auto& range : left)
        {
            if (range.last < hole.first || hole.last < range.first)
            {
                next.push_back(range);
                continue;
            }
            if (range.first < hole.first)
            {
                next.push_back({range.first, hole.first - 1});
            }
            if (hole.last < range.last)
            {
                next.push_back({hole.last + 1, range.last});
            }
        }
        left = std::move(next);
    }
    return left;
}

key_set common(const key_set& a, const key_set& b)
{
    return without(a, complement(b));
}

key_set complement(const key_set& ranges)
{
    return without({{0, key_count - 1}}, ranges);
}

bool contains(const key_set& ranges, std::uint32_t key)
{
    return std::ranges::any_of(ranges, [key](const key_range& range) { return range.contains(key); });
}

bool covers(const key_set& whole, const key_set& part)
{
    return without(part, whole).empty();
}

std::uint32_t size(const key_set& ranges)
{
    return std::accumulate(ranges.begin(), ranges.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const key_range& range) { return sum + range.size(); });
}

} // namespace briarfold::keyspace
