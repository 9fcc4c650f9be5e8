/// Membership in the group of routers: joins it, reports to the leader, applies the leader's directory, and
/// becomes the leader when there is none.
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
#include <optional>
#include <set>
#include <string>

namespace briarfold::edge {

/// Tables of the platform's store.
struct store_tables
{
    /// State of the group of routers: the leadership, the shared secret, and rows of assignments.
    std::shared_ptr<store::itable_store> cluster_state;
    /// The operator's configuration, in one row.
    std::shared_ptr<store::itable_store> config;
    std::string config_key = "config";
    /// Prefix of the keys of rows in the table of the configuration, each of which evacuates the availability
    /// zone that its key names.
    std::string evacuation_prefix = "evacuated-zone/";
    /// Registrations of backend servers, one row each.
    std::shared_ptr<store::itable_store> registry;
};

struct member_callbacks
{
    /// Called when a new directory is in force, with the update that led to it.
    std::function<void(const directory::snapshot&, const directory::update&)> on_directory;
    /// Applies a configuration. Returns false when it is not newer than the one in force.
    std::function<bool(routes::routing_config)> on_config;
    /// Called when an availability zone is evacuated or returned to service.
    std::function<void()> on_evacuations;
    /// Called when a deputy tells that a backend server of this router leaves, or that its registration is
    /// gone.
    std::function<void(const leader::server_process&, bool is_gone)> on_leaving;
    /// Adds the observations of this router.
    std::function<void(leader::router_report&)> fill_report;
    /// Called with the network to other routers, which is created once the shared secret is known.
    std::function<void(std::shared_ptr<wire::peer_network>)> on_network;
    /// Memory for the messages of other routers.
    std::shared_ptr<http::transfer_budget> budget;
};

/// Not thread-safe: all calls on the executor's thread.
class member
{
public:
    member(core::asio::any_io_executor executor, settings::edge_settings settings, const protocol& adapter,
           store_tables tables, event_log& log, member_callbacks callbacks);
    ~member();

    void start();
    /// Reports to the leader that this router stops; as the leader, offers the leadership to the deputies
    /// until one has taken it.
    void begin_stop();
    /// Whether this router still leads while others go on serving. Without the store none of them can take
    /// over, and only a leader gives the backend servers of routers that stop to other fronts.
    bool is_needed_as_leader() const;
    /// Ends all activity at once.
    void kill();
    /// Requests a report at once; the answer confirms the assignments of this router.
    void request_report();

    /// Returns whether the configuration in force is recent enough to say that a route does not exist. If it
    /// is not known to be, looks for a newer one first, for at most 450 ms.
    core::asio::awaitable<bool> await_current_config();
    /// Returns the time since the configuration in force was known to be the newest one.
    core::duration config_age() const;
    /// Returns the start of the last exchange in which the leader confirmed this router's directory.
    core::time_point last_confirmation() const;
    /// Returns when the leader last proved to this router that no other one had taken the leadership.
    core::time_point last_proof() const;
    /// Whether the store has failed for long enough that no router could take over.
    bool is_store_failing() const;
    bool is_leader() const;
    /// Whether a directory is known and this router leads or has heard of the leader within 2.2 s.
    bool is_connected() const;
    /// Returns the latest era in which the store answered this router.
    std::int64_t store_era() const;
    const directory::snapshot& directory() const;
    /// Returns the evacuated availability zones.
    std::set<std::string> evacuated_zones() const;
    /// Returns when the evacuation of the zone was learned of; nothing for a zone that is in service.
    std::optional<core::time_point> evacuated_since(const std::string& zone) const;
    /// Returns the number of malformed rows and messages of evacuations so far.
    std::int64_t malformed_evacuations() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
