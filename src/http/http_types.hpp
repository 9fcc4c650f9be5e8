/// Plain HTTP messages, independent of the library that carries them. They have constructors because g++ 12
/// miscompiles aggregate initialisation inside a coroutine.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace briarfold::http {

struct header
{
    header() = default;
    header(std::string name_text, std::string value_text)
        : name(std::move(name_text)), value(std::move(value_text))
    {}

    std::string name;
    std::string value;

    auto operator<=>(const header&) const = default;
};

/// Header lookup ignores case. Returns an empty view when the header is absent.
std::string_view find_header(const std::vector<header>& headers, std::string_view name);
bool has_header(const std::vector<header>& headers, std::string_view name);
bool equal_ignoring_case(std::string_view a, std::string_view b);

struct request
{
    request() = default;
    request(std::string method_text, std::string target_text, std::vector<header> header_list = {},
            std::string body_text = {})
        : method(std::move(method_text)), target(std::move(target_text)), headers(std::move(header_list)),
          body(std::move(body_text))
    {}

    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;

    auto operator<=>(const request&) const = default;
};

struct response
{
    response() = default;
    explicit response(unsigned status_code, std::vector<header> header_list = {}, std::string body_text = {})
        : status(status_code), headers(std::move(header_list)), body(std::move(body_text))
    {}

    unsigned status = 200;
    std::vector<header> headers;
    std::string body;

    auto operator<=>(const response&) const = default;
};

/// Whether the status is 2xx.
bool is_success(unsigned status);

/// A response with a JSON body.
response json_response(unsigned status, std::string body);

/// An IP address and port. `to_string` gives "127.0.0.1:9000"; parsing accepts IPv4 and "[v6]:port".
struct endpoint
{
    endpoint() = default;
    endpoint(std::string ip, unsigned short port_number) : address(std::move(ip)), port(port_number) {}

    std::string address;
    unsigned short port = 0;

    auto operator<=>(const endpoint&) const = default;
};

std::string to_string(const endpoint& value);
/// Throws core::error when `text` is not an IP number and a port.
endpoint parse_endpoint(const std::string& text);

} // namespace briarfold::http
