/// What one router knows about how current its configuration is. Does no I/O and reads no clock.
#pragma once

#include "core/clock.hpp"

namespace briarfold::routes {

/// Tells when a router has to look for a newer configuration itself. Load pattern: changes follow one another
/// while the leader, which hands them on, is slow, cut off or replaced again and again.
class config_currency
{
public:
    /// A change has to be in force within `max_delay`.
    config_currency(core::duration max_delay, core::time_point now)
        : max_delay_(max_delay), confirmed_at_(now)
    {}

    /// Records that no newer configuration than the one in force existed at `at`.
    void on_confirmed(core::time_point at);
    /// Records that neither the store nor another router could tell.
    void on_check_failed(core::time_point now);

    core::duration age(core::time_point now) const { return now - confirmed_at_; }
    /// Whether a change that is not in force may still be in time, so that a missing route counts as absent.
    bool is_current(core::time_point now) const;
    core::time_point next_check() const;
    /// Whether no check has just failed.
    bool may_check(core::time_point now) const { return now >= retry_at_; }
    /// Whether the store has not been reached for much longer than checks take.
    bool is_long_unconfirmed(core::time_point now) const;

private:
    core::duration max_delay_;
    core::time_point confirmed_at_;
    core::time_point retry_at_;
    core::duration retry_delay_;
};

} // namespace briarfold::routes
