/// Conversion between the plain messages and Beast's.
#pragma once

#include "core/asio.hpp"
#include "http/http_types.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace briarfold::http::internal {

namespace beast = boost::beast;
using beast_request = beast::http::request<beast::http::string_body>;
using beast_response = beast::http::response<beast::http::string_body>;

template <class Fields>
std::vector<header> to_headers(const Fields& fields)
{
    std::vector<header> headers;
    for (const auto& field : fields)
    {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

/// Framing headers belong to the connection, so those of a relayed message are dropped.
inline bool is_framing_header(std::string_view name)
{
    return equal_ignoring_case(name, "Content-Length") || equal_ignoring_case(name, "Transfer-Encoding") ||
           equal_ignoring_case(name, "Connection");
}

template <class Message>
void copy_headers(const std::vector<header>& headers, Message& message)
{
    for (const auto& item : headers)
    {
        if (!is_framing_header(item.name))
        {
            message.insert(item.name, item.value);
        }
    }
}

} // namespace briarfold::http::internal
