#include "core/error.hpp"
#include "limits/customer_limit.hpp"
#include "limits/retry_budget.hpp"
#include "limits/share_coordinator.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <ranges>

using namespace briarfold;
using namespace briarfold::core::literals;
using limits::limit_kind;

namespace {

constexpr core::time_point start{100000};
const limits::shared_limits all{120, 24, 24};

/// Returns how many of `count` requests at the time `now` are refused by the limit `kind`.
int refusals(limits::customer_limit& limit, int count, core::time_point now, limit_kind kind)
{
    int refused = 0;
    for (int i = 0; i < count; ++i)
    {
        refused += limit.admit(now).limit == kind ? 1 : 0;
    }
    return refused;
}

} // namespace

// Guards against leases that add up to more than the limit, in any order of requests and times.
BOOST_AUTO_TEST_CASE(leases_never_exceed_the_limit)
{
    const bool holds = rc::check("sum of leases and reserve shares", [] {
        limits::share_coordinator coordinator(all, start);
        auto now = start + 10000_ms;
        constexpr std::size_t routers = 12;
        std::map<std::string, limits::share_grant> grants;
        std::map<std::string, core::time_point> ends;
        const auto unleased = limits::reserve_share(all, routers);
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i)
        {
            now = now + core::duration{*rc::gen::inRange(0, 700)};
            const auto router = "r-" + std::to_string(*rc::gen::inRange<std::size_t>(0, routers));
            limits::share_request request{"c", static_cast<double>(*rc::gen::inRange(0, 400)),
                                          *rc::gen::inRange(0, 60), 0, 0};
            grants[router] = coordinator.grant(router, request, routers, now);
            ends[router] = now + grants[router].lease;
            double used = unleased.rate * static_cast<double>(routers - grants.size());
            std::int64_t in_flight = 0;
            for (const auto& [name, grant] : grants)
            {
                RC_ASSERT(grant.rate >= 0 && grant.concurrency >= 0);
                used += ends[name] > now ? grant.rate : unleased.rate;
                in_flight += ends[name] > now ? grant.concurrency : 0;
            }
            RC_ASSERT(used <= all.rate + 1e-6);
            RC_ASSERT(in_flight <= all.concurrency);
        }
    });
    BOOST_TEST(holds);
}

// Guards against a new coordinator that grants shares which its predecessor has already leased.
BOOST_AUTO_TEST_CASE(new_coordinator_grants_only_held_or_equal_shares)
{
    limits::share_coordinator coordinator(all, start);
    const auto held = coordinator.grant("a", {"c", 100, 10, 80, 8}, 12, start);
    BOOST_TEST(held.rate <= 80);
    BOOST_TEST(held.concurrency <= 8);
    BOOST_TEST(coordinator.grant("b", {"c", 100, 10, 0, 0}, 12, start).rate <= all.rate / 12 + 1e-9);
    const auto later = start + limits::share_timing::lease * 2;
    BOOST_TEST(coordinator.grant("a", {"c", 90, 10, 80, 8}, 12, later).rate >= 90);
}

// Guards against a share that is lost forever with the router that held it, and against starvation when there
// are more routers than requests allowed at a time.
BOOST_AUTO_TEST_CASE(expired_shares_are_granted_again_and_remainders_rotate)
{
    limits::share_coordinator coordinator(all, start);
    auto now = start + 10000_ms;
    coordinator.grant("a", {"c", 1000, 100, 0, 0}, 2, now);
    const auto blocked = coordinator.grant("b", {"c", 1000, 100, 0, 0}, 2, now);
    now = now + limits::share_timing::contended_lease * 2;
    BOOST_TEST(coordinator.grant("b", {"c", 1000, 100, 0, 0}, 2, now).rate > blocked.rate);

    limits::share_coordinator small({10, 10, 2}, start);
    std::map<std::string, std::int64_t> total;
    for (int round = 0; round < 60; ++round)
    {
        // Routers renew when half of the lease is over.
        now = now + core::duration{limits::share_timing::contended_lease.ms / 2};
        for (const auto* router : {"a", "b", "c", "d", "e"})
        {
            total[router] += small.grant(router, {"c", 1, 1, 0, 0}, 5, now).concurrency;
        }
    }
    for (const auto& [router, sum] : total)
    {
        BOOST_TEST(sum > 0, router);
    }
}

