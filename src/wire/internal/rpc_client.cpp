#include "wire/internal/rpc_client.hpp"

#include "wire/internal/json_conversion.hpp"
#include "wire/ipeer_rpc.hpp"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

// libjsonrpccpp's client headers use dynamic exception specifications, which C++17 removed. Its exception
// header comes first, since it uses `throw()`, which is still valid.
#define throw(x) noexcept(false)
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#undef throw

#include <exception>

namespace briarfold::wire::internal {

namespace {

/// Client connector over frames. The compiled library terminates the process for any exception but its own,
/// so the connector stores other exceptions for the caller to rethrow.
class frame_client_connector : public jsonrpc::IClientConnector
{
public:
    explicit frame_client_connector(const rpc_transport& transport) : transport_(transport) {}

    void SendRPCMessage(const std::string& message, std::string& result) noexcept(false) override
    {
        try
        {
            result = transport_(message);
        }
        catch (const std::exception& failure)
        {
            failure_ = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, failure.what());
        }
    }

    const std::exception_ptr& failure() const { return failure_; }

private:
    const rpc_transport& transport_;
    std::exception_ptr failure_;
};

} // namespace

nlohmann::json call_blocking(const rpc_transport& transport, const std::string& peer,
                             const std::string& method, const std::string& from,
                             const nlohmann::json& arguments)
{
    frame_client_connector connector(transport);
    jsonrpc::Client client(connector);
    Json::Value parameters;
    parameters["from"] = from;
    parameters["arguments"] = to_jsoncpp(arguments);
    try
    {
        return to_nlohmann(client.CallMethod(method, parameters));
    }
    catch (const jsonrpc::JsonRpcException& failure)
    {
        if (connector.failure())
        {
            std::rethrow_exception(connector.failure());
        }
        throw rpc_error(method, peer, failure.what());
    }
}

} // namespace briarfold::wire::internal
