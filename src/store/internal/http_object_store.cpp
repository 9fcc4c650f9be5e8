#include "store/http_object_store.hpp"

#include "store/connection_pool.hpp"
#include "store/itable_store.hpp"

namespace briarfold::store {

namespace asio = core::asio;

namespace {

constexpr unsigned status_not_found = 404;
constexpr unsigned first_failure_status = 300;

asio::awaitable<http::response> exchange(const std::shared_ptr<connection_pool>& pool, const char* step,
                                         http::request message, core::duration timeout)
{
    http::response answer;
    try
    {
        answer = co_await pool->exchange(std::move(message), timeout);
    }
    catch (const core::error& failure)
    {
        throw store_error(step, http::to_string(pool->peer()), failure.what());
    }
    if (answer.status >= first_failure_status && answer.status != status_not_found)
    {
        throw store_error(step, http::to_string(pool->peer()), "status " + std::to_string(answer.status));
    }
    co_return answer;
}

} // namespace

http_object_store::http_object_store(const asio::any_io_executor& executor, const http::endpoint& service)
    : pool_(std::make_shared<connection_pool>(executor, service))
{}

http_object_store::~http_object_store() = default;

asio::awaitable<void> http_object_store::put(std::string name, std::string content, core::duration timeout)
{
    http::request message("PUT", "/objects/" + name);
    message.body = std::move(content);
    const auto answer = co_await exchange(pool_, "object put", std::move(message), timeout);
    if (answer.status == status_not_found)
    {
        throw store_error("object put", http::to_string(pool_->peer()), "status 404");
    }
}

asio::awaitable<std::optional<std::string>> http_object_store::get(std::string name, core::duration timeout)
{
    http::request message("GET", "/objects/" + name);
    auto answer = co_await exchange(pool_, "object get", std::move(message), timeout);
    std::optional<std::string> content;
    if (answer.status != status_not_found)
    {
        content = std::move(answer.body);
    }
    co_return content;
}

} // namespace briarfold::store
