#include "keyspace/move_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace briarfold::keyspace {

namespace {

/// Load added to every key, so that ranges without measured traffic are spread too.
constexpr double idle_key_load = 1e-6;
/// Fraction of the load of the best other move above which the shift of a range border is preferred.
constexpr double min_shift_fraction = 0.4;
/// Ratio of utilization to the mean up to which a neighbour receives free keys, so that ranges are joined.
constexpr double neighbour_tolerance = 1.1;
/// Fraction of a holder's mean load below which free keys are not divided further: each part becomes a range
/// that has to be granted and renewed separately.
constexpr double min_part_fraction = 0.125;

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

/// Returns the longest part at one end of `range` with a load of at most `max_load`; nullopt if the key at
/// that end exceeds it.
std::optional<candidate> part_at_end(const key_range& range, const key_loads& loads, double max_load,
                                     bool is_at_start)
{
    candidate part;
    std::uint32_t length = 0;
    while (length < range.size())
    {
        const auto key = is_at_start ? range.first + length : range.last - length;
        const double next = part.load + load_at(loads, key);
        if (next > max_load)
        {
            break;
        }
        part.load = next;
        ++length;
    }
    if (length == 0)
    {
        return std::nullopt;
    }
    part.range = is_at_start ? key_range{range.first, range.first + length - 1}
                             : key_range{range.last - length + 1, range.last};
    return part;
}

/// Returns the part at an end of a range of `keys` whose load comes closest to `max_load` without exceeding
/// it.
std::optional<candidate> heaviest_part(const key_set& keys, const key_loads& loads, double max_load)
{
    std::optional<candidate> best;
    for (const auto& range : keys)
    {
        for (const bool is_at_start : {true, false})
        {
            const auto part = part_at_end(range, loads, max_load, is_at_start);
            if (part && (!best || part->load > best->load))
            {
                best = part;
            }
        }
    }
    return best;
}

/// Index of the holders by the borders of their ranges. Holders are given by their position in the list.
class adjacency_index
{
public:
    template <class Holders>
    explicit adjacency_index(const Holders& all)
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

    /// Returns the holder of the key just below or just above the range.
    std::optional<std::size_t> find_adjacent(const key_range& range, bool is_below) const
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
    bool is_exhausted = false;

    double utilization() const { return load / std::max(info.capacity, 0.1); }
};

std::vector<loaded_holder> make_loaded_holders(std::vector<holder> holders, const key_loads& loads)
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

loaded_holder* most_utilized_source(std::vector<loaded_holder>& all)
{
    loaded_holder* most = nullptr;
    for (auto& item : all)
    {
        const bool is_source = item.info.can_give && !item.is_exhausted && !item.info.keys.empty();
        if (is_source && (most == nullptr || item.utilization() > most->utilization()))
        {
            most = &item;
        }
    }
    return most;
}

/// Returns the part with the highest load at a border to a neighbour that has room for it, and the position
/// of that neighbour.
std::optional<std::pair<std::size_t, candidate>> best_shift(const loaded_holder& source,
                                                            const std::vector<loaded_holder>& all,
                                                            const key_loads& loads, double excess,
                                                            double mean)
{
    const adjacency_index adjacent(all);
    std::optional<std::pair<std::size_t, candidate>> best;
    for (const auto& range : source.info.keys)
    {
        for (const bool is_below : {true, false})
        {
            const auto other = adjacent.find_adjacent(range, is_below);
            if (!other || !all[*other].info.can_receive || &all[*other] == &source)
            {
                continue;
            }
            const auto& target = all[*other];
            const double room = (mean - target.utilization()) * target.info.capacity;
            const auto part = part_at_end(range, loads, std::min(excess, room), is_below);
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
    auto all = make_loaded_holders(std::move(holders), loads);
    const double mean = mean_utilization(all);
    std::vector<key_move> moves;
    while (moves.size() < settings.max_moves)
    {
        auto* const source = most_utilized_source(all);
        auto* const target = least_utilized(all);
        const double threshold = std::max(mean * settings.imbalance_threshold, settings.min_utilization);
        if (source == nullptr || target == nullptr || source == target || source->utilization() <= threshold)
        {
            break;
        }
        const double excess = (source->utilization() - mean) * source->info.capacity;
        const double room = (mean - target->utilization()) * target->info.capacity;
        auto part = heaviest_part(source->info.keys, loads, std::min(excess, room));
        auto* receiver = target;
        // Shifting a border adds no range. Each range has to be renewed separately.
        const auto shift = best_shift(*source, all, loads, excess, mean);
        if (shift && (!part || shift->second.load > min_shift_fraction * part->load))
        {
            receiver = &all[shift->first];
            part = shift->second;
        }
        if (!part || part->load < settings.min_move_fraction * receiver->info.capacity)
        {
            source->is_exhausted = true;
            continue;
        }
        moves.push_back({source->info.id, part->range, receiver->info.id});
        source->info.keys = set_difference(source->info.keys, {part->range});
        source->load -= part->load;
        receiver->load += part->load;
    }
    return moves;
}

std::vector<range_placement> place(const key_set& free, std::vector<holder> holders, const key_loads& loads)
{
    auto all = make_loaded_holders(std::move(holders), loads);
    std::vector<range_placement> placed;
    const double free_load = load_of(free, loads);
    const double capacity =
        std::accumulate(all.begin(), all.end(), 0.0, [](double sum, const loaded_holder& item) {
            return sum + (item.info.can_receive ? item.info.capacity : 0);
        });
    const adjacency_index adjacent(all);
    const double mean =
        (free_load + std::accumulate(all.begin(), all.end(), 0.0,
                                     [](double sum, const loaded_holder& item) { return sum + item.load; })) /
        std::max(capacity, 0.1);
    for (auto rest : free)
    {
        const double load = load_of_range(rest, loads);
        const auto find_neighbour = [&](bool is_below) -> loaded_holder* {
            const auto other = adjacent.find_adjacent(rest, is_below);
            const bool fits = other && all[*other].info.can_receive &&
                              (all[*other].load + load) / std::max(all[*other].info.capacity, 0.1) <=
                                  neighbour_tolerance * mean;
            return fits ? &all[*other] : nullptr;
        };
        auto* const below = find_neighbour(true);
        if (auto* const neighbour = below != nullptr ? below : find_neighbour(false))
        {
            placed.push_back({rest, neighbour->info.id});
            neighbour->load += load;
            continue;
        }
        while (true)
        {
            auto* const target = least_utilized(all);
            if (target == nullptr)
            {
                return {};
            }
            // At most twice an equal share, so that a single idle holder does not get all keys.
            const double max_share = 2 * free_load * target->info.capacity / std::max(capacity, 0.1);
            const double min_load = min_part_fraction * mean * target->info.capacity;
            const double max_load = std::max({max_share, min_load, load_at(loads, rest.first)});
            const auto part = part_at_end(rest, loads, max_load, true).value_or(candidate{rest, 0});
            placed.push_back({part.range, target->info.id});
            target->load += part.load;
            if (part.range.last == rest.last)
            {
                break;
            }
            rest.first = part.range.last + 1;
        }
    }
    return placed;
}

std::vector<range_placement> place_evenly(const std::vector<holder>& holders)
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
    std::vector<range_placement> placed;
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
