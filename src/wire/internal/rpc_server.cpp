#include "wire/internal/rpc_server.hpp"

#include "wire/internal/future_wait.hpp"
#include "wire/internal/json_conversion.hpp"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace briarfold::wire::internal {

namespace {

namespace asio = core::asio;

/// Server connector without a socket, since messages arrive in frames. Writes the answer to the string that
/// `target` points to.
class frame_server_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* target) override
    {
        *static_cast<std::string*>(target) = response;
        return true;
    }
};

asio::awaitable<nlohmann::json> invoke(rpc_handler handler, std::string from, nlohmann::json arguments)
{
    co_return co_await handler(std::move(from), std::move(arguments));
}

} // namespace

struct rpc_server::dispatcher : jsonrpc::IProcedureInvokationHandler
{
    explicit dispatcher(rpc_server& server, std::map<std::string, rpc_handler> table)
        : owner(server), handlers(std::move(table)),
          protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const auto& [name, handler] : handlers)
        {
            protocol->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                                      "from", jsonrpc::JSON_STRING, "arguments",
                                                      jsonrpc::JSON_OBJECT, nullptr));
        }
        connector.SetHandler(protocol.get());
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        const auto& handler = handlers.at(procedure.GetProcedureName());
        try
        {
            auto result = asio::co_spawn(
                owner.executor_, invoke(handler, input["from"].asString(), to_nlohmann(input["arguments"])),
                asio::use_future);
            output = to_jsoncpp(wait_for(result, owner.is_stopping_));
        }
        catch (const std::exception& failure)
        {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

    rpc_server& owner;
    std::map<std::string, rpc_handler> handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    frame_server_connector connector;
};

rpc_server::rpc_server(asio::any_io_executor executor)
    : executor_(std::move(executor)), dispatcher_(std::make_shared<dispatcher>(*this, handlers_))
{}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, rpc_handler handler)
{
    const std::scoped_lock lock(mutex_);
    handlers_[name] = std::move(handler);
    dispatcher_ = std::make_shared<dispatcher>(*this, handlers_);
}

std::string rpc_server::answer(const std::string& message)
{
    std::shared_ptr<dispatcher> current;
    {
        const std::scoped_lock lock(mutex_);
        current = dispatcher_;
    }
    std::string text;
    current->connector.OnRequest(message, &text);
    return text;
}

} // namespace briarfold::wire::internal
