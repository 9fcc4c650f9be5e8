/// One JSON-RPC call through libjsonrpccpp.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace briarfold::wire::internal {

/// Function that sends a JSON-RPC message to the peer and blocks for the answer. Throws on transport
/// failures.
using rpc_transport = std::function<std::string(const std::string& message)>;

/// Calls a method and blocks until the answer arrives. Throws rpc_error, or the exception of the transport.
nlohmann::json call_blocking(const rpc_transport& transport, const std::string& peer,
                             const std::string& method, const std::string& from,
                             const nlohmann::json& arguments);

} // namespace briarfold::wire::internal
