#include "admin/internal/api_routes.hpp"
#include "trace/otlp.hpp"

#include <algorithm>
#include <ranges>

namespace briarfold::admin::internal {

namespace {

namespace asio = core::asio;

constexpr std::size_t request_part = 2;
/// More customers need a question for each of them; a report would otherwise exceed the frame size.
constexpr std::size_t most_customers = 200;

/// In-force state of each contract on all routers.
nlohmann::json contract_states(const contracts::contract_table& table,
                               const std::vector<std::string>& customers,
                               const std::vector<router_report>& reports)
{
    auto list = nlohmann::json::array();
    for (const auto& customer : customers)
    {
        const auto version = table.contracts.at(customer)->info.version;
        auto item = to_json(check_in_force(reports, customer, version));
        item["customer"] = customer;
        item["version"] = version;
        list.push_back(std::move(item));
    }
    return list;
}

asio::awaitable<http::response> show_status(admin_inputs& inputs, api_request)
{
    const auto table = inputs.contracts.current();
    std::vector<std::string> customers;
    std::ranges::copy(table->contracts | std::views::keys | std::views::take(most_customers),
                      std::back_inserter(customers));
    const auto reports = co_await inputs.ask_routers(customers, peer_timeout);
    nlohmann::json answer;
    answer["routers"] = nlohmann::json::array();
    std::ranges::transform(reports, std::back_inserter(answer["routers"]),
                           [](const router_report& report) { return to_json(report); });
    answer["contracts"] = contract_states(*table, customers, reports);
    answer["contracts_total"] = table->contracts.size();
    co_return ok(answer);
}

asio::awaitable<http::response> show_settings(admin_inputs& inputs, api_request)
{
    co_return ok(inputs.settings);
}

asio::awaitable<http::response> show_metrics(admin_inputs& inputs, api_request)
{
    http::response answer(200);
    answer.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    answer.body = inputs.metrics.to_prometheus();
    co_return answer;
}

asio::awaitable<http::response> show_trace(admin_inputs& inputs, api_request request)
{
    const auto& request_id = request.path[request_part];
    const auto spans = co_await inputs.find_spans(request_id, peer_timeout);
    nlohmann::json answer;
    answer["request_id"] = request_id;
    answer["spans"] = nlohmann::json::array();
    std::ranges::transform(spans, std::back_inserter(answer["spans"]),
                           [](const trace::span& item) { return trace::to_json(item); });
    co_return ok(answer);
}

} // namespace

void add_status_routes(std::vector<route>& routes, admin_inputs& inputs)
{
    const auto add = [&](const char* method, const char* pattern, auto function) {
        add_route(routes, inputs, method, pattern, function);
    };
    add("GET", "/v1/status", show_status);
    add("GET", "/v1/settings", show_settings);
    add("GET", "/v1/traces/*", show_trace);
    add("GET", "/metrics", show_metrics);
}

} // namespace briarfold::admin::internal
