/// One edge router: entry, front, member and their HTTP servers, on one thread.
#pragma once

#include "core/asio.hpp"
#include "edge/member.hpp"
#include "edge/protocol.hpp"
#include "settings/edge_settings.hpp"

#include <functional>
#include <memory>

namespace briarfold::edge {

/// Router that starts on construction. After `stop` it ends when its requests are answered, or shortly before
/// the end of the grace time.
class router_node
{
public:
    router_node(core::asio::io_context& context, settings::edge_settings settings, protocol adapter,
                store_tables tables, event_log& log);
    ~router_node();

    /// Keeps serving while callers and the leader switch to other routers, then calls `on_done`.
    void stop(std::function<void()> on_done);
    /// Ends at once, as if the machine were lost: closes all sockets and sends no answers.
    void kill();
    /// Applies the settings that can change while the router runs, and logs whether others need a restart.
    void reload(const settings::edge_settings& settings);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
