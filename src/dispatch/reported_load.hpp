/// Load that a backend server reports with its answers.
#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <optional>

namespace briarfold::dispatch {

struct reported_load
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    /// Present duration of work on its machine relative to the usual one: 2 is twice as long, for example
    /// because of a noisy neighbour.
    double duration = 1;

    /// Returns the free slots less the waiting requests; negative when there are more of these.
    int free_slots() const { return slots - running - waiting; }

    bool operator==(const reported_load&) const = default;
};

/// The last report of one backend server with its age.
///
/// Load pattern: machines whose neighbours double the duration of work for some seconds, and backend servers
/// that get requests from elsewhere. Their answers tell it at once; learned work times tell it after dozens
/// of answers.
class load_record
{
public:
    void on_report(const reported_load& load, core::time_point now)
    {
        load_ = load;
        reported_at_ = now;
    }
    /// Returns the report while it is fresh.
    std::optional<reported_load> fresh(core::time_point now) const
    {
        return load_ && now - reported_at_ <= max_age ? load_ : std::nullopt;
    }
    /// Whether the backend server sends reports.
    bool has_reported() const { return load_.has_value(); }
    /// Returns the cost of its choice, from its learned slowness; lower is better. A full backend server
    /// costs more than any with a free slot.
    double cost(double slowness, core::time_point now) const
    {
        const auto load = fresh(now);
        if (!load)
        {
            return slowness;
        }
        const bool is_full = load->free_slots() <= 0;
        const double used = std::clamp(1 - static_cast<double>(load->free_slots()) / load->slots, 0.0, 1.0);
        return slowness * load->duration * (1 + used_weight * used) + (is_full ? full_cost : 0);
    }

private:
    /// The values change many times a second, so an older report says little.
    static constexpr core::duration max_age{300};
    /// A backend server that is nearly full costs as much as one that is half as fast again.
    static constexpr double used_weight = 0.5;
    /// Above the cost of any usual duration, below that of a backend server that failed the request.
    static constexpr double full_cost = 50;

    std::optional<reported_load> load_;
    core::time_point reported_at_;
};

} // namespace briarfold::dispatch
