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

/// Error of a call that reached the peer, but whose method failed or is not registered. Other failures are
/// core::timeout_error and core::connection_error, after which it is unknown whether the call ran.
class rpc_error : public core::error
{
public:
    using core::error::error;
};

/// Handler that answers one call. `from` is the instance id of the caller, `parameters` an object. An
/// exception reaches the caller as rpc_error. Runs on the I/O executor and may wait.
using rpc_handler =
    std::function<core::asio::awaitable<nlohmann::json>(std::string from, nlohmann::json parameters)>;

class ipeer_rpc
{
public:
    virtual ~ipeer_rpc() = default;

    /// Registers a method. Must precede the first call. A second registration replaces the first.
    /// Calls to one method may run at the same time.
    virtual void register_method(std::string name, rpc_handler handler) = 0;
    /// Calls `method` at the router whose peer port is `peer` and returns its result. Thread-safe.
    /// Throws rpc_error, core::timeout_error after `timeout`, or core::connection_error.
    virtual core::asio::awaitable<nlohmann::json> call(http::endpoint peer, std::string method,
                                                       nlohmann::json parameters, core::duration timeout) = 0;
};

} // namespace briarfold::wire
