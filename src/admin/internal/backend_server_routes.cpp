#include "admin/internal/api_routes.hpp"
#include "core/key_hash.hpp"
#include "document/field_reader.hpp"

#include <algorithm>

namespace briarfold::admin::internal {

namespace {

namespace asio = core::asio;

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned unavailable = 503;
constexpr std::size_t id_part = 2;
constexpr std::size_t longest_key = 256;

std::shared_ptr<const ownership::iownership_map> get_map(const admin_inputs& inputs)
{
    auto map = inputs.map();
    if (map == nullptr)
    {
        throw api_error(unavailable, "the ownership map is not loaded yet");
    }
    return map;
}

nlohmann::json summary_of(const ownership::backend_server& server)
{
    auto value = to_json(server);
    value["slices"] = server.slices.size();
    return value;
}

asio::awaitable<http::response> list_servers(admin_inputs& inputs, api_request request)
{
    const auto map = get_map(inputs);
    nlohmann::json answer;
    answer["revision"] = map->revision();
    answer["backend_servers"] = nlohmann::json::array();
    for (const auto& server : map->all())
    {
        const bool is_wanted =
            !request.query.contains("service") || request.query.at("service") == server->service;
        if (is_wanted)
        {
            answer["backend_servers"].push_back(summary_of(*server));
        }
    }
    co_return ok(answer);
}

asio::awaitable<http::response> show_server(admin_inputs& inputs, api_request request)
{
    const auto server = get_map(inputs)->find(request.path[id_part]);
    if (server == nullptr)
    {
        throw api_error(not_found, "there is no backend server " + request.path[id_part]);
    }
    co_return ok(to_json(*server));
}

asio::awaitable<http::response> show_owner(admin_inputs& inputs, api_request request)
{
    const auto map = get_map(inputs);
    const auto& service = request.parameter("service");
    const auto& key = request.parameter("key");
    if (key.empty() || key.size() > longest_key)
    {
        throw api_error(bad_request, "key has " + std::to_string(key.size()) + " bytes: allowed is 1 to 256");
    }
    if (!map->has_service(service))
    {
        throw api_error(not_found, "there is no service " + service);
    }
    const auto hash = core::key_hash(service, key);
    const auto owner = map->owner(service, hash);
    nlohmann::json answer;
    answer["service"] = service;
    answer["key"] = key;
    answer["hash"] = core::to_hex(hash);
    answer["revision"] = map->revision();
    answer["owner"] = owner ? summary_of(*owner) : nlohmann::json();
    co_return ok(answer);
}

http::response to_response(admin_inputs& inputs, const std::string& action, const action_result& result)
{
    auto details = to_json(result);
    inputs.metrics
        .counter("briarfold_backend_server_actions_total", "Join, leave and stop requests by outcome.",
                 {{"action", action}, {"outcome", details.at("status").get<std::string>()}})
        .add();
    switch (result.status)
    {
    case action_status::done:
        return ok(details);
    case action_status::refused:
        return error_response(conflict, result.reason, details);
    case action_status::not_found:
        return error_response(not_found, result.reason, details);
    case action_status::unknown:
        break;
    }
    return error_response(unavailable, result.reason + "; repeat with the same operation id", details);
}

asio::awaitable<http::response> join(admin_inputs& inputs, api_request request)
{
    auto body = request.json_body();
    const auto action = read_action(body);
    body.erase("operation_id");
    body.erase("author");
    const auto server = parse_join(body, request.path[id_part]);
    const auto result = co_await inputs.backend_servers.join(server, action, store_timeout);
    co_return to_response(inputs, "join", result);
}

void refuse_further_fields(const nlohmann::json& body)
{
    document::field_reader reader(body);
    reader.allow("operation_id");
    reader.allow("author");
    reader.finish("action");
}

asio::awaitable<http::response> leave(admin_inputs& inputs, api_request request)
{
    const auto body = request.json_body();
    const auto action = read_action(body);
    refuse_further_fields(body);
    const auto result = co_await inputs.backend_servers.leave(request.path[id_part], action, store_timeout);
    co_return to_response(inputs, "leave", result);
}

asio::awaitable<http::response> stop(admin_inputs& inputs, api_request request)
{
    const auto body = request.json_body();
    const auto action = read_action(body);
    refuse_further_fields(body);
    const auto result = co_await inputs.backend_servers.stop(request.path[id_part], action, store_timeout);
    co_return to_response(inputs, "stop", result);
}

} // namespace

void add_backend_server_routes(std::vector<route>& routes, admin_inputs& inputs)
{
    const auto add = [&](const char* method, const char* pattern, auto function) {
        add_route(routes, inputs, method, pattern, function);
    };
    add("GET", "/v1/backend-servers", list_servers);
    add("GET", "/v1/backend-servers/*", show_server);
    add("PUT", "/v1/backend-servers/*", join);
    add("POST", "/v1/backend-servers/*/leave", leave);
    add("POST", "/v1/backend-servers/*/stop", stop);
    add("GET", "/v1/owner", show_owner);
}

} // namespace briarfold::admin::internal
