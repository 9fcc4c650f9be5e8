#include "dispatch/slot_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <random>
#include <set>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

namespace {

struct replay_count
{
    int offered = 0;
    int first_rejections = 0;
    int second_rejections = 0;
    int in_objective = 0;
    int late = 0;
    int without_time = 0;
    /// Accepted but never started.
    int expired = 0;
    int displaced = 0;

    double served_share() const { return static_cast<double>(in_objective + late) / offered; }
};

struct pattern
{
    double load = 1.1;
    /// Factor on the arrivals of the burst kind, in 1 of 4 seconds.
    double burst = 2.2;
    int burst_priority = 2;
    bool is_reserving = true;
    unsigned seed = 1;
};

/// Replays two priorities of one service on 2 slots, with bursts of one of them. 3% of the requests
/// work for 7 times the mean. Every rejected client returns at its stated time, at most twice.
std::map<int, replay_count> replay(const pattern& load)
{
    struct running_request
    {
        std::int64_t ends = 0;
        std::int64_t started = 0;
        waiting_request request;
    };

    constexpr int slots = 2;
    constexpr double work_ms = 100;
    constexpr std::int64_t begin = 1000000;
    constexpr std::int64_t end = begin + 60000;
    // Such that the mean over bursts and 3% of long requests is `load`.
    const double base_per_ms = load.load * slots / (work_ms * 1.18) / 2;
    std::mt19937 random(load.seed);
    slot_queue queue;
    std::vector<running_request> running;
    std::multimap<std::int64_t, waiting_request> returning;
    std::map<std::uint64_t, int> rejections;
    std::map<int, replay_count> counts;
    std::uint64_t next_id = 0;
    const auto start_waiting = [&](time_point now) {
        while (static_cast<int>(running.size()) < slots)
        {
            const auto next = queue.take(now);
            if (!next)
            {
                return;
            }
            std::gamma_distribution<double> work(4, work_ms / 4);
            const double factor = std::bernoulli_distribution(0.03)(random) ? 7 : 1;
            running.push_back(
                {now.ms + std::max<std::int64_t>(1, std::llround(factor * work(random))), now.ms, *next});
        }
    };
    const auto reject = [&](waiting_request request, duration retry_after, time_point now) {
        auto& count = counts[request.priority];
        const int rejected = ++rejections[request.id];
        ++(rejected == 1 ? count.first_rejections : count.second_rejections);
        if (retry_after.ms == 0)
        {
            ++count.without_time;
        }
        else if (rejected <= 2)
        {
            request.is_retry = true;
            returning.emplace(now.ms + retry_after.ms, request);
        }
    };
    const auto offer = [&](const waiting_request& request, time_point now) {
        slot_state state{slots, static_cast<int>(running.size()), 0};
        for (const auto& item : running)
        {
            const auto elapsed = static_cast<double>(now.ms - item.started);
            state.remaining_ms += std::max(item.request.work_ms - elapsed, item.request.work_ms / 4);
        }
        const auto result = queue.offer(request, state, now);
        start_waiting(now);
        for (const auto& item : result.displaced)
        {
            ++counts[item.request.priority].displaced;
            reject(item.request, item.retry_after, now);
        }
        if (!result.is_accepted)
        {
            reject(request, result.retry_after, now);
        }
    };
    for (std::int64_t ms = begin; ms < end; ++ms)
    {
        const time_point now{ms};
        std::erase_if(running, [&](const running_request& item) {
            if (item.ends > ms)
            {
                return false;
            }
            auto& count = counts[item.request.priority];
            ++(now <= item.request.objective_deadline ? count.in_objective : count.late);
            return true;
        });
        for (const auto& gone : queue.expire(now))
        {
            ++counts[gone.priority].expired;
        }
        start_waiting(now);
        while (!returning.empty() && returning.begin()->first <= ms)
        {
            const auto request = returning.begin()->second;
            returning.erase(returning.begin());
            offer(request, now);
        }
        for (const int priority : {1, 2})
        {
            const bool is_burst = (ms - begin) / 1000 % 4 == 0;
            const double factor = priority != load.burst_priority ? 1
                                  : is_burst                      ? load.burst
                                                                  : (4 - load.burst) / 3;
            std::poisson_distribution<int> arrivals(base_per_ms * factor);
            for (int i = arrivals(random); i > 0; --i)
            {
                waiting_request request;
                request.id = ++next_id;
                request.priority = priority;
                request.arrived = now;
                request.objective_deadline = now + duration{600};
                request.deadline = now + duration{2000};
                request.work_ms = work_ms;
                if (load.is_reserving)
                {
                    request.client_deadline = request.deadline;
                }
                ++counts[priority].offered;
                offer(request, now);
            }
        }
    }
    return counts;
}

void add(replay_count& sum, const std::map<int, replay_count>& counts)
{
    for (const auto& [priority, count] : counts)
    {
        sum.offered += count.offered;
        sum.first_rejections += count.first_rejections;
        sum.second_rejections += count.second_rejections;
        sum.in_objective += count.in_objective;
        sum.late += count.late;
        sum.without_time += count.without_time;
        sum.expired += count.expired;
        sum.displaced += count.displaced;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

// Guards against clients that return at their stated time and are rejected again, and against a schedule that
// costs more answers than it saves. Replays total loads of 0.9 to 1.3 with bursts of 1.8 to 2.6 times the
// mean.
BOOST_AUTO_TEST_CASE(most_retries_are_not_rejected_again)
{
    for (const double load : {0.9, 1.1, 1.3})
    {
        for (const double burst : {1.8, 2.6})
        {
            for (const bool is_reserving : {false, true})
            {
                replay_count count;
                for (const unsigned seed : {1, 2, 3, 4, 5})
                {
                    add(count, replay({load, burst, 2, is_reserving, seed}));
                }
                BOOST_TEST_MESSAGE("load " << load << " burst " << burst << " reserving " << is_reserving
                                           << ": offered " << count.offered << ", first rejections "
                                           << count.first_rejections << ", second " << count.second_rejections
                                           << ", in objective " << count.in_objective << ", late "
                                           << count.late << ", without time " << count.without_time
                                           << ", expired " << count.expired);
                if (is_reserving)
                {
                    const int returned = count.first_rejections - count.without_time;
                    BOOST_CHECK_LT(2 * count.second_rejections, std::max(returned, 1));
                }
            }
        }
    }
}

// Guards against a less urgent priority that takes the capacity of an urgent one, and against starvation, in
// bursts of either priority. The bounds are those of the requirements.
BOOST_AUTO_TEST_CASE(urgent_requests_are_served_first_and_none_starves)
{
    for (const double load : {0.9, 1.1, 1.3})
    {
        for (const double burst : {1.8, 2.6})
        {
            for (const int priority : {1, 2})
            {
                std::map<int, replay_count> sums;
                for (const unsigned seed : {1, 2, 3, 4, 5})
                {
                    for (const auto& [kind, count] : replay({load, burst, priority, true, seed}))
                    {
                        add(sums[kind], {{kind, count}});
                    }
                }
                const auto& urgent = sums.at(1);
                const auto& other = sums.at(2);
                replay_count all;
                add(all, sums);
                BOOST_TEST_MESSAGE("load " << load << " burst " << burst << " of priority " << priority
                                           << ": served " << urgent.served_share() << " and "
                                           << other.served_share() << ", in objective " << urgent.in_objective
                                           << " and " << other.in_objective << ", displaced "
                                           << other.displaced);
                BOOST_CHECK_GE(urgent.served_share(), other.served_share() - 0.05);
                BOOST_CHECK_GE(other.served_share(), 0.25 * all.served_share());
            }
        }
    }
}

// Guards against many clients that are told the same retry time.
BOOST_AUTO_TEST_CASE(retry_times_are_spread_in_the_order_of_rejections)
{
    retry_schedule schedule;
    const time_point now{1000};
    std::int64_t last = 0;
    int reserved = 0;
    for (int i = 0; i < 40; ++i)
    {
        const auto wait = schedule.reserve({{}, now + duration{3000}, 1, 100}, now + duration{200}, 2, now);
        if (wait.ms == 0)
        {
            continue;
        }
        ++reserved;
        BOOST_CHECK_GT(wait.ms, last);
        BOOST_CHECK_LE(wait.ms, 1000);
        last = wait.ms;
    }
    // From 200 to 1000 ms, one for each 50 ms.
    BOOST_CHECK_EQUAL(reserved, 17);
}

// Guards against capacity that stays reserved for a client that never returns, or that is used twice.
BOOST_AUTO_TEST_CASE(a_reservation_is_used_once_or_lapses)
{
    retry_schedule schedule;
    const time_point now{1000};
    const auto deadline = now + duration{3000};
    schedule.reserve({{}, deadline, 1, 100}, now, 2, now);
    schedule.reserve({{}, deadline, 1, 100}, now, 2, now);
    BOOST_CHECK(!schedule.claim(deadline, 2, now + duration{100}));
    BOOST_CHECK(schedule.claim(deadline, 1, now + duration{100}));
    BOOST_CHECK_EQUAL(schedule.work_due(now + duration{1000}, now + duration{150}), 100);
    BOOST_CHECK(!schedule.claim(deadline, 1, now + duration{400}));
    BOOST_CHECK_EQUAL(schedule.size(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()
