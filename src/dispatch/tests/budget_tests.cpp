#include "dispatch/retry_budget.hpp"
#include "dispatch/slot_limit.hpp"
#include "dispatch/work_estimate.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

BOOST_AUTO_TEST_SUITE(dispatch_limits)

// Guards against retries beyond the budget of any window while backend servers fail half of their requests.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_of_every_window)
{
    const retry_budget_settings settings{0.2, {10000}, 60};
    retry_budget budget(settings);
    std::vector<time_point> retries;
    std::vector<time_point> requests;
    for (std::int64_t ms = 0; ms < 60000; ms += 10)
    {
        const time_point now{ms};
        budget.count_request(now);
        requests.push_back(now);
        if (ms % 20 == 0 && budget.take(0.1, now))
        {
            retries.push_back(now);
        }
        const auto in_window = [&](const std::vector<time_point>& list) {
            return std::ranges::count_if(list, [&](time_point at) { return at > now - duration{10000}; });
        };
        if (ms % 500 == 0)
        {
            BOOST_CHECK_LE(in_window(retries), 0.2 * in_window(requests) + 60 * 0.1);
        }
    }
    BOOST_CHECK_GT(retries.size(), 500U);
}

// Guards against a backend server that rejects requests although it has free slots: it must get fewer
// requests, and as many as before once it answers again.
BOOST_AUTO_TEST_CASE(rejections_lower_the_limit_and_answers_raise_it)
{
    slot_limit limit(6);
    const time_point now{1000};
    for (int i = 0; i < 20; ++i)
    {
        limit.on_rejection();
    }
    BOOST_CHECK_EQUAL(limit.slots(now), 1);
    for (int i = 0; i < 20; ++i)
    {
        limit.on_answer();
    }
    BOOST_CHECK_EQUAL(limit.slots(now), 6);
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
