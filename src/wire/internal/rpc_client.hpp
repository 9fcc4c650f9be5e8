/// One JSON-RPC call through libjsonrpccpp.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace briarfold::wire::internal {

/// Carries a JSON-RPC message to the peer and returns its answer; blocks. Throws on transport failures.
using rpc_transport = std::function<std::string(const std::string& message)>;

/// Blocks until the answer arrived. Throws rpc_error, or what the transport threw.
nlohmann::json call_blocking(const rpc_transport& transport, const std::string& peer,
                             const std::string& method, const std::string& from,
                             const nlohmann::json& arguments);

} // namespace briarfold::wire::internal
