/// JSON bodies of the table service.
#pragma once

#include "store/store_types.hpp"

#include <string_view>

namespace briarfold::store::internal {

/// The functions that read throw store_error for anything malformed.
nlohmann::json parse_body(std::string_view body);
row parse_row(const nlohmann::json& value);
std::vector<row> parse_rows(const nlohmann::json& value);
row_batch parse_batch(const nlohmann::json& value, const char* rows_field);
std::string transaction_body(const std::string& operation_id, const std::vector<row_write>& writes);
std::string url_encode(std::string_view text);

} // namespace briarfold::store::internal
