/// Set operations on lists of slices.
#pragma once

#include "ownership/ownership_types.hpp"

#include <vector>

namespace briarfold::ownership::internal {

/// Returns the slices sorted. Joins adjacent slices of a list with more than 96 entries.
std::vector<slice> normalized(std::vector<slice> slices);
/// Returns the slices without the values of `part`.
std::vector<slice> set_difference(const std::vector<slice>& slices, const slice& part);
/// Returns whether `part` lies inside one of the slices.
bool covers(const std::vector<slice>& slices, const slice& part);
/// Splits the whole hash space into `count` slices of nearly equal size.
std::vector<slice> split_space(std::size_t count);
/// Splits `value` into at most `count` slices of nearly equal size.
std::vector<slice> split(const slice& value, std::size_t count);

} // namespace briarfold::ownership::internal
