#include "wire/internal/json_conversion.hpp"

#include "core/error.hpp"

#include <memory>

namespace briarfold::wire::internal {

nlohmann::json to_nlohmann(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return nlohmann::json::parse(Json::writeString(builder, value));
}

Json::Value to_jsoncpp(const nlohmann::json& value)
{
    const auto text = value.dump();
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value result;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &result, &errors))
    {
        throw core::error("convert JSON", "", errors);
    }
    return result;
}

} // namespace briarfold::wire::internal
