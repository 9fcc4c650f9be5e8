/// HTTP admin API of a router. docs/OPERATIONS.md lists the requests.
#pragma once

#include "admin/backend_server_admin.hpp"
#include "admin/router_report.hpp"
#include "contracts/contract_store.hpp"
#include "contracts/icontracts.hpp"
#include "core/asio.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"
#include "ownership/iownership.hpp"
#include "trace/trace_types.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarfold::admin {

/// Everything the API needs from the router. The references must outlive the API.
struct admin_inputs
{
    /// Required in `Authorization: Bearer`; an empty token refuses every request.
    std::string token;
    /// Effective settings with tokens masked.
    nlohmann::json settings;
    contracts::icontracts& contracts;
    contracts::contract_store& contract_store;
    backend_server_admin& backend_servers;
    metrics::registry& metrics;
    /// The newest ownership map; may be null before the first one.
    std::function<std::shared_ptr<const ownership::iownership_map>()> map;
    /// One report for each router; see cluster_view::ask_all.
    std::function<core::asio::awaitable<std::vector<router_report>>(std::vector<std::string> customers,
                                                                    core::duration timeout)>
        ask_routers;
    /// Spans of a request on all routers; see cluster_view::find_spans.
    std::function<core::asio::awaitable<std::vector<trace::span>>(std::string request_id,
                                                                  core::duration timeout)>
        find_spans;
    /// Reasons for which the router is not ready; empty when it is.
    std::function<std::vector<std::string>()> not_ready_reasons;
};

/// Thread-safe. `/live` and `/ready` need no token; everything else does.
class admin_api
{
public:
    explicit admin_api(admin_inputs inputs);
    ~admin_api();

    core::asio::awaitable<http::response> handle(http::request message, http::endpoint caller);
    /// For http::server; the API must outlive the server.
    http::handler handler();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briarfold::admin
