#include "http/http_types.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"

#include <algorithm>
#include <charconv>

namespace briarfold::http {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

auto find_position(const std::vector<header>& headers, std::string_view name)
{
    return std::ranges::find_if(headers,
                                [&](const header& item) { return equal_ignoring_case(item.name, name); });
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view find_header(const std::vector<header>& headers, std::string_view name)
{
    const auto position = find_position(headers, name);
    return position == headers.end() ? std::string_view{} : std::string_view(position->value);
}

bool has_header(const std::vector<header>& headers, std::string_view name)
{
    return find_position(headers, name) != headers.end();
}

bool is_success(unsigned status)
{
    constexpr unsigned first_success = 200;
    constexpr unsigned first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

response json_response(unsigned status, std::string body)
{
    return response(status, {{"Content-Type", "application/json"}}, std::move(body));
}

std::string to_string(const endpoint& value)
{
    const bool is_v6 = value.address.find(':') != std::string::npos;
    return (is_v6 ? "[" + value.address + "]" : value.address) + ":" + std::to_string(value.port);
}

endpoint parse_endpoint(const std::string& text)
{
    const auto fail = [&](const char* why) {
        return core::error("parse endpoint", "", std::string(why) + ": \"" + text + "\"");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        throw fail("missing port");
    }
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code code;
    core::asio::ip::make_address(address, code);
    if (code)
    {
        throw fail("not an IP number");
    }
    unsigned short port = 0;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (parsed.ec != std::errc{} || parsed.ptr != last || colon + 1 == text.size())
    {
        throw fail("invalid port");
    }
    return {address, port};
}

} // namespace briarfold::http
