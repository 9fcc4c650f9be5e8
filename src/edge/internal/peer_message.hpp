#pragma once

#include "store/store_types.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace briarfold::edge::internal {

/// Returns the bytes of a message to another router. Long texts are compressed: a directory of hundreds of
/// backend servers would otherwise use up the bandwidth of the leader when many routers need it at the same
/// time.
std::string encode_message(const std::string& text);
/// Parses the bytes of `encode_message`. Throws core::error or nlohmann::json::exception for malformed bytes.
nlohmann::json decode_message(const std::string& bytes);

nlohmann::json position_to_json(const store::position& value);
/// Throws nlohmann::json::exception for a malformed value.
store::position position_from_json(const nlohmann::json& value);

/// Returns a document as compressed Base64 text for messages between routers. Uncompressed, a configuration
/// with thousands of routes takes most of a small instance's bandwidth for some tenths of a second.
std::string pack(const nlohmann::json& document);
/// Decodes the text of `pack`. Throws core::error or nlohmann::json::exception for malformed text.
nlohmann::json unpack(const std::string& text);

} // namespace briarfold::edge::internal
