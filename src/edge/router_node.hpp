/// One edge router: entry, front, member and their servers, on one thread.
#pragma once

#include "core/asio.hpp"
#include "edge/member.hpp"
#include "edge/protocol.hpp"
#include "settings/edge_settings.hpp"

#include <functional>
#include <memory>

namespace briarfold::edge {

/// Starts at construction; ends when `stop` was called and its requests are answered, or at the end of the
/// grace time.
class router_node
{
public:
    router_node(core::asio::io_context& context, settings::edge_settings settings, protocol hooks,
                store_tables tables, event_log& log);
    ~router_node();

    /// Serves on while callers and the leader turn to other routers, then calls `on_done`.
    void stop(std::function<void()> on_done);
    /// Ends at once, as by the loss of the machine: closes all sockets and answers nobody.
    void kill();
    /// Takes over those settings that may change while it runs.
    void reload(const settings::edge_settings& settings);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
