/// Chooses the front for requests of a service without key ownership. Does no I/O and reads no clock: the
/// caller passes the time and the fronts.
#pragma once

#include "core/clock.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarfold::dispatch {

/// A front with backend servers of the service.
struct front_option
{
    std::string name;
    int slots = 1;
    /// Whether it is in the availability zone of this router.
    bool is_near = false;
    /// Whether it said that it ends.
    bool is_stopping = false;

    bool operator==(const front_option&) const = default;
};

/// Load pattern: uneven and changing demand of the availability zones for a service that has room on the
/// whole, with short bursts that fill single fronts. Requests stay in their zone, which saves traffic between
/// zones, until its fronts are almost full. Fronts tell their load with each result; a front that rejected a
/// request is asked again when it expects room. Not thread-safe.
class front_choice
{
public:
    void on_sent(const std::string& front) { ++states_[front].in_flight; }
    /// `queue_load` is that of the result; negative when it has none.
    void on_result(const std::string& front, double queue_load, core::time_point now);
    /// Records that the front rejected a request because its backend servers have no room for `wait`.
    void on_full(const std::string& front, core::duration wait, core::time_point now);
    /// Returns the best front that is not in `rejected_by`; null when there is none.
    const front_option* choose(const std::vector<front_option>& options,
                               const std::set<std::string>& rejected_by, core::time_point now) const;
    /// Whether `choose` would return a front that is neither stopping nor known to be full.
    bool has_room(const std::vector<front_option>& options, const std::set<std::string>& rejected_by,
                  core::time_point now) const;

private:
    struct state
    {
        int in_flight = 0;
        double reported_load = 0;
        core::time_point reported_at;
        core::time_point full_until;
    };

    double cost_of(const front_option& option, core::time_point now) const;

    std::map<std::string, state> states_;
};

} // namespace briarfold::dispatch
