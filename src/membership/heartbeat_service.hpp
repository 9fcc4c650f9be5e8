/// Heartbeats between routers, detection of failed routers, and detection that this router is cut off.
#pragma once

#include "core/asio.hpp"
#include "membership/membership.hpp"
#include "membership/udp_channel.hpp"
#include "store/itable_store.hpp"

#include <atomic>
#include <functional>

namespace briarfold::membership {

/// Callbacks of the ownership protocol for heartbeats and vouchers. Called on the receiving thread; must not
/// block.
struct heartbeat_hooks
{
    /// Returns the rows that the voucher for `from` does not cover, each with the highest fenced epoch.
    std::function<std::map<std::string, std::int64_t>(const std::string& from)> on_heartbeat;
    std::function<void(const std::string& from, std::int64_t seq,
                       const std::map<std::string, std::int64_t>& fenced)>
        on_voucher;
};

/// Thread-safe. The objects passed to the constructor must outlive it.
class heartbeat_service
{
public:
    heartbeat_service(core::asio::any_io_executor executor, udp_channel& channel, membership& members,
                      replica::ireplica& rows, store::itable_store& store);

    void set_hooks(heartbeat_hooks hooks) { hooks_ = std::move(hooks); }
    /// Sets the hook that is called with true when this router becomes cut off and with false when it is
    /// connected again. A router that is cut off must not accept requests.
    void on_cut_off(std::function<void(bool)> hook) { cut_off_hook_ = std::move(hook); }

    /// Starts receiving packets; set the hooks before. `run` sends probes, evaluates timeouts and removes
    /// rows of lost routers until `stop`.
    void start();
    core::asio::awaitable<void> run();
    void stop();

    /// Sends a heartbeat to a router; does nothing when the router has no row.
    void send_heartbeat(const std::string& to, std::int64_t seq);
    /// Tells all other live routers that this one lost contact with `instance_id`, and probes that router
    /// unless a packet from it arrived recently. If the probe times out, the router leaves the live view.
    void suspect(const std::string& instance_id);
    /// Whether no packet from a peer and no confirmation of the rows arrived for 2 s although other routers
    /// are known.
    bool is_cut_off() const { return is_cut_off_; }

private:
    void receive(const heartbeat_packet& packet, const http::endpoint& from);
    void probe(const std::string& instance_id);
    void expire_probes(core::time_point now);
    void update_cut_off(core::time_point now);
    std::vector<std::string> removable_routers(core::time_point now) const;
    core::asio::awaitable<void> remove_row(std::string instance_id);
    heartbeat_packet make_packet(packet_kind kind, std::int64_t seq) const;

    core::asio::any_io_executor executor_;
    udp_channel& channel_;
    membership& members_;
    replica::ireplica& rows_;
    store::itable_store& store_;
    heartbeat_hooks hooks_;
    std::function<void(bool)> cut_off_hook_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_cut_off_{false};
    std::atomic<std::int64_t> last_contact_ms_;
    mutable std::mutex mutex_;
    /// Probed routers that have not answered yet, with the time of the probe.
    std::map<std::string, core::time_point> pending_probes_;
    std::map<std::string, core::time_point> last_heard_;
};

} // namespace briarfold::membership
