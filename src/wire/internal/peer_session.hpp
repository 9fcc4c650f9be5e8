/// The server side of one connection from a peer.
#pragma once

#include "core/asio.hpp"
#include "wire/internal/codec.hpp"
#include "wire/peer_network.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace briarfold::wire::internal {

/// Token and callbacks that a router gives to its sessions. The callbacks stay valid while a session exists.
struct session_context
{
    std::string token;
    /// Results of all sessions that are not yet written.
    std::shared_ptr<std::atomic<std::size_t>> unsent_results;
    std::function<std::shared_ptr<const forward_handler>()> forward;
    /// Answers a JSON-RPC message; calls `reply` once, on another thread.
    std::function<void(std::string message, std::function<void(std::string)> reply)> rpc;
    std::function<std::shared_ptr<const message_handler>()> message;
    std::shared_ptr<http::transfer_budget> budget;
};

class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    peer_session(core::asio::ip::tcp::socket socket, std::shared_ptr<const session_context> context);

    /// Serves the peer until the connection ends. Runs on the executor of the socket, a strand.
    core::asio::awaitable<void> run();
    /// Closes the connection. Thread-safe.
    void close();

private:
    /// Handles one frame. Throws core::connection_error when the first frame does not carry the token.
    void handle_frame(frame message);
    core::asio::awaitable<void> serve_forward(std::uint64_t id, forward_request request,
                                              std::shared_ptr<core::cancellation> cancel);
    void serve_rpc(std::uint64_t id, std::string message);
    core::asio::awaitable<void> serve_message(std::uint64_t id, std::string text);
    void flush();
    /// Counts the buffers of the connection in the budget.
    void count_buffers();
    void end();

    core::asio::ip::tcp::socket socket_;
    std::shared_ptr<const session_context> context_;
    frame_reader reader_;
    std::string peer_instance_;
    bool is_authenticated_ = false;
    bool is_ended_ = false;
    bool is_writing_ = false;
    std::string outbox_;
    std::string writing_;
    /// Memory of the buffers; empty after the end.
    std::optional<http::held_message> held_;
    std::size_t results_in_outbox_ = 0;
    std::size_t results_in_writing_ = 0;
    std::map<std::uint64_t, std::shared_ptr<core::cancellation>> in_flight_;
};

} // namespace briarfold::wire::internal
