#include "ownership/internal/slice_sets.hpp"

#include <algorithm>
#include <limits>

namespace briarfold::ownership::internal {

namespace {

/// Number of slices above which adjacent ones are joined, to keep rows and grants small.
constexpr std::size_t max_unjoined_slices = 96;

} // namespace

std::vector<slice> normalized(std::vector<slice> slices)
{
    std::ranges::sort(slices);
    if (slices.size() <= max_unjoined_slices)
    {
        return slices;
    }
    std::vector<slice> result;
    for (const auto& item : slices)
    {
        const bool is_adjacent = !result.empty() && result.back().last + 1 == item.first &&
                                 result.back().last != std::numeric_limits<std::uint64_t>::max();
        if (is_adjacent)
        {
            result.back().last = item.last;
            continue;
        }
        result.push_back(item);
    }
    return result;
}

std::vector<slice> set_difference(const std::vector<slice>& slices, const slice& part)
{
    std::vector<slice> result;
    for (const auto& item : slices)
    {
        if (part.last < item.first || item.last < part.first)
        {
            result.push_back(item);
            continue;
        }
        if (item.first < part.first)
        {
            result.push_back({item.first, part.first - 1});
        }
        if (part.last < item.last)
        {
            result.push_back({part.last + 1, item.last});
        }
    }
    return result;
}

bool covers(const std::vector<slice>& slices, const slice& part)
{
    return part.first <= part.last && std::ranges::any_of(slices, [&](const slice& item) {
               return item.first <= part.first && part.last <= item.last;
           });
}

std::vector<slice> split_space(std::size_t count)
{
    return split({0, std::numeric_limits<std::uint64_t>::max()}, count);
}

std::vector<slice> split(const slice& value, std::size_t count)
{
    const auto last_offset = value.last - value.first;
    if (count > 1 && last_offset < count - 1)
    {
        count = static_cast<std::size_t>(last_offset) + 1;
    }
    const auto width = last_offset / count;
    std::vector<slice> result;
    auto first = value.first;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto last = i + 1 == count ? value.last : first + width - (width == 0 ? 0 : 1);
        result.push_back({first, last});
        first = last + 1;
    }
    return result;
}

} // namespace briarfold::ownership::internal
