#include "directory/directory_types.hpp"

#include <algorithm>
#include <iterator>

namespace briarfold::directory {

update make_update(const snapshot& current, const change_log& changes, const generation& term,
                   std::int64_t revision)
{
    update change;
    change.is_full_snapshot = term != current.term;
    change.base = revision;
    if (change.is_full_snapshot)
    {
        change.changed = current;
        return change;
    }
    change.changed.term = current.term;
    change.changed.revision = current.revision;
    change.changed.routers_revision = current.routers_revision;
    change.changed.leader = current.leader;
    change.changed.deputies = current.deputies;
    change.changed.lost_routers = current.lost_routers;
    for (const auto& [name, at] : changes.routers)
    {
        if (at <= revision)
        {
            continue;
        }
        if (const auto known = current.routers.find(name); known != current.routers.end())
        {
            change.changed.routers.insert(*known);
        }
        else
        {
            change.removed_routers.push_back(name);
        }
    }
    std::ranges::copy_if(current.entries, std::inserter(change.changed.entries, change.changed.entries.end()),
                         [revision](const auto& item) { return item.second.revision > revision; });
    for (const auto& [id, at] : changes.removed)
    {
        if (at > revision)
        {
            change.removed.push_back(id);
        }
    }
    return change;
}

bool apply(snapshot& current, const update& change)
{
    if (change.changed.term < current.term)
    {
        return false;
    }
    if (change.is_full_snapshot)
    {
        const bool is_late =
            change.changed.term == current.term && change.changed.revision < current.revision;
        if (is_late)
        {
            // It would restore former states, in which keys may belong to another backend server.
            return false;
        }
        current = change.changed;
        return true;
    }
    if (change.changed.term != current.term || current.revision < change.base)
    {
        return false;
    }
    const bool is_late = change.changed.revision < current.revision;
    current.revision = std::max(current.revision, change.changed.revision);
    current.leader = change.changed.leader;
    current.deputies = change.changed.deputies;
    current.lost_routers = change.changed.lost_routers;
    current.withheld_remaining = change.changed.withheld_remaining;
    // An older update that arrives late must not restore former states of routers.
    if (change.has_routers() && change.changed.routers_revision >= current.routers_revision)
    {
        for (const auto& [name, item] : change.changed.routers)
        {
            current.routers[name] = item;
        }
        std::ranges::for_each(change.removed_routers, [&](const auto& name) { current.routers.erase(name); });
        current.routers_revision = change.changed.routers_revision;
    }
    for (const auto& [id, item] : change.changed.entries)
    {
        if (is_late && !current.entries.contains(id))
        {
            // It was removed since: a later update includes all that this one adds.
            continue;
        }
        auto& known = current.entries[id];
        if (item.revision >= known.revision)
        {
            known = item;
        }
    }
    for (const auto& id : change.removed)
    {
        const auto known = current.entries.find(id);
        // A later update may have added it again.
        if (known != current.entries.end() && known->second.revision <= change.changed.revision)
        {
            current.entries.erase(known);
        }
    }
    return true;
}

} // namespace briarfold::directory
