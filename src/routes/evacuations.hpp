/// Availability zones whose backend servers must get no requests, as decided by rows of the store. Does no
/// I/O and reads no clock. Load pattern: at one moment all requests for a zone, about a third of the load, go
/// to other zones, while the leader or the store may be slow or lost.
#pragma once

#include "core/clock.hpp"
#include "store/store_types.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace briarfold::routes {

/// State of the evacuations as far as one router knows it. States of several routers are merged by the latest
/// position of each zone, so that the order in which they arrive does not matter.
class evacuations
{
public:
    /// Whether the text can be the name of a zone in the key of a row.
    static bool is_zone_name(const std::string& text);

    /// Records that the row of the zone was written or deleted at `position`, unless a later change is known.
    /// `since` is when the evacuation was learned of, or the first time point if that is not known; the
    /// earliest time counts for as long as the evacuation lasts.
    /// Returns whether the zone is evacuated or returned by it.
    bool record(const std::string& zone, const store::position& position, bool is_evacuated,
                core::time_point since);
    /// Records a read of all rows: the zones without a row have been returned by `read_at`. Returns the zones
    /// that this returns.
    std::set<std::string> record_absent(const std::set<std::string>& present, const store::position& read_at);
    /// Merges the state that another router sent as `message`, of which `now` is the arrival. Returns the
    /// zones that are evacuated or returned by it. Throws nlohmann::json::exception for a malformed message;
    /// the state is unchanged then.
    std::set<std::string> merge(const nlohmann::json& message, core::time_point now);
    /// Returns the state as a message; the times in it are ages at `now`.
    nlohmann::json to_message(core::time_point now) const;

    bool is_evacuated(const std::string& zone) const { return evacuated_since(zone).has_value(); }
    /// Returns when a router first learned of the evacuation; nothing for a zone that is in service.
    std::optional<core::time_point> evacuated_since(const std::string& zone) const;
    std::set<std::string> zones() const;
    /// Whether no row of an evacuation was ever seen.
    bool is_empty() const { return records_.empty(); }

private:
    struct zone_record
    {
        /// Position of the newest row or deletion.
        store::position position;
        bool is_evacuated = false;
        core::time_point since;
    };

    std::map<std::string, zone_record> records_;
};

/// Returns when a front must stop sending requests for the remaining keys of an evacuated zone, if requests
/// must not reach the zone from `bound` after the decision.
core::time_point last_keyed_send(core::time_point evacuated_since, core::duration bound);

} // namespace briarfold::routes
