/// Until when one backend server counts as cold, and how many requests it gets until then. Does no I/O and
/// reads no clock.
#pragma once

#include "dispatch/start_rate.hpp"

#include <algorithm>

namespace briarfold::dispatch {

/// Takes statements on the warm-up of one backend server. Without a configured rate it never counts as cold.
class cold_phase
{
public:
    /// Sets the limits, which the configuration may change at any time.
    void configure(const start_rate_settings& settings, core::time_point now);
    /// Records the time that the registration states, as left now. A health check may have stated a later
    /// end, which remains: the directory is up to some seconds old.
    void on_registration(core::duration left, core::time_point now);
    /// Records the time that the backend server states itself; 0 when it is warm.
    void on_statement(core::duration left, core::time_point now);
    /// Records that it may have become cold, which holds for `span` or until it answers a health check.
    void assume_cold(core::duration span, core::time_point now);
    /// Records an answer to a health check that states no time. What the registration stated remains.
    void on_health_answer() { assumed_until_ = {}; }
    /// Forgets all statements: another process has taken the place of the former one.
    void reset();

    bool is_cold(core::time_point now) const { return rate_ && now < cold_until(); }
    /// Returns the time for which it remains cold; zero when it is not.
    core::duration left(core::time_point now) const
    {
        return is_cold(now) ? cold_until() - now : core::duration{0};
    }
    /// Whether a request may be sent now.
    bool may_send(core::time_point now) const { return !is_cold(now) || rate_->has_token(now); }
    /// Records that a request is sent.
    void on_send(core::time_point now);
    /// Returns the time until a request behind `ahead` others may be sent; zero when it is not cold.
    core::duration wait(std::size_t ahead, core::time_point now) const;
    /// Returns the time after which a rejected request can be sent, later for each reserved one; zero when it
    /// is not cold.
    core::duration retry_wait(std::size_t ahead, core::time_point now) const;
    /// Reserves the time that `retry_wait` returns for a rejected request.
    void reserve_retry(std::size_t ahead, core::time_point now);
    /// Returns how many slots are in use if requests of `mean_ms` are sent at the rate; at most `slots`.
    double usable_slots(int slots, double mean_ms, core::time_point now) const;

private:
    core::time_point cold_until() const { return std::max(stated_until_, assumed_until_); }
    /// Moves the end of the cold phase to a later time.
    void extend(core::time_point& until, core::duration left, core::time_point now);

    start_rate_settings settings_;
    std::optional<start_rate> rate_;
    /// End according to the registration or the backend server.
    core::time_point stated_until_;
    core::time_point assumed_until_;
};

} // namespace briarfold::dispatch
