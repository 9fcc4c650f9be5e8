#include "keyspace/move_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace briarfold::keyspace {

namespace {

/// Load that a key without measured traffic counts for, so that idle ranges are spread too.
constexpr double idle_key_load = 1e-6;
/// A shift of a border is preferred when it moves at least this share of what another move would.
constexpr double least_shift_share = 0.4;
/// Utilization over the mean up to which a neighbour receives free keys, so that ranges join.
constexpr double neighbour_tolerance = 1.1;
/// Part of a holder's mean load below which free keys are not divided further: each part is a range of its
/// own that has to be granted and renewed.
constexpr double least_part = 0.125;

double load_at(const key_loads& loads, std::uint32_t key)
{
    return (key < loads.size() ? loads[key] : 0.0) + idle_key_load;
}

double load_of_range(const key_range& range, const key_loads& loads)
{
    double sum = 0;
    for (auto key = range.first; key <= range.last; ++key)
    {
        sum += load_at(loads, key);
    }
    return sum;
}

struct candidate
{
    key_range range;
    double load = 0;
};

/// The longest part at one end of `range` with a load of at most `most`.
std::optional<candidate> end_part(const key_range& range, const key_loads& loads, double most,
                                  bool from_front)
{
    candidate part;
    std::uint32_t taken = 0;
    while (taken < range.size())
    {
        const auto key = from_front ? range.first + taken : range.last - taken;
        const double next = part.load + load_at(loads, key);
        if (next > most)
        {
            break;
        }
        part.load = next;
        ++taken;
    }
    if (taken == 0)
    {
        return std::nullopt;
    }
    part.range = from_front ? key_range{range.first, range.first + taken - 1}
                            : key_range{range.last - taken + 1, range.last};
    return part;
}

/// The end of a range of `keys` whose load comes closest to `most` without exceeding it.
std::optional<candidate> best_part(const key_set& keys, const key_loads& loads, double most)
{
    std::optional<candidate> best;
    for (const auto& range : keys)
    {
        for (const bool from_front : {true, false})
        {
            const auto part = end_part(range, loads, most, from_front);
            if (part && (!best || part->load > best->load))
            {
                best = part;
            }
        }
    }
    return best;
}

/// Holders that own the keys beside a range, by their position in the list.
class neighbours
{
public:
    template <class Holders>
    explicit neighbours(const Holders& all)
    {
        for (std::size_t i = 0; i < all.size(); ++i)
        {
            for (const auto& range : all[i].info.keys)
            {
                by_first_[range.first] = i;
                by_last_[range.last] = i;
            }
        }
    }

    /// The owner of the key below or above the range.
    std::optional<std::size_t> beside(const key_range& range, bool is_below) const
    {
        const auto& owners = is_below ? by_last_ : by_first_;
        const auto position = owners.find(is_below ? range.first - 1 : range.last + 1);
        return position == owners.end() ? std::nullopt : std::optional(position->second);
    }

private:
    std::map<std::uint32_t, std::size_t> by_first_;
    std::map<std::uint32_t, std::size_t> by_last_;
};

struct loaded_holder
{
    holder info;
    double load = 0;
    bool is_done = false;

    double utilization() const { return load / std::max(info.capacity, 0.1); }
};

std::vector<loaded_holder> with_loads(std::vector<holder> holders, const key_loads& loads)
{
    std::vector<loaded_holder> all;
    std::ranges::transform(holders, std::back_inserter(all), [&](holder& item) {
        const double load = load_of(item.keys, loads);
        return loaded_holder{std::move(item), load};
    });
    return all;
}

double mean_utilization(const std::vector<loaded_holder>& all)
{
    double load = 0;
    double capacity = 0;
    for (const auto& item : all)
    {
        load += item.load;
        capacity += item.info.can_receive ? item.info.capacity : 0;
    }
    return capacity > 0 ? load / capacity : 0;
}

loaded_holder* least_utilized(std::vector<loaded_holder>& all)
{
    loaded_holder* least = nullptr;
    for (auto& item : all)
    {
        if (item.info.can_receive && (least == nullptr || item.utilization() < least->utilization()))
        {
            least = &item;
        }
    }
    return least;
}

loaded_holder* most_utilized_giver(std::vector<loaded_holder>& all)
{
    loaded_holder* most = nullptr;
    for (auto& item : all)
    {
        const bool gives = item.info.can_give && !item.is_done && !item.info.keys.empty();
        if (gives && (most == nullptr || item.utilization() > most->utilization()))
        {
            most = &item;
        }
    }
    return most;
}

/// The largest part at the border to a neighbour that has room for it.
std::optional<std::pair<std::size_t, candidate>> best_shift(const loaded_holder& giver,
                                                            const std::vector<loaded_holder>& all,
                                                            const key_loads& loads, double excess,
                                                            double mean)
{
    const neighbours around(all);
    std::optional<std::pair<std::size_t, candidate>> best;
    for (const auto& range : giver.info.keys)
    {
        for (const bool is_below : {true, false})
        {
            const auto other = around.beside(range, is_below);
            if (!other || !all[*other].info.can_receive || &all[*other] == &giver)
            {
                continue;
            }
            const auto& taker = all[*other];
            const double room = (mean - taker.utilization()) * taker.info.capacity;
            const auto part = end_part(range, loads, std::min(excess, room), is_below);
            if (part && (!best || part->load > best->second.load))
            {
                best = std::pair(*other, *part);
            }
        }
    }
    return best;
}

} // namespace

