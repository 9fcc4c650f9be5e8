/// The live view: routers with a row in the replica, less those under suspicion.
#pragma once

#include "core/clock.hpp"
#include "membership/imembership.hpp"
#include "replica/ireplica.hpp"

#include <map>
#include <mutex>

namespace briarfold::membership {

/// Row of a router, `router/<instance id>`.
std::string row_key(const std::string& instance_id);
nlohmann::json to_json(const router_info& value);
/// Throws core::error.
router_info parse_router(const nlohmann::json& value);

/// Thread-safe. Registers itself for changes of the replica, which outlives it.
class membership : public imembership
{
public:
    membership(router_info self, replica::ireplica& rows);

    const router_info& self() const override { return self_; }
    live_routers live() const override;
    void report_unreachable(const std::string& instance_id) override;
    void on_change(std::function<void(const live_routers&)> hook) override;

    /// A packet or an answer of the router arrived.
    void heard_from(const std::string& instance_id);
    /// Suspected routers that still have a row, with the time at which the suspicion began. They are sent
    /// heartbeats so that a false suspicion ends.
    std::map<std::string, core::time_point> suspected() const;
    /// All routers with a row, suspected ones included, without this one.
    live_routers others() const;

private:
    void rebuild(const std::shared_ptr<const replica::snapshot>& rows);
    void publish();

    router_info self_;
    mutable std::mutex mutex_;
    std::map<std::string, router_info> known_;
    std::map<std::string, core::time_point> suspects_;
    live_routers live_;
    live_routers others_;
    std::vector<std::function<void(const live_routers&)>> hooks_;
};

} // namespace briarfold::membership
