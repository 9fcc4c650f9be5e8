#include "dispatch/retry_budget.hpp"
#include "dispatch/slot_limit.hpp"
#include "dispatch/work_estimate.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

BOOST_AUTO_TEST_SUITE(dispatch_limits)

// Load pattern: backend servers fail half of their requests for a while. Repeats stay within the share of
// every window.
BOOST_AUTO_TEST_CASE(repeats_stay_within_every_window)
{
    const retry_budget_settings settings{0.2, {10000}, 60};
    retry_budget budget(settings);
    std::vector<time_point> repeats;
    std::vector<time_point> requests;
    for (std::int64_t ms = 0; ms < 60000; ms += 10)
    {
        const time_point now{ms};
        budget.count_request(now);
        requests.push_back(now);
        if (ms % 20 == 0 && budget.take(0.1, now))
        {
            repeats.push_back(now);
        }
        const auto in_window = [&](const std::vector<time_point>& list) {
            return std::ranges::count_if(list, [&](time_point at) { return at > now - duration{10000}; });
        };
        if (ms % 500 == 0)
        {
            BOOST_CHECK_LE(in_window(repeats), 0.2 * in_window(requests) + 60 * 0.1);
        }
    }
    BOOST_CHECK_GT(repeats.size(), 500U);
}

// Load pattern: a backend server that rejects although it has slots gets fewer requests, and all of them
// again later.
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

// Load pattern: a backend server without connections is left alone for a time that grows; one reset changes
// nothing.
BOOST_AUTO_TEST_CASE(failures_pause_a_backend_server)
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

// Load pattern: the address of a backend server that ended belongs to another one, which rejects at once, so
// its slots always look free. Without a pause it drew four arrivals of each request and used up the budget
// for repeats.
BOOST_AUTO_TEST_CASE(replaced_backend_server_gets_no_request)
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

// Load pattern: backend servers differ in speed by three times; a slow one does not spoil the mean of the
// route.
BOOST_AUTO_TEST_CASE(speeds_are_learned)
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
