/// Pure functions that decide which backend server receives slices.
#pragma once

#include "ownership/internal/protocol_types.hpp"

#include <functional>

namespace briarfold::ownership::internal {

/// The rows that one transaction changes, each as read and with its new value.
using row_changes = std::vector<std::pair<known_row, backend_server>>;

/// Divides the hash space into slices and assigns them to the rows in turn.
row_changes first_assignment(const std::vector<known_row>& rows);

/// Returns the rows of the service that can receive slices, in an order that differs for each source.
std::vector<known_row> receivers(const std::map<std::string, known_row>& rows, const backend_server& source,
                                 const std::function<bool(const backend_server&)>& is_usable);

/// Distributes `slices` over at most `max_reassign_targets` receivers. Splits slices when there are fewer of
/// them than receivers. Returns an empty list when there are no targets.
std::vector<std::pair<slice, std::string>> distribute(const std::vector<slice>& slices,
                                                      const std::vector<known_row>& targets);

/// Adds each part to the row of its target. Returns an empty list when a target has no row.
row_changes add_parts(const std::map<std::string, known_row>& rows,
                      const std::vector<std::pair<slice, std::string>>& parts);

commit_request make_commit(const std::string& operation_id, const row_changes& changes);

} // namespace briarfold::ownership::internal
