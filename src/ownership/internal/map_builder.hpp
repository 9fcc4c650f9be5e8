/// Builds the published map from changed rows.
#pragma once

#include "ownership/iownership.hpp"
#include "store/store_types.hpp"

#include <map>
#include <mutex>

namespace briarfold::ownership::internal {

/// Thread-safe. A changed row costs one pass over the slices of its service.
class map_builder
{
public:
    map_builder();

    /// Applies rows in any order and ignores outdated ones. Returns whether a new map was published.
    bool apply(const std::vector<store::row>& rows, std::int64_t revision);
    std::shared_ptr<const iownership_map> current() const;

private:
    class slice_map;
    bool apply_row(slice_map& next, const store::row& row);

    mutable std::mutex mutex_;
    std::shared_ptr<const slice_map> current_;
    std::map<std::string, std::int64_t> revisions_;
};

} // namespace briarfold::ownership::internal
