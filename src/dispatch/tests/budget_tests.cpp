#include "dispatch/retry_budget.hpp"
#include "dispatch/slot_limit.hpp"
#include "dispatch/work_estimate.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

BOOST_AUTO_TEST_SUITE(dispatch_limits)

namespace {

const retry_budget_settings settings{0.2, {10000}, 60};
constexpr std::size_t routers = 8;
constexpr double share = 1.0 / routers;

/// Retries and requests of a service that several routers serve.
struct retry_history
{
    std::vector<time_point> retries;
    std::vector<time_point> requests;

    static std::ptrdiff_t count(const std::vector<time_point>& sorted, time_point from)
    {
        return std::ranges::lower_bound(sorted, from + settings.window) -
               std::ranges::lower_bound(sorted, from);
    }

    /// Returns the largest part of its bound that a window uses.
    double worst_use() const
    {
        double worst = 0;
        for (const auto& start : retries)
        {
            const auto sent = std::max(count(requests, start), count(requests, start - settings.window));
            const double allowed = settings.ratio * static_cast<double>(sent) + settings.slack;
            worst = std::max(worst, static_cast<double>(count(retries, start)) / allowed);
        }
        return worst;
    }
};

/// Sends 200 requests a second for a minute, of which half fail as often as they are sent from `failing_from`
/// on. `replace` says at which times which routers start anew.
retry_history play_failures(time_point failing_from,
                            const std::function<bool(std::size_t router, time_point now)>& replace)
{
    std::vector<retry_budget> budgets(routers, retry_budget(settings));
    retry_history history;
    for (std::int64_t ms = 0; ms < 60000; ms += 5)
    {
        const time_point now{ms};
        const auto router = static_cast<std::size_t>(ms / 5) % routers;
        for (std::size_t i = 0; i < routers; ++i)
        {
            if (replace(i, now))
            {
                budgets[i] = retry_budget(settings);
            }
        }
        history.requests.push_back(now);
        budgets[router].count_request(share, now);
        const bool fails = now >= failing_from && ms / 5 / routers % 2 == 0;
        for (int sends = 1; fails && sends < 4 && budgets[router].take(share, now); ++sends)
        {
            history.retries.push_back(now);
        }
    }
    return history;
}

} // namespace

// Guards against retries beyond the budget of any window while backend servers fail half of their requests.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_of_every_window)
{
    const auto history = play_failures({12000}, [](std::size_t, time_point) { return false; });
    BOOST_CHECK_LE(history.worst_use(), 1);
    BOOST_CHECK_GT(history.worst_use(), 0.6);
}

// Guards against routers that forget their retries as they end, so that each window has several budgets.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_routers_start_anew)
{
    for (const std::int64_t interval_ms : {400, 1000, 2500, 5000, 9000, 13000})
    {
        const auto history = play_failures({12000}, [&](std::size_t router, time_point now) {
            const auto offset = static_cast<std::int64_t>(router) * 30;
            return now.ms > 12000 && (now.ms - offset) % interval_ms == 0;
        });
        BOOST_TEST_CONTEXT("all routers start anew every " << interval_ms << " ms")
        {
            BOOST_CHECK_LE(history.worst_use(), 1);
        }
    }
}

// Guards against a single failure that is not repeated although hardly any retries were taken.
BOOST_AUTO_TEST_CASE(a_router_without_recent_retries_can_repeat_the_requests_of_a_lost_front)
{
    retry_budget budget(settings);
    for (std::int64_t ms = 0; ms < 20000; ms += 40)
    {
        budget.count_request(share, {ms});
    }
    int allowed = 0;
    while (budget.take(share, {20000}))
    {
        ++allowed;
    }
    BOOST_CHECK_GE(allowed, 10);
}

// Guards against a backend server that rejects requests although it has free slots: it must get fewer
// requests, and as many as before once it answers again.
BOOST_AUTO_TEST_CASE(rejections_lower_the_limit_and_answers_raise_it)
{
    slot_limit limit(6);
    const time_point now{1000};
    for (int i = 0; i < 20; ++i)
    {
        limit.on_rejection(now);
    }
    BOOST_CHECK_EQUAL(limit.slots(now + duration{1000}), 1);
    for (int i = 0; i < 20; ++i)
    {
        limit.on_answer();
    }
    BOOST_CHECK_EQUAL(limit.slots(now), 6);
}

