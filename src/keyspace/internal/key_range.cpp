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
    const auto holes = normalized(removed);
    key_set left;
    auto hole = holes.begin();
    for (auto range : ranges)
    {
        while (hole != holes.end() && hole->last < range.first)
        {
            ++hole;
        }
        bool is_used_up = false;
        for (auto next = hole; next != holes.end() && next->first <= range.last; ++next)
        {
            if (range.first < next->first)
            {
                left.push_back({range.first, next->first - 1});
            }
            is_used_up = next->last >= range.last;
            range.first = next->last + 1;
        }
        if (!is_used_up)
        {
            left.push_back(range);
        }
    }
    return left;
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
