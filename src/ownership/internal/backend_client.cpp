#include "ownership/internal/backend_client.hpp"

#include "core/error.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace asio = core::asio;

namespace {

constexpr core::duration order_timeout{500};
constexpr unsigned first_server_error = 500;

http::request make_post(std::string target, const nlohmann::json& body)
{
    http::request message("POST", std::move(target));
    message.headers.emplace_back("Content-Type", "application/json");
    message.body = body.dump();
    return message;
}

} // namespace

nlohmann::json grant_body(const grant_request& request, const std::string& controller)
{
    nlohmann::json body = {{"epoch", request.epoch},
                           {"nonce", request.nonce},
                           {"duration_ms", timing::grant_duration.ms},
                           {"controller", controller},
                           {"slices_version", request.slices_version}};
    if (request.slices)
    {
        auto slices = nlohmann::json::array();
        std::ranges::transform(*request.slices, std::back_inserter(slices),
                               [](const slice& item) { return to_string(item); });
        body["slices"] = std::move(slices);
    }
    return body;
}

grant_reply parse_reply(const std::string& body)
{
    try
    {
        const auto value = nlohmann::json::parse(body);
        grant_reply reply;
        reply.is_accepted = value.at("accepted");
        reply.reason = value.value("reason", "");
        reply.next_nonce = value.at("next_nonce");
        reply.incarnation = value.at("incarnation");
        reply.epoch = value.at("epoch");
        reply.slices_version = value.at("slices_version");
        reply.draining = value.at("draining");
        return reply;
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::connection_error("grant", "", failure.what());
    }
}

backend_client::backend_client(asio::any_io_executor executor, std::string controller)
    : executor_(std::move(executor)), controller_(std::move(controller))
{}

std::shared_ptr<store::connection_pool> backend_client::pool_for(const http::endpoint& address)
{
    const std::scoped_lock lock(mutex_);
    auto& pool = pools_[address];
    if (!pool)
    {
        pool = std::make_shared<store::connection_pool>(executor_, address);
    }
    return pool;
}

asio::awaitable<grant_reply> backend_client::exchange(grant_request request)
{
    const auto pool = pool_for(request.address);
    if (!request.checks_grants)
    {
        const auto answer =
            co_await pool->exchange(http::request("GET", "/health"), timing::exchange_timeout);
        if (answer.status >= first_server_error)
        {
            throw core::connection_error("health", http::to_string(request.address), "server error");
        }
        co_return grant_reply();
    }
    auto message = make_post("/grant", grant_body(request, controller_));
    const auto answer = co_await pool->exchange(std::move(message), timing::exchange_timeout);
    co_return parse_reply(answer.body);
}

asio::awaitable<bool> backend_client::is_alive(http::endpoint address, bool checks_grants)
{
    grant_request request;
    request.address = std::move(address);
    request.checks_grants = checks_grants;
    try
    {
        co_await exchange(std::move(request));
        co_return true;
    }
    catch (const core::error&)
    {
        co_return false;
    }
}

asio::awaitable<void> backend_client::send_lifecycle_order(lifecycle_order request)
{
    nlohmann::json body;
    body["epoch"] = request.epoch;
    body["operation_id"] = request.operation_id;
    auto message = make_post(request.is_stop ? "/stop" : "/drain", body);
    try
    {
        co_await pool_for(request.address)->exchange(std::move(message), order_timeout);
    }
    catch (const core::error&)
    {
        // The machine repeats the order until the row changes.
    }
}

} // namespace briarfold::ownership::internal
