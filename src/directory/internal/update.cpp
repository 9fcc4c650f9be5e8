#include "directory/directory_types.hpp"

#include <algorithm>

namespace briarfold::directory {

update make_update(const snapshot& current, const std::map<std::string, std::int64_t>& removed_at,
                   std::int64_t term, std::int64_t revision)
{
    update change;
    change.is_whole = term != current.term;
    change.base = revision;
    change.changed = current;
    if (change.is_whole)
    {
        return change;
    }
    std::erase_if(change.changed.entries,
                  [revision](const auto& item) { return item.second.revision <= revision; });
    for (const auto& [id, at] : removed_at)
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
    if (change.is_whole)
    {
        current = change.changed;
        return true;
    }
    if (change.changed.term != current.term || current.revision < change.base)
    {
        return false;
    }
    current.revision = std::max(current.revision, change.changed.revision);
    current.leader = change.changed.leader;
    current.deputies = change.changed.deputies;
    current.routers = change.changed.routers;
    for (const auto& [id, item] : change.changed.entries)
    {
        auto& known = current.entries[id];
        if (item.revision >= known.revision)
        {
            known = item;
        }
    }
    for (const auto& id : change.removed)
    {
        const auto known = current.entries.find(id);
        // A later update may have brought it back.
        if (known != current.entries.end() && known->second.revision <= change.changed.revision)
        {
            current.entries.erase(known);
        }
    }
    return true;
}

} // namespace briarfold::directory
