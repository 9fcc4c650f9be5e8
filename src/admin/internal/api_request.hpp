/// One request of the admin API after parsing, and the table of routes.
#pragma once

#include "core/asio.hpp"
#include "core/error.hpp"
#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarfold::admin::internal {

/// An answer other than 200, with a reason for the operator.
class api_error : public core::error
{
public:
    api_error(unsigned status, const std::string& what)
        : core::error("admin request", "", what), status_(status)
    {}

    unsigned status() const { return status_; }

private:
    unsigned status_;
};

struct api_request
{
    api_request() = default;

    std::string method;
    /// Decoded parts of the path.
    std::vector<std::string> path;
    /// Decoded parameters of the query.
    std::map<std::string, std::string> query;
    std::string body;

    /// Throws api_error 400 when the body is not a JSON object.
    nlohmann::json json_body() const;
    /// Throws api_error 400 when the parameter is absent.
    const std::string& parameter(const std::string& name) const;
};

/// Throws api_error 400 for a target that cannot be decoded.
api_request parse_request(const http::request& message);

using route_handler = std::function<core::asio::awaitable<http::response>(api_request request)>;

/// `pattern` is a path such as "/v1/contracts/*"; `*` matches one part.
struct route
{
    std::string method;
    std::string pattern;
    route_handler handle;
};

/// Throws api_error 404 or 405.
const route& find_route(const std::vector<route>& routes, const api_request& request);

http::response error_response(unsigned status, const std::string& reason,
                              const nlohmann::json& details = nlohmann::json::object());

} // namespace briarfold::admin::internal
