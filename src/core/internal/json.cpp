#include "core/json.hpp"

#include "core/error.hpp"

#include <algorithm>

namespace briarfold::core {

namespace {

/// Returns the number of levels to which arrays and objects are nested.
int nesting_depth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool is_in_string = false;
    bool is_escaped = false;
    for (const char c : text)
    {
        if (is_in_string)
        {
            is_in_string = is_escaped || c != '"';
            is_escaped = !is_escaped && c == '\\';
        }
        else if (c == '"')
        {
            is_in_string = true;
        }
        else if (c == '[' || c == '{')
        {
            deepest = std::max(deepest, ++depth);
        }
        else if (c == ']' || c == '}')
        {
            --depth;
        }
    }
    return deepest;
}

} // namespace

nlohmann::json parse_json(std::string_view text, int max_depth)
{
    if (nesting_depth(text) > max_depth)
    {
        throw error("parse JSON", "", "nested deeper than " + std::to_string(max_depth) + " levels");
    }
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw error("parse JSON", "", failure.what());
    }
}

} // namespace briarfold::core
