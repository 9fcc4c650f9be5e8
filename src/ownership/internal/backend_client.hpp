/// HTTP client of a controller for its backend servers. docs/design.md section 5.2 describes the messages.
#pragma once

#include "core/asio.hpp"
#include "ownership/internal/protocol_types.hpp"
#include "store/connection_pool.hpp"

#include <mutex>

namespace briarfold::ownership::internal {

/// Returns the body of `POST /grant`.
nlohmann::json grant_body(const grant_request& request, const std::string& controller);
/// Throws core::connection_error when the body is not JSON or lacks a field.
grant_reply parse_reply(const std::string& body);

/// Thread-safe.
class backend_client
{
public:
    backend_client(core::asio::any_io_executor executor, std::string controller);

    /// Throws core::error.
    core::asio::awaitable<grant_reply> exchange(grant_request request);
    core::asio::awaitable<bool> is_alive(http::endpoint address, bool checks_grants);
    core::asio::awaitable<void> send_lifecycle_order(lifecycle_order request);

private:
    std::shared_ptr<store::connection_pool> pool_for(const http::endpoint& address);

    core::asio::any_io_executor executor_;
    std::string controller_;
    std::mutex mutex_;
    std::map<http::endpoint, std::shared_ptr<store::connection_pool>> pools_;
};

} // namespace briarfold::ownership::internal
