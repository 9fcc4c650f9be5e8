/// Requests that wait for the slots of one backend server, or of a group of them. Pure: time and state come
/// in, decisions go out.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace briarfold::dispatch {

struct waiting_request
{
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int priority = 0;
    core::time_point arrived;
    /// End of the time in which an answer has its full value; in the past for a caller that came back late.
    core::time_point objective_deadline;
    /// An answer after this has no value.
    core::time_point deadline;
    /// Expected work on an average backend server, in milliseconds.
    double work_ms = 0;
    /// Key of a service with key ownership, else 0.
    std::uint32_t key = 0;

    bool operator==(const waiting_request&) const = default;
};

/// The slots for which requests wait.
struct slot_state
{
    int slots = 0;
    int running = 0;
    /// Expected work left in the running requests, in milliseconds.
    double remaining_ms = 0;

    bool has_free_slot() const { return running < slots; }
};

struct offer_result
{
    bool is_accepted = false;
    /// Expected time until the request gets a slot.
    core::duration forecast;
    /// For a rejected request: when the caller may come back. Zero means that no time can be promised.
    core::duration retry_after;
};

/// Load patterns that it answers: a burst above capacity (the queue holds no more than meets its objective,
/// the rest is rejected at once), a hot key (the same for one backend server), and mixed urgency (urgent
/// requests go first while every kind keeps a share).
class slot_queue
{
public:
    /// Accepts a request that is expected to be answered in time. Without overload also one that will be late
    /// but before `deadline`.
    offer_result offer(const waiting_request& request, const slot_state& state, core::time_point now);
    /// Adds a request that was accepted before.
    void put_back(const waiting_request& request) { waiting_.push_back(request); }
    /// Removes and returns the request to start next, or nothing when none waits.
    std::optional<waiting_request> take(core::time_point now);
    /// Removes and returns the requests that can no longer be answered before their `deadline`.
    std::vector<waiting_request> expire(core::time_point now);
    /// Removes and returns the requests with keys for which `matches` holds.
    template <class Predicate>
    std::vector<waiting_request> extract(Predicate matches);
    bool remove(std::uint64_t id);

    std::size_t size() const { return waiting_.size(); }
    /// Offered work as a share of the slots over about the last half second; above 1 is overload.
    double offered_load(core::time_point now) const;

private:
    core::duration forecast(const waiting_request& request, const slot_state& state) const;
    void count_offer(double work_ms, int slots, core::time_point now);

    std::vector<waiting_request> waiting_;
    unsigned turns_ = 0;
    double offered_ = 0;
    core::time_point offered_at_;
};

template <class Predicate>
std::vector<waiting_request> slot_queue::extract(Predicate matches)
{
    std::vector<waiting_request> taken;
    std::erase_if(waiting_, [&](const waiting_request& item) {
        if (matches(item))
        {
            taken.push_back(item);
            return true;
        }
        return false;
    });
    return taken;
}

} // namespace briarfold::dispatch
