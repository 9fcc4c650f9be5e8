/// Connections between routers: one multiplexed TCP connection to each peer, opened on demand and reopened
/// after a loss, and a server that accepts connections from peers.
#pragma once

#include "http/transfer_budget.hpp"
#include "wire/iforwarder.hpp"
#include "wire/ipeer_rpc.hpp"

#include <functional>
#include <memory>
#include <string>

namespace briarfold::wire {

struct peer_settings
{
    peer_settings() = default;
    peer_settings(http::endpoint listen_address, std::string shared_token, std::string own_instance_id)
        : listen(std::move(listen_address)), token(std::move(shared_token)),
          instance_id(std::move(own_instance_id))
    {}

    http::endpoint listen;
    std::string token;
    std::string instance_id;
    /// Timeout for the answer to a ping. Instances with a small share of a processor need a longer one.
    core::duration pong_limit{350};
    /// Frames and forwarded requests count in it while they are held. Only for networks on one thread.
    std::shared_ptr<http::transfer_budget> budget;
};

/// Handler of one forwarded request. It reports failures in the result; an exception becomes outcome unknown.
using forward_handler = std::function<core::asio::awaitable<forward_result>(
    forward_request, std::shared_ptr<core::cancellation>)>;

/// Handler that answers one message from the router `from`. After an exception the sender gets no answer.
using message_handler = std::function<core::asio::awaitable<std::string>(std::string from, std::string text)>;

class peer_network : public ipeer_rpc, public iforwarder
{
public:
    /// Starts to listen; port 0 picks a free port. Throws core::connection_error when the address is in use.
    peer_network(const core::asio::any_io_executor& executor, peer_settings settings);
    /// Closes all connections. Pending calls fail with link_error.
    ~peer_network() override;

    unsigned short port() const;
    /// Results of forwarded requests that are not yet handed to the operating system.
    std::size_t unsent_results() const;
    /// Sets the handler of forwarded requests. Until then they are refused as not run.
    void on_forward(forward_handler handler);

    /// Sets the handler of messages, which runs on the I/O executor. Until then messages are not answered.
    void on_message(message_handler handler);
    /// Sends `text` and returns the answer of the peer's message handler. Throws link_error or
    /// core::timeout_error.
    core::asio::awaitable<std::string> send_message(http::endpoint peer, std::string text,
                                                    core::duration timeout);

    void register_method(std::string name, rpc_handler handler) override;
    core::asio::awaitable<nlohmann::json> call(http::endpoint peer, std::string method,
                                               nlohmann::json parameters, core::duration timeout) override;
    core::asio::awaitable<forward_result> forward(http::endpoint peer, forward_request request,
                                                  std::shared_ptr<core::cancellation> cancel) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::wire