double load_of(const key_set& keys, const key_loads& loads)
{
    return std::accumulate(keys.begin(), keys.end(), 0.0, [&](double sum, const key_range& range) {
        return sum + load_of_range(range, loads);
    });
}

std::vector<key_move> plan_moves(std::vector<holder> holders, const key_loads& loads,
                                 const planner_settings& settings)
{
    auto all = with_loads(std::move(holders), loads);
    const double mean = mean_utilization(all);
    std::vector<key_move> moves;
    while (moves.size() < settings.max_moves)
    {
        auto* const giver = most_utilized_giver(all);
        auto* const taker = least_utilized(all);
        const double threshold = std::max(mean * settings.trigger, settings.least_utilization);
        if (giver == nullptr || taker == nullptr || giver == taker || giver->utilization() <= threshold)
        {
            break;
        }
        const double excess = (giver->utilization() - mean) * giver->info.capacity;
        const double room = (mean - taker->utilization()) * taker->info.capacity;
        auto part = best_part(giver->info.keys, loads, std::min(excess, room));
        auto* receiver = taker;
        // A shifted border keeps the number of ranges, each of which has to be renewed by itself.
        const auto shift = best_shift(*giver, all, loads, excess, mean);
        if (shift && (!part || shift->second.load > least_shift_share * part->load))
        {
            receiver = &all[shift->first];
            part = shift->second;
        }
        if (!part || part->load < settings.least_amount * receiver->info.capacity)
        {
            giver->is_done = true;
            continue;
        }
        moves.push_back({giver->info.id, part->range, receiver->info.id});
        giver->info.keys = set_difference(giver->info.keys, {part->range});
        giver->load -= part->load;
        receiver->load += part->load;
    }
    return moves;
}

std::vector<placed_range> place(const key_set& free, std::vector<holder> holders, const key_loads& loads)
{
    auto all = with_loads(std::move(holders), loads);
    std::vector<placed_range> placed;
    const double free_load = load_of(free, loads);
    const double capacity =
        std::accumulate(all.begin(), all.end(), 0.0, [](double sum, const loaded_holder& item) {
            return sum + (item.info.can_receive ? item.info.capacity : 0);
        });
    const neighbours around(all);
    const double mean =
        (free_load + std::accumulate(all.begin(), all.end(), 0.0,
                                     [](double sum, const loaded_holder& item) { return sum + item.load; })) /
        std::max(capacity, 0.1);
    for (auto rest : free)
    {
        const double load = load_of_range(rest, loads);
        const auto joins = [&](bool is_below) -> loaded_holder* {
            const auto other = around.beside(rest, is_below);
            const bool fits = other && all[*other].info.can_receive &&
                              (all[*other].load + load) / std::max(all[*other].info.capacity, 0.1) <=
                                  neighbour_tolerance * mean;
            return fits ? &all[*other] : nullptr;
        };
        auto* const below = joins(true);
        if (auto* const neighbour = below != nullptr ? below : joins(false))
        {
            placed.push_back({rest, neighbour->info.id});
            neighbour->load += load;
            continue;
        }
        while (true)
        {
            auto* const taker = least_utilized(all);
            if (taker == nullptr)
            {
                return {};
            }
            // Up to twice an equal share each, so that one cold holder does not get everything.
            const double equal = 2 * free_load * taker->info.capacity / std::max(capacity, 0.1);
            const double smallest = least_part * mean * taker->info.capacity;
            const double most = std::max({equal, smallest, load_at(loads, rest.first)});
            const auto part = end_part(rest, loads, most, true).value_or(candidate{rest, 0});
            placed.push_back({part.range, taker->info.id});
            taker->load += part.load;
            if (part.range.last == rest.last)
            {
                break;
            }
            rest.first = part.range.last + 1;
        }
    }
    return placed;
}

std::vector<placed_range> place_evenly(const std::vector<holder>& holders)
{
    std::vector<const holder*> accepting;
    for (const auto& item : holders)
    {
        if (item.can_receive)
        {
            accepting.push_back(&item);
        }
    }
    const double total = std::accumulate(accepting.begin(), accepting.end(), 0.0,
                                         [](double sum, const holder* item) { return sum + item->capacity; });
    std::vector<placed_range> placed;
    double before = 0;
    std::uint32_t first = 0;
    for (const auto* item : accepting)
    {
        before += item->capacity;
        const bool is_last = item == accepting.back();
        const auto end = is_last ? key_count : static_cast<std::uint32_t>(key_count * before / total);
        if (end > first)
        {
            placed.push_back({{first, end - 1}, item->id});
            first = end;
        }
    }
    return placed;
}

} // namespace briarfold::keyspace
