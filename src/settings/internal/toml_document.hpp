/// TOML files as JSON values, and rules that several settings share.
#pragma once

#include "document/field_reader.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace briarfold::settings::internal {

/// Throws document::invalid_document that names the line when `text` is not TOML.
nlohmann::json parse_toml(const std::string& text, const std::string& name);
/// Throws core::error when the file cannot be read.
std::string read_file(const std::string& path);
const document::text_rule& endpoint_rule();

} // namespace briarfold::settings::internal
