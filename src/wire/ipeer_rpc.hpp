/// JSON-RPC between routers, carried in frames of the data connection.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace briarfold::wire {

/// The peer's method failed or is not registered; the call arrived. Other failures are core::timeout_error
/// and core::connection_error, after which nothing is known about the call.
class rpc_error : public core::error
{
public:
    using core::error::error;
};

/// Answers one call. `from` is the instance id of the caller, `parameters` an object. An exception reaches
/// the caller as rpc_error. Runs on the I/O executor and may wait.
using rpc_handler =
    std::function<core::asio::awaitable<nlohmann::json>(std::string from, nlohmann::json parameters)>;

class ipeer_rpc
{
public:
    virtual ~ipeer_rpc() = default;

    /// Methods are registered before the first call arrives; a second registration replaces the first.
    /// Calls to one method may run at the same time.
    virtual void register_method(std::string name, rpc_handler handler) = 0;
    /// Calls `method` at the router whose peer port is `peer` and returns its result. Thread-safe.
    /// Throws rpc_error, core::timeout_error after `timeout`, or core::connection_error.
    virtual core::asio::awaitable<nlohmann::json> call(http::endpoint peer, std::string method,
                                                       nlohmann::json parameters, core::duration timeout) = 0;
};

} // namespace briarfold::wire
