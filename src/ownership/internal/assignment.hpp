/// Pure decisions on which backend server receives slices.
#pragma once

#include "ownership/internal/protocol_types.hpp"

#include <functional>

namespace briarfold::ownership::internal {

/// A change of rows in one transaction.
using row_changes = std::vector<std::pair<known_row, backend_server>>;

/// Divides the hash space over the rows, alternating between them.
row_changes first_assignment(const std::vector<known_row>& rows);

/// Rows of the service that can receive slices, in an order that differs for each source.
std::vector<known_row> receivers(const std::map<std::string, known_row>& rows, const backend_server& source,
                                 const std::function<bool(const backend_server&)>& is_usable);

/// Distributes `slices` over at most `reassign_targets` receivers; splits slices when there are too few.
std::vector<std::pair<slice, std::string>> distribute(const std::vector<slice>& slices,
                                                      const std::vector<known_row>& targets);

/// Adds each part to the row of its target. Empty when a target is missing.
row_changes add_parts(const std::map<std::string, known_row>& rows,
                      const std::vector<std::pair<slice, std::string>>& parts);

commit_request make_commit(const std::string& operation_id, const row_changes& changes);

} // namespace briarfold::ownership::internal
