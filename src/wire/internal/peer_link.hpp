/// The client side of one connection to a peer.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"
#include "http/transfer_budget.hpp"
#include "wire/internal/codec.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarfold::wire::internal {

/// Function that appends the frame of a call. `left` is the time until the deadline at that point.
using append_call = std::function<void(std::string& out, std::uint64_t id, core::duration left)>;

/// Connection to one peer, opened on demand. All calls on `strand()`.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(const core::asio::any_io_executor& executor, http::endpoint peer, std::string hello,
              core::duration pong_timeout, std::shared_ptr<http::transfer_budget> budget = nullptr);

    const core::asio::any_io_executor& strand() const { return strand_; }
    /// Sends one call and waits for its answer until `grace` after `deadline`.
    /// Throws link_error or core::timeout_error.
    core::asio::awaitable<frame> exchange(append_call append, core::time_point deadline, core::duration grace,
                                          std::shared_ptr<core::cancellation> cancel);
    void close(const std::string& reason);

private:
    struct connection;
    struct pending;

    core::asio::awaitable<void> ensure_connected(core::duration time_left);
    core::asio::awaitable<void> run();
    core::asio::awaitable<void> read(std::shared_ptr<connection> current);
    core::asio::awaitable<void> monitor_liveness(std::shared_ptr<connection> current);
    void flush();
    void dispatch(frame message);
    void fail(const std::shared_ptr<connection>& current, const std::string& reason);
    void send_cancel(std::uint64_t id);

    core::asio::any_io_executor strand_;
    http::endpoint peer_;
    std::string hello_;
    core::duration pong_timeout_;
    std::shared_ptr<http::transfer_budget> budget_;
    std::shared_ptr<connection> connection_;
    core::asio::steady_timer connect_done_;
    bool is_connecting_ = false;
    bool is_closed_ = false;
    std::string connect_failure_;
    std::string outbox_;
    std::vector<std::shared_ptr<pending>> unsent_;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending>> pending_;
    std::uint64_t next_id_ = 0;
};

} // namespace briarfold::wire::internal
