#include "scenarios/http_call.hpp"

#include "core/error.hpp"
#include "http/client_connection.hpp"

namespace briarfold::scenarios {

namespace {

namespace asio = core::asio;
constexpr unsigned status_ok = 200;

} // namespace

http::response call(const http::endpoint& peer, http::request message, core::duration timeout)
{
    asio::io_context context;
    auto answer = asio::co_spawn(context, http::fetch(peer, std::move(message), timeout), asio::use_future);
    context.run();
    return answer.get();
}

http::response try_call(const http::endpoint& peer, http::request message, core::duration timeout)
{
    try
    {
        return call(peer, std::move(message), timeout);
    }
    catch (const core::error&)
    {
        return http::response(0);
    }
}

nlohmann::json post(const http::endpoint& peer, const std::string& target, const nlohmann::json& body)
{
    const auto answer = call(peer, {"POST", target, {{"Content-Type", "application/json"}}, body.dump()});
    if (answer.status != status_ok)
    {
        throw core::error("POST " + target, http::to_string(peer),
                          "status " + std::to_string(answer.status) + ": " + answer.body);
    }
    return nlohmann::json::parse(answer.body, nullptr, false);
}

} // namespace briarfold::scenarios
