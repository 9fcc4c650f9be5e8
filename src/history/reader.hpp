/// Reads history files.
#pragma once

#include "history/event.hpp"

#include <filesystem>
#include <vector>

namespace briarfold::history {

/// The events of all files, ordered by time; events of one file with equal times keep their order. A last
/// line that a killed process left incomplete is skipped; any other invalid line throws core::error naming
/// file and line.
std::vector<event> read_files(const std::vector<std::filesystem::path>& paths);

} // namespace briarfold::history
