/// Arrivals and admissions of each priority of one queue. Load pattern: two priorities compete for few slots,
/// and one of them arrives in bursts of about twice its mean. Does no I/O and reads no clock.
#pragma once

#include "core/clock.hpp"

#include <map>

namespace briarfold::dispatch {

/// Tells how much capacity more urgent priorities need, and whether a priority is served too often or too
/// seldom compared with the others. 0 is the most urgent.
class priority_rates
{
public:
    void record_offered(int priority, double work_ms, core::time_point now);
    void record_admitted(int priority, core::time_point now);
    /// Records that an admitted request was rejected after all.
    void record_withdrawn(int priority, core::time_point now);

    /// Returns the work of more urgent requests that arrives per millisecond.
    double urgent_work(int priority, core::time_point now) const;
    /// Whether a more urgent priority is served less often, so that this one has to leave it the capacity.
    bool is_ahead_of_urgent(int priority, core::time_point now) const;
    /// Whether the priority is served often enough that one of its waiting requests may be rejected.
    bool may_displace(int priority, core::time_point now) const;

    /// Whether the priority is served much less often than all together.
    bool is_starved(int priority, core::time_point now) const;

private:
    struct rates
    {
        double work_per_ms = 0;
        double offered = 0;
        double admitted = 0;
        core::time_point updated;

        double admitted_share() const { return offered > 0 ? admitted / offered : 1; }
    };

    /// Whether a priority with these rates is served often enough, compared with all together.
    bool has_min_share(const rates& value, core::time_point now) const;
    static rates decay(rates value, core::time_point now);
    rates& update(int priority, core::time_point now);

    std::map<int, rates> rates_;
};

} // namespace briarfold::dispatch
