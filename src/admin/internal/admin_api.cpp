#include "admin/admin_api.hpp"

#include "admin/internal/api_routes.hpp"
#include "document/field_reader.hpp"

#include <openssl/crypto.h>

namespace briarfold::admin {

namespace {

namespace asio = core::asio;

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned unavailable = 503;
constexpr unsigned internal_error = 500;
constexpr std::string_view scheme = "Bearer ";

/// Compares without a timing difference that would give the token away byte by byte.
bool has_token(const http::request& message, const std::string& token)
{
    const auto value = http::find_header(message.headers, "Authorization");
    if (token.empty() || !value.starts_with(scheme))
    {
        return false;
    }
    const auto given = value.substr(scheme.size());
    return given.size() == token.size() && CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

/// The registry may be read after the API has gone, so the hooks hold nothing of it.
void add_gauges(const admin_inputs& inputs)
{
    auto& contracts = inputs.contracts;
    inputs.metrics.computed_gauge(
        "briarfold_contracts_revision", "Table revision up to which contracts are in force.", {},
        [&contracts] { return static_cast<double>(contracts.current()->revision); });
    inputs.metrics.computed_gauge(
        "briarfold_contracts_unconfirmed_ms", "Time since the copy of the table was known to be current.", {},
        [&contracts] { return static_cast<double>(contracts.unconfirmed_for().ms); });
    inputs.metrics.computed_gauge(
        "briarfold_contracts_rejected", "Contracts whose newest version this router cannot read.", {},
        [&contracts] { return static_cast<double>(contracts.current()->rejected.size()); });
    inputs.metrics.computed_gauge(
        "briarfold_ready", "1 when the router takes traffic.", {},
        [reasons = inputs.not_ready_reasons] { return reasons().empty() ? 1.0 : 0.0; });
}

nlohmann::json fields_json(const document::invalid_document& failure)
{
    nlohmann::json details;
    details["fields"] = nlohmann::json::array();
    for (const auto& item : failure.errors())
    {
        details["fields"].push_back(
            {{"field", item.field}, {"value", item.value}, {"allowed", item.allowed}});
    }
    return details;
}

} // namespace

struct admin_api::state
{
    explicit state(admin_inputs given) : inputs(std::move(given))
    {
        internal::add_contract_routes(routes, inputs);
        internal::add_backend_server_routes(routes, inputs);
        internal::add_status_routes(routes, inputs);
    }

    std::optional<http::response> probe(const http::request& message) const;
    asio::awaitable<http::response> dispatch(http::request message);

    admin_inputs inputs;
    std::vector<internal::route> routes;
};

admin_api::admin_api(admin_inputs inputs) : state_(std::make_unique<state>(std::move(inputs)))
{
    add_gauges(state_->inputs);
}

admin_api::~admin_api() = default;

std::optional<http::response> admin_api::state::probe(const http::request& message) const
{
    if (message.method != "GET")
    {
        return std::nullopt;
    }
    if (message.target == "/live")
    {
        return internal::ok({{"is_live", true}});
    }
    if (message.target == "/ready")
    {
        const auto reasons = inputs.not_ready_reasons();
        return reasons.empty() ? internal::ok({{"is_ready", true}})
                               : internal::error_response(unavailable, "not ready",
                                                          {{"is_ready", false}, {"reasons", reasons}});
    }
    return std::nullopt;
}

asio::awaitable<http::response> admin_api::state::dispatch(http::request message)
{
    auto request = internal::parse_request(message);
    const auto& found = internal::find_route(routes, request);
    co_return co_await found.handle(std::move(request));
}

asio::awaitable<http::response> admin_api::handle(http::request message, http::endpoint)
{
    if (const auto answer = state_->probe(message))
    {
        co_return *answer;
    }
    if (!has_token(message, state_->inputs.token))
    {
        state_->inputs.metrics
            .counter("briarfold_admin_unauthorized_total", "Admin requests without a valid token.")
            .add();
        auto refusal = internal::error_response(unauthorized, "a valid bearer token is required");
        refusal.headers.emplace_back("WWW-Authenticate", "Bearer");
        co_return refusal;
    }
    http::response failed;
    try
    {
        co_return co_await state_->dispatch(std::move(message));
    }
    catch (const internal::api_error& failure)
    {
        failed = internal::error_response(failure.status(), failure.what());
    }
    catch (const document::invalid_document& failure)
    {
        failed = internal::error_response(bad_request, failure.what(), fields_json(failure));
    }
    catch (const store::store_error& failure)
    {
        failed = internal::error_response(unavailable, failure.what());
    }
    catch (const std::exception& failure)
    {
        failed = internal::error_response(internal_error, failure.what());
    }
    co_return failed;
}

http::handler admin_api::handler()
{
    return [this](http::request message, http::endpoint caller) {
        return handle(std::move(message), std::move(caller));
    };
}

namespace internal {

http::response ok(const nlohmann::json& value)
{
    constexpr unsigned status_ok = 200;
    return http::json_response(status_ok,
                               value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

operator_action read_action(const nlohmann::json& body)
{
    constexpr std::size_t longest_id = 128;
    document::field_reader reader(body);
    operator_action action(reader.text("operation_id", document::token_rule(1, longest_id)),
                           reader.text("author", document::token_rule(1, longest_id)));
    for (const auto& [name, value] : body.items())
    {
        reader.allow(name);
    }
    reader.finish("action");
    return action;
}

} // namespace internal

} // namespace briarfold::admin
