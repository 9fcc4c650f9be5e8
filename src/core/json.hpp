/// Parsing of JSON that comes from outside this process.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace briarfold::core {

/// Copying and printing a value recurse, so that a deeply nested one exhausts the stack.
constexpr int max_json_depth = 64;

/// Throws core::error for a text that is not JSON or that nests arrays and objects deeper than `max_depth`
/// levels.
nlohmann::json parse_json(std::string_view text, int max_depth = max_json_depth);

} // namespace briarfold::core
