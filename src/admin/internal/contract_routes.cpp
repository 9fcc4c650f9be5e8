#include "admin/internal/api_routes.hpp"
#include "document/field_reader.hpp"

#include <algorithm>

namespace briarfold::admin::internal {

namespace {

namespace asio = core::asio;

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned unavailable = 503;
constexpr std::size_t customer_part = 2;

nlohmann::json to_json(const contracts::contract_version& version)
{
    auto value = to_json(version.info);
    value["customer"] = version.contract.customer();
    value["document"] = to_json(version.contract);
    return value;
}

/// How sure this router is of what it shows.
void add_copy_state(const admin_inputs& inputs, nlohmann::json& value)
{
    value["revision"] = inputs.contracts.current()->revision;
    value["unconfirmed_ms"] = inputs.contracts.unconfirmed_for().ms;
    value["is_confirmed"] = inputs.contracts.unconfirmed_for() < contracts::confirmation_bound;
}

contracts::contract_pointer find_contract(const admin_inputs& inputs, const std::string& customer)
{
    auto found = inputs.contracts.find(customer);
    if (found.contract == nullptr)
    {
        throw api_error(found.is_certain ? not_found : unavailable,
                        found.is_certain
                            ? "there is no contract for customer " + customer
                            : "this router cannot tell whether there is a contract for " + customer);
    }
    return found.contract;
}

asio::awaitable<http::response> list_contracts(admin_inputs& inputs, api_request)
{
    const auto table = inputs.contracts.current();
    nlohmann::json answer;
    answer["contracts"] = nlohmann::json::array();
    for (const auto& [customer, version] : table->contracts)
    {
        auto item = to_json(version->info);
        item["customer"] = customer;
        answer["contracts"].push_back(std::move(item));
    }
    answer["rejected"] = nlohmann::json::object();
    for (const auto& [customer, version] : table->rejected)
    {
        answer["rejected"][customer]["version"] = version.version;
        answer["rejected"][customer]["reason"] = version.reason;
    }
    add_copy_state(inputs, answer);
    co_return ok(answer);
}

asio::awaitable<http::response> show_contract(admin_inputs& inputs, api_request request)
{
    auto answer = to_json(*find_contract(inputs, request.path[customer_part]));
    add_copy_state(inputs, answer);
    co_return ok(answer);
}

asio::awaitable<http::response> show_status(admin_inputs& inputs, api_request request)
{
    const auto& customer = request.path[customer_part];
    std::int64_t version = 0;
    if (request.query.contains("version"))
    {
        version = std::atoll(request.query.at("version").c_str());
    }
    else
    {
        version = find_contract(inputs, customer)->info.version;
    }
    std::vector<std::string> customers{customer};
    const auto reports = co_await inputs.ask_routers(customers, peer_timeout);
    auto answer = to_json(check_in_force(reports, customer, version));
    answer["customer"] = customer;
    answer["version"] = version;
    co_return ok(answer);
}

nlohmann::json changes_json(const std::vector<contracts::field_change>& changes)
{
    auto list = nlohmann::json::array();
    for (const auto& change : changes)
    {
        list.push_back({{"field", change.field}, {"before", change.before}, {"after", change.after}});
    }
    return list;
}

nlohmann::json find_document(const contracts::version_history& history, const std::string& version)
{
    const auto found = std::ranges::find(history.entries, std::atoll(version.c_str()),
                                         [](const auto& entry) { return entry.info.version; });
    if (found == history.entries.end())
    {
        throw api_error(not_found, "there is no version " + version + " in the history");
    }
    return found->document;
}

/// The difference between two versions of the history.
asio::awaitable<http::response> diff_versions(admin_inputs& inputs, api_request request)
{
    const auto history = co_await inputs.contract_store.history(request.path[customer_part], store_timeout);
    nlohmann::json answer;
    answer["changes"] = changes_json(contracts::diff(find_document(history, request.parameter("from")),
                                                     find_document(history, request.parameter("to"))));
    co_return ok(answer);
}

/// What applying the document in the body would change.
asio::awaitable<http::response> diff_document(admin_inputs& inputs, api_request request)
{
    const auto& customer = request.path[customer_part];
    const auto wanted = contracts::contract::parse(request.json_body(), "contract " + customer);
    const auto held = inputs.contracts.find(customer).contract;
    nlohmann::json answer;
    answer["version"] = held ? held->info.version : 0;
    answer["changes"] = changes_json(contracts::diff(
        held ? contracts::to_json(held->contract) : nlohmann::json::object(), contracts::to_json(wanted)));
    co_return ok(answer);
}

asio::awaitable<http::response> show_history(admin_inputs& inputs, api_request request)
{
    const auto history = co_await inputs.contract_store.history(request.path[customer_part], store_timeout);
    nlohmann::json answer;
    answer["is_complete"] = history.is_complete;
    answer["versions"] = nlohmann::json::array();
    for (const auto& entry : history.entries)
    {
        auto item = to_json(entry.info);
        item["document"] = entry.document;
        answer["versions"].push_back(std::move(item));
    }
    co_return ok(answer);
}

contracts::edit read_edit(const api_request& request)
{
    const auto body = request.json_body();
    const auto action = read_action(body);
    document::field_reader reader(body);
    constexpr std::int64_t most_versions = 1000000000000;
    contracts::edit wish(body.value("document", nlohmann::json()), action.author,
                         reader.integer("expected_version", 0, most_versions), action.operation_id);
    for (const auto* name : {"document", "author", "operation_id"})
    {
        reader.allow(name);
    }
    reader.finish("edit");
    const auto customer =
        wish.document.is_object() ? wish.document.value("customer", nlohmann::json()) : nlohmann::json();
    if (customer != request.path[customer_part])
    {
        throw api_error(bad_request,
                        "the document's customer " + customer.dump() + " is not the one in the path");
    }
    return wish;
}

/// The trim is housekeeping; the edit has committed whether it succeeds or not.
asio::awaitable<void> trim(admin_inputs& inputs, std::string customer)
{
    auto& failures = inputs.metrics.counter("briarfold_contract_trim_failures_total",
                                            "Contract logs that could not be moved to the object store.");
    try
    {
        co_await inputs.contract_store.trim(customer, store_timeout);
    }
    catch (const std::exception&)
    {
        failures.add();
    }
}

asio::awaitable<http::response> apply_contract(admin_inputs& inputs, api_request request)
{
    const auto customer = request.path[customer_part];
    const auto wish = read_edit(request);
    const auto result = co_await inputs.contract_store.apply(wish, store_timeout);
    inputs.metrics
        .counter("briarfold_contract_edits_total", "Contract edits by outcome.",
                 {{"outcome", to_string(result.status)}})
        .add();
    auto details = to_json(result.info);
    details["customer"] = customer;
    details["status"] = to_string(result.status);
    details["revision"] = result.revision;
    if (result.status == contracts::edit_status::conflict)
    {
        co_return error_response(conflict, result.reason, details);
    }
    if (result.status == contracts::edit_status::unknown)
    {
        co_return error_response(unavailable, result.reason + "; repeat with the same operation id", details);
    }
    co_await trim(inputs, customer);
    co_return ok(details);
}

} // namespace

void add_contract_routes(std::vector<route>& routes, admin_inputs& inputs)
{
    const auto add = [&](const char* method, const char* pattern, auto function) {
        add_route(routes, inputs, method, pattern, function);
    };
    add("GET", "/v1/contracts", list_contracts);
    add("GET", "/v1/contracts/*", show_contract);
    add("PUT", "/v1/contracts/*", apply_contract);
    add("GET", "/v1/contracts/*/status", show_status);
    add("GET", "/v1/contracts/*/history", show_history);
    add("GET", "/v1/contracts/*/diff", diff_versions);
    add("POST", "/v1/contracts/*/diff", diff_document);
}

} // namespace briarfold::admin::internal
