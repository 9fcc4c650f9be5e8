/// Takes part in the group of routers: joins, reports to the leader, follows its directory, and becomes the
/// leader when there is none.
#pragma once

#include "core/asio.hpp"
#include "directory/directory_types.hpp"
#include "edge/event_log.hpp"
#include "edge/protocol.hpp"
#include "leader/leader_types.hpp"
#include "settings/edge_settings.hpp"
#include "store/itable_store.hpp"
#include "wire/peer_network.hpp"

#include <functional>
#include <memory>

namespace briarfold::edge {

/// Tables of the platform's store.
struct store_tables
{
    /// The router's own rows: the leadership, the shared secret, and rows of assignments.
    std::shared_ptr<store::itable_store> cluster_state;
    /// The operator's configuration, in one row.
    std::shared_ptr<store::itable_store> config;
    std::string config_key = "config";
    /// Registrations of backend servers, one row each.
    std::shared_ptr<store::itable_store> registry;
};

struct member_hooks
{
    /// A new directory is in force; the update led to it.
    std::function<void(const directory::snapshot&, const directory::update&)> on_directory;
    /// Returns false when the configuration is not newer.
    std::function<bool(routes::routing_config)> on_config;
    /// Adds what this router observed.
    std::function<void(leader::router_report&)> fill_report;
    /// The network to other routers, created once the shared secret is known.
    std::function<void(std::shared_ptr<wire::peer_network>)> on_network;
};

/// Used on one thread.
class member
{
public:
    member(core::asio::any_io_executor executor, settings::edge_settings settings, const protocol& hooks,
           store_tables tables, event_log& log, member_hooks surroundings);
    ~member();

    void start();
    /// Hands over the leadership and tells the leader that this router stops.
    void begin_stop();
    /// Ends all activity at once.
    void kill();
    /// Reports at once; the answer confirms the assignments of this router.
    void report_soon();

    /// Start of the last exchange in which the leader confirmed this router's view.
    core::time_point authority() const;
    /// Whether the store has failed for long enough that no router could take over.
    bool is_store_failing() const;
    bool is_leader() const;
    /// Whether the leader was heard of within the last two seconds or so.
    bool is_connected() const;
    const directory::snapshot& directory() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
