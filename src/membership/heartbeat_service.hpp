/// Heartbeats, suspicion among routers, and the judgement whether this router is cut off.
#pragma once

#include "core/asio.hpp"
#include "membership/membership.hpp"
#include "membership/udp_channel.hpp"
#include "store/itable_store.hpp"

#include <atomic>
#include <functional>

namespace briarfold::membership {

/// What the ownership protocol adds to heartbeats. Called on the receiving thread; must not block.
struct heartbeat_hooks
{
    /// The rows that the voucher for `from` does not cover.
    std::function<std::map<std::string, std::int64_t>(const std::string& from)> on_heartbeat;
    std::function<void(const std::string& from, std::int64_t seq,
                       const std::map<std::string, std::int64_t>& fenced)>
        on_voucher;
};

/// Thread-safe. The other parts outlive it.
class heartbeat_service
{
public:
    heartbeat_service(core::asio::any_io_executor executor, udp_channel& channel, membership& members,
                      replica::ireplica& rows, store::itable_store& store);

    void set_hooks(heartbeat_hooks hooks) { hooks_ = std::move(hooks); }
    /// Called when the router became cut off (true) or is connected again (false). A router that was cut off
    /// must accept no requests.
    void on_cut_off(std::function<void(bool)> hook) { cut_off_hook_ = std::move(hook); }

    /// Starts to receive; set the hooks before. `run` probes and judges until `stop`.
    void start();
    core::asio::awaitable<void> run();
    void stop();

    /// Sends a heartbeat; a router without a row is ignored.
    void send_heartbeat(const std::string& to, std::int64_t seq);
    /// This router's monitor lost `instance_id`: it is asked once more, then suspected, and all live routers
    /// are told.
    void suspect(const std::string& instance_id);
    /// No packet of a peer and no confirmation of the rows for 2 s, while other routers are known.
    bool is_cut_off() const { return is_cut_off_; }

private:
    void receive(const heartbeat_packet& packet, const http::endpoint& from);
    void question(const std::string& instance_id);
    void judge_questioned(core::time_point now);
    void judge_cut_off(core::time_point now);
    std::vector<std::string> removable(core::time_point now) const;
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
    /// Routers that were asked whether they are alive, and when.
    std::map<std::string, core::time_point> questioned_;
    std::map<std::string, core::time_point> heard_;
};

} // namespace briarfold::membership
