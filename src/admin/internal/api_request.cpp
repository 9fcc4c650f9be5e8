#include "admin/internal/api_request.hpp"

#include "core/json.hpp"

#include <algorithm>
#include <charconv>

namespace briarfold::admin::internal {

namespace {

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned method_not_allowed = 405;

std::string decode(std::string_view text)
{
    constexpr std::size_t escape_length = 3;
    constexpr int hex_base = 16;
    std::string result;
    while (!text.empty())
    {
        if (text.front() != '%')
        {
            result += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        unsigned char byte = 0;
        const bool is_long_enough = text.size() >= escape_length;
        const auto* first = text.data() + 1;
        if (!is_long_enough || std::from_chars(first, first + 2, byte, hex_base).ptr != first + 2)
        {
            throw api_error(bad_request, "the path or the query has a bad % escape");
        }
        result += static_cast<char>(byte);
        text.remove_prefix(escape_length);
    }
    return result;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty())
    {
        const auto end = std::min(text.find(separator), text.size());
        if (end > 0)
        {
            parts.push_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

bool matches(const route& candidate, const api_request& request)
{
    return std::ranges::equal(split(candidate.pattern, '/'), request.path,
                              [](std::string_view expected, const std::string& part) {
                                  return expected == "*" || expected == part;
                              });
}

} // namespace

nlohmann::json api_request::json_body() const
{
    try
    {
        auto value = core::parse_json(body);
        if (value.is_object())
        {
            return value;
        }
    }
    catch (const core::error& failure)
    {
        throw api_error(bad_request, failure.what());
    }
    throw api_error(bad_request, "the body is not a JSON object");
}

const std::string& api_request::parameter(const std::string& name) const
{
    const auto found = query.find(name);
    if (found == query.end())
    {
        throw api_error(bad_request, "the query parameter \"" + name + "\" is required");
    }
    return found->second;
}

api_request parse_request(const http::request& message)
{
    api_request result;
    result.method = message.method;
    result.body = message.body;
    const std::string_view target = message.target;
    const auto query_start = std::min(target.find('?'), target.size());
    for (const auto part : split(target.substr(0, query_start), '/'))
    {
        result.path.push_back(decode(part));
    }
    for (const auto part : split(target.substr(std::min(query_start + 1, target.size())), '&'))
    {
        const auto equals = std::min(part.find('='), part.size());
        const auto value = part.substr(std::min(equals + 1, part.size()));
        result.query[decode(part.substr(0, equals))] = decode(value);
    }
    return result;
}

const route& find_route(const std::vector<route>& routes, const api_request& request)
{
    const auto is_match = [&request](const route& candidate) { return matches(candidate, request); };
    const auto found = std::ranges::find_if(routes, [&](const route& candidate) {
        return candidate.method == request.method && is_match(candidate);
    });
    if (found != routes.end())
    {
        return *found;
    }
    if (std::ranges::any_of(routes, is_match))
    {
        throw api_error(method_not_allowed, "the path does not take method " + request.method);
    }
    throw api_error(not_found, "there is no such path");
}

http::response error_response(unsigned status, const std::string& reason, const nlohmann::json& details)
{
    auto body = details;
    body["error"] = reason;
    auto answer =
        http::json_response(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    constexpr unsigned unavailable = 503;
    if (status == unavailable)
    {
        answer.headers.emplace_back("Retry-After", "1");
    }
    return answer;
}

} // namespace briarfold::admin::internal
