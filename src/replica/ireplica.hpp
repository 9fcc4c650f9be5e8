/// In-memory copy of the table's rows.
#pragma once

#include "core/clock.hpp"
#include "store/store_types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace briarfold::replica {

/// All rows at one revision; never changes once published.
struct snapshot
{
    std::int64_t revision = 0;
    std::map<std::string, std::shared_ptr<const store::row>, std::less<>> rows;

    /// Null when there is no such row.
    std::shared_ptr<const store::row> find(std::string_view key) const
    {
        const auto position = rows.find(key);
        return position == rows.end() ? nullptr : position->second;
    }
};

/// Called after a snapshot was published, with the changed rows; holds no lock.
using change_hook =
    std::function<void(const std::shared_ptr<const snapshot>&, const std::vector<store::row>&)>;

class ireplica
{
public:
    virtual ~ireplica() = default;

    /// The newest snapshot; revision 0 before the first rows arrived. Thread-safe.
    virtual std::shared_ptr<const snapshot> current() const = 0;
    /// Applies rows that are newer than what is held; older ones are ignored, so no row ever goes back.
    virtual void apply(const store::row_batch& batch) = 0;
    /// Hooks are registered before the feed starts and stay for the life of the replica.
    virtual void on_change(change_hook hook) = 0;
    /// When the feed last confirmed that the replica is current; the replica may be stale after that.
    virtual core::time_point confirmed_at() const = 0;
};

} // namespace briarfold::replica