// Guards against a router that uses a lease after its end, or that stays at the reserve share when the
// coordinator is lost.
BOOST_AUTO_TEST_CASE(router_without_coordinator_falls_back_to_equal_share)
{
    limits::customer_limit limit("c", all, 12, start);
    BOOST_TEST(limit.share(start).rate == 1);
    limit.on_grant({"c", 60, 12, 1000_ms}, start, start);
    BOOST_TEST(limit.share(start + 999_ms).rate == 60);
    limit.on_failure(start + 900_ms);
    BOOST_TEST(limit.share(start + 1000_ms).rate == 1);
    limit.on_failure(start + 1200_ms);
    const auto fallback = limit.share(start + 1500_ms);
    BOOST_TEST(fallback.rate == 10);
    BOOST_TEST(fallback.concurrency == 2);
}

// Guards against a lowered limit that takes no effect until a lease under the former contract ends.
BOOST_AUTO_TEST_CASE(lowered_limits_apply_to_a_lease_at_once)
{
    limits::customer_limit limit("c", all, 1, start);
    limit.on_grant({"c", 120, 24, 2000_ms}, start, start);
    limit.set_limits({5, 1, 2}, 1, start);
    BOOST_TEST(limit.share(start).rate == 5);
    BOOST_TEST(limit.share(start).concurrency == 2);
    BOOST_TEST(limit.next_request(start).has_value() == false, "no traffic, no request");
}

// Guards against refusals without a time until the next attempt, or with one that is too short.
BOOST_AUTO_TEST_CASE(refusals_carry_the_time_until_a_retry_can_succeed)
{
    limits::customer_limit limit("c", {10, 5, 100}, 1, start);
    limit.on_grant({"c", 10, 100, 2000_ms}, start, start);
    BOOST_TEST(refusals(limit, 8, start, limit_kind::rate) == 3);
    const auto refused = limit.admit(start);
    BOOST_TEST((refused.limit == limit_kind::rate));
    BOOST_TEST(refused.retry_after.ms == 100);
    BOOST_TEST((limit.admit(start + refused.retry_after).limit == limit_kind::none));

    limits::customer_limit narrow("c", {1000, 1000, 2}, 1, start);
    narrow.on_grant({"c", 1000, 2, 2000_ms}, start, start);
    BOOST_TEST(refusals(narrow, 3, start, limit_kind::concurrency) == 1);
    BOOST_TEST(narrow.admit(start).retry_after.ms > 0);
    narrow.release();
    BOOST_TEST((narrow.admit(start).limit == limit_kind::none));
}

// Guards against a share request for each incoming request, and against demand that is never reported.
BOOST_AUTO_TEST_CASE(demand_triggers_few_share_requests)
{
    limits::customer_limit limit("c", all, 12, start);
    BOOST_TEST(!limit.next_request(start).has_value());
    int asked = 0;
    for (const int i : std::views::iota(0, 1000))
    {
        const auto now = start + core::duration{i};
        if (limit.admit(now).limit == limit_kind::none)
        {
            limit.release();
        }
        if (limit.next_request(now))
        {
            ++asked;
            limit.on_grant({"c", 60, 12, 2000_ms}, now, now);
        }
    }
    BOOST_TEST(asked >= 1);
    BOOST_TEST(asked <= 10);
}

// Guards against retries that multiply the load of a failing backend server.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
    limits::retry_budget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.add_request(0.1);
        taken += budget.take() ? 1 : 0;
    }
    BOOST_TEST(taken >= 95);
    BOOST_TEST(taken <= 101);
}

BOOST_AUTO_TEST_CASE(share_messages_round_trip_through_json)
{
    const limits::share_request request{"c", 1.5, 2, 0.25, 1};
    BOOST_TEST((limits::parse_share_request(to_json(request)) == request));
    const limits::share_grant grant{"c", 1.5, 2, 1000_ms};
    BOOST_TEST((limits::parse_share_grant(to_json(grant)) == grant));
    BOOST_CHECK_THROW(limits::parse_share_request({{"customer", 1}}), core::error);
}
