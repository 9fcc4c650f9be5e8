/// Live view built from the router rows of the replica, without suspected routers.
#pragma once

#include "core/clock.hpp"
#include "membership/imembership.hpp"
#include "replica/ireplica.hpp"

#include <map>
#include <mutex>

namespace briarfold::membership {

/// Returns the key of a router's row, `router/<instance id>`.
std::string row_key(const std::string& instance_id);
nlohmann::json to_json(const router_info& value);
/// Throws core::error when a field is missing or has the wrong type.
router_info parse_router(const nlohmann::json& value);

/// Thread-safe. Subscribes to changes of the replica, which must outlive it.
class membership : public imembership
{
public:
    membership(router_info self, replica::ireplica& rows);

    const router_info& self() const override { return self_; }
    live_routers live() const override;
    void report_unreachable(const std::string& instance_id) override;
    void on_change(std::function<void(const live_routers&)> hook) override;

    /// Ends the suspicion of a router from which a packet or an answer arrived.
    void report_reachable(const std::string& instance_id);
    /// Returns the suspected routers that still have a row, with the time at which the suspicion began. They
    /// still receive probes, so that a false suspicion ends.
    std::map<std::string, core::time_point> suspected() const;
    /// Returns all other routers that have a row, including suspected ones.
    live_routers others() const;

private:
    void rebuild(const std::shared_ptr<const replica::snapshot>& rows);
    void publish();

    router_info self_;
    mutable std::mutex mutex_;
    std::map<std::string, router_info> registered_;
    std::map<std::string, core::time_point> suspects_;
    live_routers live_;
    live_routers others_;
    std::vector<std::function<void(const live_routers&)>> hooks_;
};

} // namespace briarfold::membership
