#include "standins/relay/relay_control.hpp"

#include "core/error.hpp"
#include "standins/common/target.hpp"

namespace briarfold::standins {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;

bool matches(const relay_pair& pair, const std::string& pattern)
{
    return pattern.ends_with('*') ? pair.name.starts_with(pattern.substr(0, pattern.size() - 1))
                                  : pair.name == pattern;
}

http::response set(std::list<relay_pair>& pairs, const std::string& pattern, const nlohmann::json& body)
{
    std::size_t changed = 0;
    for (auto& pair : pairs)
    {
        if (matches(pair, pattern))
        {
            apply_fault(pair, body);
            ++changed;
        }
    }
    return changed == 0 ? http::json_response(status_not_found, R"({"error":"no such pair"})")
                        : http::json_response(status_ok, nlohmann::json{{"changed", changed}}.dump());
}

} // namespace

http::response answer_control(std::list<relay_pair>& pairs, const http::request& message)
{
    const auto where = parse_target(message.target);
    if (message.method == "GET" && where.path == "/control/pairs")
    {
        auto list = nlohmann::json::array();
        for (const auto& pair : pairs)
        {
            list.push_back(to_json(pair));
        }
        return http::json_response(status_ok, nlohmann::json{{"pairs", std::move(list)}}.dump());
    }
    const auto pattern = where.after("/control/pairs/");
    if (message.method != "POST" || pattern.empty())
    {
        return http::json_response(status_not_found, R"({"error":"no such endpoint"})");
    }
    try
    {
        return set(pairs, pattern, nlohmann::json::parse(message.body));
    }
    catch (const std::exception& failure)
    {
        return http::json_response(status_bad_request, nlohmann::json{{"error", failure.what()}}.dump());
    }
}

} // namespace briarfold::standins
