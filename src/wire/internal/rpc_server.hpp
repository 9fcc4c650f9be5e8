/// Dispatch of JSON-RPC messages through libjsonrpccpp.
#pragma once

#include "wire/ipeer_rpc.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace briarfold::wire::internal {

/// Registry and dispatcher of JSON-RPC methods. Thread-safe. `answer` blocks while the handler runs on
/// `executor`.
class rpc_server
{
public:
    explicit rpc_server(core::asio::any_io_executor executor);
    ~rpc_server();

    void add(const std::string& name, rpc_handler handler);
    /// Returns the JSON-RPC answer to a JSON-RPC message.
    std::string answer(const std::string& message);
    /// Ends running calls with an error.
    void stop() { is_stopping_ = true; }

private:
    struct dispatcher;

    core::asio::any_io_executor executor_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    std::map<std::string, rpc_handler> handlers_;
    /// Rebuilt by each registration, since libjsonrpccpp's table must not change during a call.
    std::shared_ptr<dispatcher> dispatcher_;
};

} // namespace briarfold::wire::internal
