/// Conversion between the two JSON libraries, through text; control messages are small and rare.
#pragma once

#include <jsoncpp/json/json.h>
#include <nlohmann/json.hpp>

#include <string>

namespace briarfold::wire::internal {

nlohmann::json to_nlohmann(const Json::Value& value);
Json::Value to_jsoncpp(const nlohmann::json& value);

} // namespace briarfold::wire::internal
