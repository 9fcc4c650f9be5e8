/// Results as text for people.
#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace briarfold::ctl::internal {

/// One line for each item of `list`, with one column for each named field.
void print_table(std::ostream& out, const nlohmann::json& list, const std::vector<std::string>& columns);
/// One line for each field.
void print_fields(std::ostream& out, const nlohmann::json& object);
/// Prints the answer of a command as text.
void print_result(std::ostream& out, const std::string& command, const nlohmann::json& answer);

} // namespace briarfold::ctl::internal
