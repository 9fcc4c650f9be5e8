/// UDP socket for packets between routers.
#pragma once

#include "core/asio.hpp"
#include "http/http_types.hpp"
#include "membership/heartbeat_packet.hpp"

#include <array>
#include <functional>
#include <memory>

namespace briarfold::membership {

/// Thread-safe.
class udp_channel
{
public:
    using receiver = std::function<void(const heartbeat_packet&, const http::endpoint& from)>;

    /// Binds the socket; port 0 selects a free port. Throws core::connection_error when the address cannot be
    /// bound.
    udp_channel(const core::asio::any_io_executor& executor, const http::endpoint& local);
    ~udp_channel();

    unsigned short port() const;
    /// Starts receiving. The receiver is called on the executor, one call at a time.
    void start(receiver on_packet);
    /// Sends without delivery guarantee: a packet that cannot be sent is dropped silently.
    void send(const heartbeat_packet& packet, const http::endpoint& to);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::membership
