#include "dispatch/cold_phase.hpp"
#include "dispatch/reported_load.hpp"
#include "dispatch/work_estimate.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

namespace {

const start_rate_settings limits{4.4, 1.5, 8};
constexpr double bound = 4.4 * 1.5 + 8;
constexpr time_point start{100000};

/// Returns the most sends in any span of one second. `sent` is in ascending order.
std::size_t most_in_a_second(const std::vector<time_point>& sent)
{
    std::size_t most = 0;
    for (auto first = sent.begin(); first != sent.end(); ++first)
    {
        const auto end = std::upper_bound(first, sent.end(), *first + duration{1000});
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_phase_cases)

// Guards against a cold backend server that gets the allowed requests twice while its front changes and the
// former one goes on, with full demand at both or after a pause.
BOOST_AUTO_TEST_CASE(two_fronts_in_turn_keep_the_bound_in_any_second)
{
    for (const std::int64_t change_ms : {0, 100, 700, 1500, 2900})
    {
        for (const std::int64_t idle_ms : {0, 800, 2000})
        {
            start_rate former(limits, start);
            start_rate next(limits, start + duration{change_ms});
            std::vector<time_point> sent;
            for (std::int64_t ms = idle_ms; ms < 6000; ++ms)
            {
                const auto now = start + duration{ms};
                for (auto* const rate : {&former, &next})
                {
                    const bool is_active = rate == &former || ms >= change_ms;
                    while (is_active && rate->has_token(now))
                    {
                        rate->take(now);
                        sent.push_back(now);
                    }
                }
            }
            BOOST_CHECK_LE(static_cast<double>(most_in_a_second(sent)), bound);
            BOOST_CHECK_GE(sent.size(), 20U);
        }
    }
}

// Guards against backend servers that crash as their zone returns: 100 of them come back cold at once, each
// with a demand of 20 requests a second, and some state a second cold phase in mid-life.
BOOST_AUTO_TEST_CASE(a_zone_that_returns_cold_gets_its_full_demand_only_when_warm)
{
    constexpr std::int64_t demand_interval_ms = 50;
    constexpr std::int64_t cold_ms = 3000;
    for (std::int64_t server = 0; server < 100; ++server)
    {
        cold_phase phase;
        phase.configure(limits, start);
        phase.assume_cold(duration{cold_ms}, start);
        std::vector<time_point> cold_sends;
        std::size_t warm_sends = 0;
        const std::int64_t second_start_ms = 5000 + server * 7;
        for (std::int64_t ms = server % demand_interval_ms; ms < 12000; ms += demand_interval_ms)
        {
            const auto now = start + duration{ms};
            const bool is_second = ms >= second_start_ms && ms < second_start_ms + demand_interval_ms;
            if (is_second)
            {
                phase.on_statement(duration{cold_ms}, now);
            }
            if (!phase.may_send(now))
            {
                continue;
            }
            if (phase.is_cold(now))
            {
                cold_sends.push_back(now);
            }
            warm_sends += phase.is_cold(now) ? 0 : 1;
            phase.on_send(now);
        }
        BOOST_CHECK_LE(static_cast<double>(most_in_a_second(cold_sends)), bound / 2);
        BOOST_CHECK_GE(cold_sends.size(), 20U);
        BOOST_CHECK_GE(warm_sends, 100U);
    }
}

// Guards against clients that are all told the same time and come back at once.
BOOST_AUTO_TEST_CASE(retry_times_of_rejected_requests_are_spread_at_the_rate)
{
    start_rate rate(limits, start);
    std::vector<std::int64_t> waits;
    for (int i = 0; i < 8; ++i)
    {
        waits.push_back(rate.retry_wait(0, start).ms);
        rate.reserve_retry(0, start);
    }
    BOOST_CHECK_GE(waits.front(), rate.wait(0, start).ms);
    const auto closer = [](std::int64_t a, std::int64_t b) { return b - a < 227; };
    BOOST_CHECK(std::ranges::adjacent_find(waits, closer) == waits.end());
}

// Guards against a request that waits for a token until long after the backend server is warm, and against
// limits on a service without a configured rate.
BOOST_AUTO_TEST_CASE(the_rate_ends_with_the_cold_phase)
{
    cold_phase phase;
    phase.on_registration(duration{3000}, start);
    BOOST_CHECK(!phase.is_cold(start));
    phase.configure(limits, start);
    BOOST_CHECK(phase.is_cold(start));
    BOOST_CHECK(!phase.may_send(start));
    BOOST_CHECK_EQUAL(phase.wait(100, start).ms, 3000);
    BOOST_CHECK(phase.may_send(start + duration{3000}));
    BOOST_CHECK_CLOSE(phase.usable_slots(3, 150, start), 0.66, 0.1);
    BOOST_CHECK_EQUAL(phase.usable_slots(3, 150, start + duration{3000}), 3);
}

// Guards against an assumption that outlives the backend server's own word, and the reverse.
BOOST_AUTO_TEST_CASE(the_word_of_the_backend_server_replaces_an_assumption)
{
    cold_phase phase;
    phase.configure(limits, start);
    phase.assume_cold(duration{3000}, start);
    phase.on_health_answer();
    BOOST_CHECK(!phase.is_cold(start));
    phase.on_registration(duration{3000}, start);
    phase.on_health_answer();
    BOOST_CHECK(phase.is_cold(start));
    phase.on_statement(duration{0}, start);
    BOOST_CHECK(!phase.is_cold(start));
    phase.on_statement(duration{400}, start);
    BOOST_CHECK_EQUAL(phase.left(start).ms, 400);
}

// Guards against bounds too small for a whole token, with which a cold backend server would get nothing.
BOOST_AUTO_TEST_CASE(a_small_bound_lowers_the_rate)
{
    start_rate rate({4.4, 1, 0}, start);
    BOOST_CHECK_CLOSE(rate.per_s(), 1.2, 0.1);
    BOOST_CHECK(rate.has_token(start + rate.wait(0, start)));
}

// Guards against requests that go to a machine with a noisy neighbour or to a full backend server although
// another one is free, and against choices by an old report.
BOOST_AUTO_TEST_CASE(a_fresh_report_of_shorter_work_and_free_slots_is_preferred)
{
    load_record usual;
    load_record noisy;
    load_record full;
    usual.on_report({1, 0, 3, 1}, start);
    noisy.on_report({1, 0, 3, 2.5}, start);
    full.on_report({3, 1, 3, 0.5}, start);
    BOOST_CHECK_LT(usual.cost(1, start), noisy.cost(1, start));
    BOOST_CHECK_LT(noisy.cost(1, start), full.cost(1, start));
    const auto later = start + duration{301};
    BOOST_CHECK_EQUAL(noisy.cost(1, later), 1);
    BOOST_CHECK(!noisy.fresh(later));
    BOOST_CHECK(noisy.has_reported());
}

// Guards against a noisy neighbour that is learned as a slow backend server or route.
BOOST_AUTO_TEST_CASE(the_reported_duration_is_taken_out_of_learned_work)
{
    work_estimate estimate;
    for (int i = 0; i < 400; ++i)
    {
        estimate.record("lookup", "calm", 100);
        estimate.record("lookup", "noisy", 250, 2.5);
    }
    BOOST_CHECK_CLOSE(estimate.mean_ms("lookup"), 100, 1);
    BOOST_CHECK_CLOSE(estimate.slowness("noisy"), 1, 1);
}

BOOST_AUTO_TEST_SUITE_END()
