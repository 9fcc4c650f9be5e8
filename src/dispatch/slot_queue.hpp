/// Queue of the requests that wait for the slots of one backend server or of a group of them. Does no I/O and
/// reads no clock: the caller passes the time and the state.
#pragma once

#include "core/clock.hpp"
#include "dispatch/priority_rates.hpp"
#include "dispatch/retry_schedule.hpp"

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
    /// Time until which an answer has its full value; in the past if the caller retried too late.
    core::time_point objective_deadline;
    /// An answer after this time is useless to the caller.
    core::time_point deadline;
    /// Whether the deadline is the end of a router's process, so that work beyond it would be cut off.
    bool ends_with_process = false;
    /// Expected work on an average backend server, in milliseconds.
    double work_ms = 0;
    /// Key of a service with key ownership, else 0.
    std::uint32_t key = 0;
    /// Time until which the caller itself waits; nullopt if it does not see the rejection, so that no retry
    /// is reserved for it.
    std::optional<core::time_point> client_deadline = std::nullopt;
    /// Whether the caller was rejected before and returns.
    bool is_retry = false;

    bool operator==(const waiting_request&) const = default;
};

/// Slots for which the requests of a queue wait.
struct slot_state
{
    int slots = 0;
    int running = 0;
    /// Expected remaining work of the running requests, in milliseconds.
    double remaining_ms = 0;

    bool has_free_slot() const { return running < slots; }
};

/// Waiting request that was rejected in favour of a more urgent one.
struct displaced_request
{
    waiting_request request;
    /// Time after which the caller may retry, or zero.
    core::duration retry_after;
};

struct offer_result
{
    bool is_accepted = false;
    /// Expected time until the request gets a slot.
    core::duration forecast;
    /// For a rejected request, the time after which the caller may retry. Zero means that no time can be
    /// promised.
    core::duration retry_after;
    /// Whether capacity is reserved for the retry.
    bool is_retry_reserved = false;
    /// Less urgent requests that are no longer in the queue, whose callers get their rejection now.
    std::vector<displaced_request> displaced;
};

/// Priority queue with admission control. In a burst above capacity, or for a hot key at one backend server,
/// it admits only as many requests as can meet their objective and rejects the rest at once. Urgent requests
/// go first, but every priority keeps a share of the slots.
class slot_queue
{
public:
    /// Queues a request that can start at once or is expected to be answered within its objective. Without
    /// overload, also queues one that is expected to be answered later but before `deadline`. Rejects every
    /// other request and one whose deadline is too close for its work. A retry for which capacity is reserved
    /// is queued if it can meet its deadline. A rejection reserves a retry if the caller can still use one.
    /// An urgent request without capacity displaces the least urgent waiting ones if that makes room for it.
    offer_result offer(const waiting_request& request, const slot_state& state, core::time_point now);
    /// Queues a request that was accepted before, without checking it again.
    void put_back(const waiting_request& request) { waiting_.push_back(request); }
    /// Removes and returns the request to start next; nullopt if none waits.
    std::optional<waiting_request> take(core::time_point now);
    /// Removes and returns the requests that can no longer be answered before their `deadline`.
    std::vector<waiting_request> expire(core::time_point now);
    /// Removes and returns the requests for which `matches` returns true.
    template <class Predicate>
    std::vector<waiting_request> extract(Predicate matches);
    bool remove(std::uint64_t id);

    std::size_t size() const { return waiting_.size(); }
    /// Returns the ratio of offered work to the capacity of the slots over about the last half second. Above
    /// 1, the slots are overloaded.
    double offered_load(core::time_point now) const;
    std::size_t reserved_retries() const { return retries_.size(); }

private:
    /// Whether the request can be answered in time, or late while that takes no capacity from others.
    bool has_capacity(const waiting_request& request, core::duration wait, bool is_expected,
                      core::time_point now) const;
    /// Returns the time until the request gets a slot, with the requests that are expected to go first.
    core::duration expected_wait(const waiting_request& request, const slot_state& state,
                                 core::time_point now);
    /// Removes the least urgent waiting requests until `request` has capacity. Restores them and returns none
    /// if that does not make enough room.
    std::vector<waiting_request> displace_for(const waiting_request& request, const slot_state& state,
                                              core::time_point now);
    core::duration forecast(const waiting_request& request, const slot_state& state,
                            core::time_point now) const;
    /// Returns the work of the waiting requests that have missed their objective.
    double late_work(core::time_point now) const;
    /// Returns the share of the slots that such requests get, at least their turns.
    double late_share(core::time_point now) const;
    /// Returns the time after which a rejected caller may retry, and reserves capacity for it if it does.
    core::duration reserve_retry(const waiting_request& request, const slot_state& state,
                                 core::time_point now);
    /// Returns the time that an unreserved rejection states: the forecast, or the maximum under overload.
    core::duration forecast_retry(core::duration wait, core::duration time_left, core::time_point now) const;
    void record_offered_work(double work_ms, int slots, core::time_point now);

    std::vector<waiting_request> waiting_;
    unsigned starts_ = 0;
    double offered_load_ = 0;
    core::time_point offered_at_;
    retry_schedule retries_;
    priority_rates rates_;
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
