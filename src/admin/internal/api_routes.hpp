/// Routes of the admin API, one function for each area.
#pragma once

#include "admin/admin_api.hpp"
#include "admin/internal/api_request.hpp"

namespace briarfold::admin::internal {

/// Longest wait for the table service or the object store.
constexpr core::duration store_timeout{5000};
/// Longest wait for the answer of another router.
constexpr core::duration peer_timeout{1000};

/// Adds `function(inputs, request)`; the handler keeps a reference to `inputs`.
template <class Function>
void add_route(std::vector<route>& routes, admin_inputs& inputs, const char* method, const char* pattern,
               Function function)
{
    routes.push_back({method, pattern, [&inputs, function](api_request request) {
                          return function(inputs, std::move(request));
                      }});
}

/// The handlers keep a reference to `inputs`.
void add_contract_routes(std::vector<route>& routes, admin_inputs& inputs);
void add_backend_server_routes(std::vector<route>& routes, admin_inputs& inputs);
void add_status_routes(std::vector<route>& routes, admin_inputs& inputs);

/// 200 with the value as JSON.
http::response ok(const nlohmann::json& value);
/// Operation id and author from a body; throws document::invalid_document.
operator_action read_action(const nlohmann::json& body);

} // namespace briarfold::admin::internal
