/// In-memory copy of the table's rows.
#pragma once

#include "core/clock.hpp"
#include "store/store_types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace briarfold::replica {

/// Rows of the table at one revision; immutable once published.
struct snapshot
{
    std::int64_t revision = 0;
    std::map<std::string, std::shared_ptr<const store::row>, std::less<>> rows;

    /// Returns null when there is no such row.
    std::shared_ptr<const store::row> find(std::string_view key) const
    {
        const auto position = rows.find(key);
        return position == rows.end() ? nullptr : position->second;
    }
};

/// Called with a new snapshot and the changed rows after it is published; no lock is held.
using change_hook =
    std::function<void(const std::shared_ptr<const snapshot>&, const std::vector<store::row>&)>;

class ireplica
{
public:
    virtual ~ireplica() = default;

    /// Returns the newest snapshot; its revision is 0 until the first rows arrive. Thread-safe.
    virtual std::shared_ptr<const snapshot> current() const = 0;
    /// Applies the rows that are newer than the stored ones and ignores the others, so that no row reverts to
    /// an older version.
    virtual void apply(const store::row_batch& batch) = 0;
    /// Adds a hook for the lifetime of the replica. Add all hooks before the feed starts.
    virtual void on_change(change_hook hook) = 0;
    /// Returns the latest time at which the replica was known to be current; it may be stale since then.
    virtual core::time_point confirmed_at() const = 0;
};

} // namespace briarfold::replica
