/// Retry times that one queue has promised to rejected callers. Load pattern: a burst rejects many requests
/// within some milliseconds, and if all are told the same time, they return together and are rejected again.
/// Does no I/O and reads no clock.
#pragma once

#include "core/clock.hpp"

#include <deque>

namespace briarfold::dispatch {

struct reserved_retry
{
    /// Time at which the caller returns.
    core::time_point at;
    /// Time until which the caller itself waits. A caller that returns states the same one.
    core::time_point client_deadline;
    int priority = 0;
    double work_ms = 0;

    bool operator==(const reserved_retry&) const = default;
};

/// Spreads retry times at the rate at which the queue has capacity for them, in the order of the rejections.
/// A reservation whose caller does not return lapses shortly after its time.
class retry_schedule
{
public:
    /// Reserves a retry. `free_at` is the time at which the present backlog is done, `capacity` the work that
    /// retries may take, in milliseconds of work per millisecond. Returns the wait, or zero if no capacity is
    /// free within a third of the caller's time.
    core::duration reserve(const reserved_retry& wanted, core::time_point free_at, double capacity,
                           core::time_point now);
    /// Removes the reservation of a caller that returns. Returns false if there is none.
    bool claim(core::time_point client_deadline, int priority, core::time_point now);
    /// Returns the reserved work that is due until `until`, in milliseconds.
    double work_due(core::time_point until, core::time_point now);

    std::size_t size() const { return reserved_.size(); }

private:
    void drop_lapsed(core::time_point now);

    /// Ordered by time.
    std::deque<reserved_retry> reserved_;
    /// Time from which capacity is not reserved yet.
    core::time_point next_;
};

} // namespace briarfold::dispatch
