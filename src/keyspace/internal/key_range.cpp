#include "keyspace/key_range.hpp"

#include <algorithm>
#include <numeric>

namespace briarfold::keyspace {

key_set normalized(key_set ranges)
{
    if (!std::ranges::is_sorted(ranges))
    {
        std::ranges::sort(ranges);
    }
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

key_set set_union(const key_set& a, const key_set& b)
{
    key_set all = a;
    all.insert(all.end(), b.begin(), b.end());
    return normalized(std::move(all));
}

key_set set_difference(const key_set& from, const key_set& removed)
{
    const auto ranges = normalized(from);
    const auto gaps = normalized(removed);
    key_set remaining;
    auto gap = gaps.begin();
    for (auto range : ranges)
    {
        while (gap != gaps.end() && gap->last < range.first)
        {
            ++gap;
        }
        bool is_covered = false;
        for (auto next = gap; next != gaps.end() && next->first <= range.last; ++next)
        {
            if (range.first < next->first)
            {
                remaining.push_back({range.first, next->first - 1});
            }
            is_covered = next->last >= range.last;
            range.first = next->last + 1;
        }
        if (!is_covered)
        {
            remaining.push_back(range);
        }
    }
    return remaining;
}

key_set set_intersection(const key_set& a, const key_set& b)
{
    const auto first = normalized(a);
    const auto second = normalized(b);
    key_set shared;
    auto x = first.begin();
    auto y = second.begin();
    while (x != first.end() && y != second.end())
    {
        const auto begin = std::max(x->first, y->first);
        const auto end = std::min(x->last, y->last);
        if (begin <= end)
        {
            shared.push_back({begin, end});
        }
        if (x->last < y->last)
        {
            ++x;
        }
        else
        {
            ++y;
        }
    }
    return shared;
}

key_set complement(const key_set& ranges)
{
    return set_difference({{0, key_count - 1}}, ranges);
}

bool contains(const key_set& ranges, std::uint32_t key)
{
    return std::ranges::any_of(ranges, [key](const key_range& range) { return range.contains(key); });
}

bool covers(const key_set& whole, const key_set& part)
{
    return set_difference(part, whole).empty();
}

std::uint32_t size(const key_set& ranges)
{
    return std::accumulate(ranges.begin(), ranges.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const key_range& range) { return sum + range.size(); });
}

} // namespace briarfold::keyspace
