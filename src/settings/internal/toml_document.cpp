#include "settings/internal/toml_document.hpp"

#include "core/error.hpp"
#include "http/http_types.hpp"

#include <toml.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace briarfold::settings::internal {

namespace {

nlohmann::json convert(const toml::value& value)
{
    switch (value.type())
    {
    case toml::value_t::boolean:
        return value.as_boolean();
    case toml::value_t::integer:
        return value.as_integer();
    case toml::value_t::floating:
        return value.as_floating();
    case toml::value_t::string:
        return value.as_string().str;
    case toml::value_t::array: {
        auto list = nlohmann::json::array();
        std::ranges::transform(value.as_array(), std::back_inserter(list), convert);
        return list;
    }
    case toml::value_t::table: {
        auto object = nlohmann::json::object();
        for (const auto& [name, item] : value.as_table())
        {
            object[name] = convert(item);
        }
        return object;
    }
    default:
        return nullptr;
    }
}

bool is_endpoint(const std::string& text)
{
    try
    {
        return http::parse_endpoint(text).port != 0;
    }
    catch (const core::error&)
    {
        return false;
    }
}

} // namespace

nlohmann::json parse_toml(const std::string& text, const std::string& name)
{
    std::istringstream stream(text);
    try
    {
        return convert(toml::parse(stream, name));
    }
    catch (const toml::exception& failure)
    {
        throw document::invalid_document(
            name, {{"line " + std::to_string(failure.location().line()), failure.what(), "valid TOML"}});
    }
}

std::string read_file(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
    {
        throw core::error("read settings", path, "the file cannot be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const document::text_rule& endpoint_rule()
{
    static const document::text_rule rule{"an IP address and a port such as \"10.0.0.1:9000\"", is_endpoint};
    return rule;
}

} // namespace briarfold::settings::internal
