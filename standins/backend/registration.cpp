#include "standins/backend/registration.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"
#include "http/client_connection.hpp"

#include <optional>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using nlohmann::json;

constexpr core::duration request_timeout{2000};
constexpr std::chrono::milliseconds retry_interval{200};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

/// The write that is needed, given the answer to the read; nothing when the row is already right.
std::optional<json> needed_write(const ownership::backend_server& server, const http::response& held)
{
    const auto key = "backend-server/" + server.id;
    if (held.status == status_not_found)
    {
        return json{{"key", key}, {"expected_version", 0}, {"value", ownership::to_json(server)}};
    }
    const auto row = json::parse(held.body);
    auto value = row.at("value");
    if (value.at("address") == http::to_string(server.address) && value.at("intent") != "stopped")
    {
        return std::nullopt;
    }
    value["address"] = http::to_string(server.address);
    if (value.at("intent") == "stopped")
    {
        value["intent"] = "joining";
    }
    return json{{"key", key}, {"expected_version", row.at("version")}, {"value", value}};
}

http::request transaction(const json& write)
{
    const json body = {{"operation_id", core::make_id("register")}, {"writes", json::array({write})}};
    return http::request("POST", "/table/transactions", {{"Content-Type", "application/json"}}, body.dump());
}

/// Returns whether the row is known to be right.
asio::awaitable<bool> try_register(const http::endpoint& platform, const ownership::backend_server& server)
{
    http::request read("GET", "/table/rows?key=backend-server/" + server.id);
    const auto held = co_await http::fetch(platform, std::move(read), request_timeout);
    if (held.status != status_ok && held.status != status_not_found)
    {
        co_return false;
    }
    const auto write = needed_write(server, held);
    if (!write)
    {
        co_return true;
    }
    const auto written = co_await http::fetch(platform, transaction(*write), request_timeout);
    co_return written.status == status_ok;
}

} // namespace

asio::awaitable<void> register_backend(http::endpoint platform, ownership::backend_server server)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        bool is_done = false;
        try
        {
            is_done = co_await try_register(platform, server);
        }
        catch (const core::error&)
        {
            // The platform is not reachable yet; the loop tries again.
        }
        if (is_done)
        {
            co_return;
        }
        timer.expires_after(retry_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace briarfold::standins
