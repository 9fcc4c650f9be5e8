/// Limits the requests in flight at one backend server by its answers to the router's own requests.
#pragma once

#include "core/clock.hpp"

#include <algorithm>

namespace briarfold::dispatch {

/// Adaptive concurrency limit of one backend server. Each rejection lowers the limit and each answer raises
/// it again. Repeated connection failures pause the backend server with exponential backoff. If another
/// backend server has taken over its address, it is paused until its registration expires. A rejection pauses
/// it until the time that it asks for, or else shortly, with exponential backoff. A backend server that has
/// just started gets its slots one by one.
///
/// Load pattern: a backend server whose slots are taken by work that the router does not know of, so that it
/// rejects each request although slots look free. Sent at once, one request was rejected four times within
/// some milliseconds.
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
        is_on_trial_ = false;
        rejections_ = 0;
        backoff_until_ = {};
        limit_ = std::min<double>(slots_, limit_ + recovery_per_answer);
    }
    /// Records that the backend server rejected a request because it was full. `requested` is the pause that
    /// it asked for, or zero.
    void on_rejection(core::time_point now, core::duration requested = {})
    {
        limit_ = std::max(1.0, limit_ * rejection_factor);
        const auto doublings = std::min(rejections_++, max_rejection_doublings);
        backoff_until_ = now + rejection_pause * (std::int64_t{1} << doublings);
        requested_until_ = std::max(requested_until_, now + std::min(requested, max_requested_pause));
    }
    /// Records that no connection could be opened or that an exchange broke off.
    void on_failure(core::time_point now)
    {
        ++failures_;
        const auto backoff = initial_pause * (std::int64_t{1} << std::min(failures_ - 1, max_doublings));
        paused_until_ = now + std::min(backoff, max_pause);
    }

    /// Records an answer that was cut off because it was too long. Each further one costs as much, so the
    /// backend server gets one request at a time until it answers.
    void on_faulty_answer(core::time_point now)
    {
        is_on_trial_ = true;
        failures_ = std::max(failures_, failures_before_pause);
        paused_until_ = std::max(paused_until_, now + max_pause);
    }

    /// Records that another backend server, which rejects all requests for this one, answers at its address.
    void on_replaced(core::time_point now)
    {
        failures_ = std::max(failures_, failures_before_pause);
        paused_until_ = std::max(paused_until_, now + replaced_pause);
    }

    bool is_paused(core::time_point now) const
    {
        return (failures_ >= failures_before_pause && now < paused_until_) ||
               rejection_pause_left(now).ms > 0;
    }
    /// Returns for how long a rejection keeps the backend server paused; zero when it does not.
    core::duration rejection_pause_left(core::time_point now) const
    {
        return std::max(std::max(backoff_until_, requested_until_) - now, core::duration{0});
    }
    /// Returns how many requests may run at the same time; 0 during a pause.
    int slots(core::time_point now) const
    {
        if (is_paused(now))
        {
            return 0;
        }
        return is_on_trial_ ? 1 : static_cast<int>(limit_);
    }
    int failures() const { return failures_; }

private:
    static constexpr double rejection_factor = 0.8;
    /// Slots regained per answer: one for each four answers.
    static constexpr double recovery_per_answer = 0.25;
    /// Not 1, since a single connection reset says little about a backend server that loses answers at
    /// random.
    static constexpr int failures_before_pause = 3;
    static constexpr core::duration initial_pause{50};
    /// Work takes 50 to 300 ms, so that a slot of a full backend server is free after some tens of
    /// milliseconds.
    static constexpr core::duration rejection_pause{15};
    static constexpr int max_rejection_doublings = 3;
    /// A backend server that asks for more is asked again, in case the value is wrong.
    static constexpr core::duration max_requested_pause{30000};
    static constexpr core::duration max_pause{800};
    static constexpr int max_doublings = 4;
    /// The registration of a backend server that has ended expires after three heartbeats, currently 2.6 s.
    static constexpr core::duration replaced_pause{2500};

    int slots_;
    double limit_;
    int failures_ = 0;
    int rejections_ = 0;
    bool is_on_trial_ = false;
    core::time_point paused_until_;
    core::time_point backoff_until_;
    core::time_point requested_until_;
};

} // namespace briarfold::dispatch
