#include "directory/owner_index.hpp"

#include <algorithm>

namespace briarfold::directory {

namespace {

void assign_number(std::vector<std::uint16_t>& numbers, const keyspace::key_set& keys, std::uint16_t value)
{
    for (const auto& range : keys)
    {
        std::fill(numbers.begin() + range.first, numbers.begin() + range.last + 1, value);
    }
}

} // namespace

void owner_index::remove(const std::string& id)
{
    const auto position = positions_.find(id);
    if (position == positions_.end())
    {
        return;
    }
    auto& former = indexed_entries_[position->second];
    auto& numbers = owner_numbers_[former.service];
    const auto first_number = static_cast<owner_number>(1 + 2 * position->second);
    for (const auto& range : former.keys)
    {
        std::replace_if(
            numbers.begin() + range.first, numbers.begin() + range.last + 1,
            [first_number](owner_number number) {
                return number == first_number || number == first_number + 1;
            },
            owner_number{0});
    }
    former = {};
    free_positions_.push_back(position->second);
    positions_.erase(position);
}

void owner_index::add(const entry& item)
{
    if (item.front.empty() || item.keys.empty())
    {
        return;
    }
    if (free_positions_.empty())
    {
        free_positions_.push_back(indexed_entries_.size());
        indexed_entries_.emplace_back();
    }
    const auto position = free_positions_.back();
    free_positions_.pop_back();
    indexed_entries_[position] =
        indexed_entry{item.server.service, item.server.id, item.front, item.keys, item.is_unreachable};
    positions_[item.server.id] = position;
    auto& numbers = owner_numbers_[item.server.service];
    numbers.resize(keyspace::key_count);
    const auto number = static_cast<owner_number>(1 + 2 * position);
    assign_number(numbers, keyspace::set_difference(item.keys, item.withdrawn), number);
    assign_number(numbers, item.withdrawn, static_cast<owner_number>(number + 1));
}

void owner_index::rebuild_groups(const snapshot& known)
{
    groups_.clear();
    evacuated_services_.clear();
    for (const auto& [id, item] : known.entries)
    {
        if (item.front.empty() || !item.keys.empty() || !item.is_listed || item.server.is_draining)
        {
            continue;
        }
        if (evacuated_zones_.contains(item.server.zone))
        {
            evacuated_services_.insert(item.server.service);
        }
        else
        {
            groups_[item.server.service][item.front] += item.server.slots;
        }
    }
}

void owner_index::apply(const snapshot& known, const update& change)
{
    if (change.is_full_snapshot)
    {
        owner_numbers_.clear();
        indexed_entries_.clear();
        free_positions_.clear();
        positions_.clear();
    }
    std::ranges::for_each(change.removed, [this](const auto& id) { remove(id); });
    // All changed entries are removed first, since a key may move from one of them to another.
    for (const auto& [id, item] : change.changed.entries)
    {
        remove(id);
    }
    const auto& entries = known.entries;
    for (const auto& [id, item] : change.changed.entries)
    {
        if (const auto current = entries.find(id); current != entries.end())
        {
            add(current->second);
        }
    }
    const bool may_change_groups = change.is_full_snapshot || !change.removed.empty() ||
                                   std::ranges::any_of(change.changed.entries, [](const auto& item) {
                                       return item.second.keys.empty();
                                   });
    if (may_change_groups)
    {
        rebuild_groups(known);
    }
}

std::optional<owner> owner_index::find(const std::string& service, std::uint32_t key) const
{
    const auto numbers = owner_numbers_.find(service);
    if (numbers == owner_numbers_.end() || key >= numbers->second.size() || numbers->second[key] == 0)
    {
        return std::nullopt;
    }
    const std::size_t number = numbers->second[key] - 1U;
    const auto& found = indexed_entries_[number / 2];
    return owner{found.backend_server, found.front, number % 2 == 1, found.is_unreachable};
}

void owner_index::set_evacuated_zones(const snapshot& known, std::set<std::string> zones)
{
    evacuated_zones_ = std::move(zones);
    rebuild_groups(known);
}

bool owner_index::is_evacuated(const std::string& service) const
{
    return evacuated_services_.contains(service) && !groups_.contains(service);
}

const std::map<std::string, int>* owner_index::find_group(const std::string& service) const
{
    const auto group = groups_.find(service);
    return group == groups_.end() ? nullptr : &group->second;
}

} // namespace briarfold::directory