// Load pattern: a backend server that is full with work of others rejects at once, and the router has
// requests for it all the time. Guards against requests that it rejects again and again within milliseconds.
BOOST_AUTO_TEST_CASE(full_backend_server_is_asked_seldom)
{
    slot_limit limit(2);
    time_point now{1000};
    int arrivals = 0;
    for (int i = 0; i < 1000; ++i)
    {
        if (limit.slots(now) > 0)
        {
            ++arrivals;
            limit.on_rejection(now);
        }
        now = now + duration{1};
    }
    BOOST_CHECK_LE(arrivals, 12);
    BOOST_CHECK_GE(arrivals, 6);
    // An answer shows that a slot is free.
    limit.on_answer();
    BOOST_CHECK_GT(limit.slots(now), 0);
}

// Guards against requests to a backend server that asked for a pause with its rejection.
BOOST_AUTO_TEST_CASE(a_requested_pause_is_kept)
{
    slot_limit limit(2);
    const time_point now{1000};
    limit.on_rejection(now, duration{2000});
    limit.on_answer();
    BOOST_CHECK_EQUAL(limit.slots(now + duration{1999}), 0);
    BOOST_CHECK_EQUAL(limit.rejection_pause_left(now + duration{500}).ms, 1500);
    BOOST_CHECK_GT(limit.slots(now + duration{2000}), 0);
}

// Guards against requests to a backend server that accepts no connections, and against a pause after a single
// connection reset.
BOOST_AUTO_TEST_CASE(repeated_failures_pause_a_backend_server)
{
    slot_limit limit(6);
    const time_point now{1000};
    limit.on_failure(now);
    BOOST_CHECK_EQUAL(limit.slots(now), 6);
    limit.on_failure(now);
    limit.on_failure(now);
    BOOST_CHECK_EQUAL(limit.slots(now), 0);
    BOOST_CHECK_EQUAL(limit.slots(now + duration{1000}), 6);
    limit.on_answer();
    BOOST_CHECK_EQUAL(limit.slots(now), 6);
}

// Guards against the cost of a backend server that sends answers without end: all its slots were used again
// after each pause.
BOOST_AUTO_TEST_CASE(backend_server_with_faulty_answers_gets_one_request_at_a_time)
{
    slot_limit limit(6);
    const time_point now{1000};
    limit.on_faulty_answer(now);
    BOOST_CHECK_EQUAL(limit.slots(now), 0);
    const auto later = now + duration{1000};
    BOOST_CHECK_EQUAL(limit.slots(later), 1);
    limit.on_faulty_answer(later);
    BOOST_CHECK_EQUAL(limit.slots(later), 0);
    limit.on_answer();
    BOOST_CHECK_EQUAL(limit.slots(later), 6);
}

// Guards against requests to a backend server whose address now belongs to another one. The other one rejects
// them at once, so the slots always look free: without a pause it received each request four times, which
// used up the retry budget.
BOOST_AUTO_TEST_CASE(replaced_backend_server_is_paused)
{
    slot_limit limit(2);
    time_point now{1000};
    int arrivals = 0;
    for (int i = 0; i < 200; ++i)
    {
        if (limit.slots(now) > 0)
        {
            ++arrivals;
            limit.on_replaced(now);
        }
        now = now + duration{10};
    }
    BOOST_CHECK_EQUAL(arrivals, 1);
}

// Guards against a slow backend server that distorts the mean work of a route. The speeds differ by a factor
// of three.
BOOST_AUTO_TEST_CASE(slowness_of_backend_servers_is_estimated)
{
    work_estimate estimate;
    for (int i = 0; i < 400; ++i)
    {
        estimate.record("lookup", "fast", 100);
        estimate.record("lookup", "slow", 300);
    }
    BOOST_CHECK_GT(estimate.slowness("slow"), 2.5 * estimate.slowness("fast"));
    BOOST_CHECK_CLOSE(estimate.mean_ms("lookup") * estimate.slowness("slow"), 300, 20);
}

BOOST_AUTO_TEST_SUITE_END()
