/// How much work one backend server gets, judged by its answers to the router's own requests.
#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace briarfold::dispatch {

/// Load patterns: a backend server that rejects although it has free slots (fewer requests at a time), one
/// that does not accept connections (a pause that doubles), one whose address another one has now (a pause
/// until its registration lapses), and one that has just started (its slots one by one).
class slot_limit
{
public:
    explicit slot_limit(int slots) : slots_(slots), limit_(slots) {}

    void set_slots(int slots)
    {
        limit_ = std::min<double>(limit_ + std::max(slots - slots_, 0), slots);
        slots_ = slots;
    }
    void on_answer()
    {
        failures_ = 0;
        limit_ = std::min<double>(slots_, limit_ + recovery);
    }
    /// The backend server rejected a request because it was full.
    void on_rejection() { limit_ = std::max(1.0, limit_ * rejection_factor); }
    /// No connection could be opened or an exchange broke.
    void on_failure(core::time_point now)
    {
        ++failures_;
        const auto doubled = first_pause * (std::int64_t{1} << std::min(failures_ - 1, most_doublings));
        paused_until_ = now + std::min(doubled, longest_pause);
    }

    /// Another backend server answers at its address; it rejects all requests for this one.
    void on_replaced(core::time_point now)
    {
        failures_ = std::max(failures_, failures_before_pause);
        paused_until_ = std::max(paused_until_, now + replaced_pause);
    }

    bool is_paused(core::time_point now) const
    {
        return failures_ >= failures_before_pause && now < paused_until_;
    }
    /// Requests that may run at the same time.
    int slots(core::time_point now) const { return is_paused(now) ? 0 : static_cast<int>(limit_); }
    int failures() const { return failures_; }

private:
    static constexpr double rejection_factor = 0.8;
    /// One slot back for each four answers.
    static constexpr double recovery = 0.25;
    /// A single reset says little about a backend server that loses answers at random.
    static constexpr int failures_before_pause = 3;
    static constexpr core::duration first_pause{50};
    static constexpr core::duration longest_pause{800};
    static constexpr int most_doublings = 4;
    /// The registration of a backend server that ended lapses after three heartbeats, 2.6 s today.
    static constexpr core::duration replaced_pause{2500};

    int slots_;
    double limit_;
    int failures_ = 0;
    core::time_point paused_until_;
};

} // namespace briarfold::dispatch
