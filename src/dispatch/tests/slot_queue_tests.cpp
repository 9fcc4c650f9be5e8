#include "dispatch/slot_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

namespace {

struct outcome_count
{
    int offered = 0;
    int in_time = 0;
    int late = 0;
    int rejected = 0;
    /// Accepted but never started.
    int expired = 0;
};

struct request_kind
{
    int priority = 0;
    double per_s = 0;
    double work_ms = 0;
    duration objective;
    duration deadline;
};

/// Simulates Poisson arrivals of several kinds of requests at one backend server with exactly `slots` slots,
/// in steps of one millisecond. Returns the outcomes by priority.
std::map<int, outcome_count> simulate(const std::vector<request_kind>& kinds, int slots, int seconds,
                                      unsigned seed)
{
    struct running_request
    {
        std::int64_t ends = 0;
        std::int64_t started = 0;
        waiting_request request;
    };

    std::mt19937 random(seed);
    slot_queue queue;
    std::vector<running_request> running;
    std::map<int, outcome_count> counts;
    std::uint64_t next_id = 0;
    const auto start_waiting = [&](time_point now) {
        while (static_cast<int>(running.size()) < slots)
        {
            const auto next = queue.take(now);
            if (!next)
            {
                break;
            }
            std::gamma_distribution<double> work(4, next->work_ms / 4);
            running.push_back({now.ms + std::max<std::int64_t>(1, std::lround(work(random))), now.ms, *next});
        }
    };
    for (std::int64_t ms = 1000000; ms < 1000000 + seconds * 1000; ++ms)
    {
        const time_point now{ms};
        std::erase_if(running, [&](const running_request& item) {
            if (item.ends > ms)
            {
                return false;
            }
            auto& count = counts[item.request.priority];
            ++(now <= item.request.objective_deadline ? count.in_time : count.late);
            return true;
        });
        for (const auto& gone : queue.expire(now))
        {
            ++counts[gone.priority].expired;
        }
        start_waiting(now);
        for (const auto& kind : kinds)
        {
            std::poisson_distribution<int> arrivals(kind.per_s / 1000);
            for (int i = arrivals(random); i > 0; --i)
            {
                waiting_request request;
                request.id = ++next_id;
                request.priority = kind.priority;
                request.arrived = now;
                request.objective_deadline = now + kind.objective;
                request.deadline = now + kind.deadline;
                request.work_ms = kind.work_ms;
                slot_state state{slots, static_cast<int>(running.size()), 0};
                for (const auto& item : running)
                {
                    const auto elapsed = static_cast<double>(ms - item.started);
                    state.remaining_ms += std::max(item.request.work_ms - elapsed, item.request.work_ms / 4);
                }
                ++counts[kind.priority].offered;
                if (!queue.offer(request, state, now).is_accepted)
                {
                    ++counts[kind.priority].rejected;
                }
                start_waiting(now);
            }
        }
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slot_queues)

// Guards against requests that wait in vain or are late when a hot key draws four times the slots of its
// backend server. Nearly all accepted requests are in time, none expires in the queue, and the slots stay
// busy.
BOOST_AUTO_TEST_CASE(requests_for_a_hot_key_are_in_time_or_rejected_at_once)
{
    const auto counts = simulate({{2, 110, 220, {600}, {2000}}}, 6, 30, 1);
    const auto& count = counts.at(2);
    const double capacity = 6 * 30 * 1000 / 220.0;
    BOOST_CHECK_EQUAL(count.expired, 0);
    BOOST_CHECK_GT(count.in_time + count.late, 0.9 * capacity);
    BOOST_CHECK_GT(count.in_time, 0.85 * (count.in_time + count.late));
}

// Guards against starvation in a burst of 1.6 times the capacity with two priorities. The urgent one is
// served at least as often as the other one, of which more than a quarter is served.
BOOST_AUTO_TEST_CASE(a_burst_starves_no_priority)
{
    const auto counts = simulate({{1, 17, 290, {800}, {2500}}, {2, 22, 220, {600}, {2000}}}, 6, 30, 2);
    const auto share = [&](int kind) {
        const auto& count = counts.at(kind);
        return static_cast<double>(count.in_time + count.late) / count.offered;
    };
    BOOST_CHECK_GE(share(1), share(2));
    BOOST_CHECK_GT(share(2), 0.25);
}

// Guards against rejections while there are enough slots.
BOOST_AUTO_TEST_CASE(moderate_load_is_not_rejected)
{
    const auto counts = simulate({{1, 12, 220, {800}, {2500}}}, 6, 30, 3);
    BOOST_CHECK_EQUAL(counts.at(1).rejected, 0);
    BOOST_CHECK_EQUAL(counts.at(1).expired, 0);
}

// Guards against a request that still waits although it can no longer be answered before its deadline.
BOOST_AUTO_TEST_CASE(requests_that_cannot_meet_their_deadline_expire)
{
    slot_queue queue;
    const time_point now{1000};
    waiting_request request;
    request.id = 1;
    request.work_ms = 100;
    request.objective_deadline = now + duration{500};
    request.deadline = now + duration{1000};
    queue.put_back(request);
    BOOST_CHECK(queue.expire(now).empty());
    BOOST_CHECK_EQUAL(queue.expire(now + duration{960}).size(), 1U);
    BOOST_CHECK_EQUAL(queue.size(), 0U);
}

// Guards against a retry time that leaves the caller no time for the answer or comes before a slot can be
// free.
BOOST_AUTO_TEST_CASE(retry_after_leaves_time_for_the_answer)
{
    slot_queue queue;
    const time_point now{1000};
    waiting_request request;
    request.work_ms = 200;
    request.objective_deadline = now + duration{300};
    request.deadline = now + duration{900};
    const slot_state full{2, 2, 400};
    for (std::uint64_t id = 1; id < 40; ++id)
    {
        request.id = id;
        const auto offer = queue.offer(request, full, now);
        if (!offer.is_accepted)
        {
            BOOST_CHECK_LE(offer.retry_after.ms, 300);
            BOOST_CHECK_GT(offer.retry_after.ms, 0);
        }
    }
    BOOST_CHECK_LT(queue.size(), 6U);
}

BOOST_AUTO_TEST_SUITE_END()
