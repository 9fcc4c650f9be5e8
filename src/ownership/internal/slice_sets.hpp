/// Arithmetic on lists of slices.
#pragma once

#include "ownership/ownership_types.hpp"

#include <vector>

namespace briarfold::ownership::internal {

/// Sorted; neighbouring slices of a long list are joined.
std::vector<slice> normalized(std::vector<slice> slices);
/// The slices without the values of `part`.
std::vector<slice> without(const std::vector<slice>& slices, const slice& part);
/// Whether `part` lies inside one of the slices.
bool covers(const std::vector<slice>& slices, const slice& part);
/// The whole hash space in `count` slices of nearly equal size.
std::vector<slice> split_space(std::size_t count);
/// `value` in at most `count` pieces of nearly equal size.
std::vector<slice> split(const slice& value, std::size_t count);

} // namespace briarfold::ownership::internal
