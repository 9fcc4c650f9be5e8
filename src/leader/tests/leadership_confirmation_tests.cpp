#include "leader/leadership_confirmation.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::leader;
using core::duration;
using core::time_point;

namespace {

constexpr duration minute{60000};

/// Ticks without a pause from one moment to the other.
void run(leadership_confirmation& confirmation, time_point from, time_point until, bool is_isolated)
{
    constexpr duration interval{50};
    for (auto now = from; now <= until; now = now + interval)
    {
        confirmation.on_tick(is_isolated, now);
    }
}

} // namespace

// Guards against a cut-off leader that confirms itself for ever.
BOOST_AUTO_TEST_CASE(a_leader_without_the_store_and_without_a_router_stops_confirming)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto limit = start + leadership_confirmation::max_storeless_time;
    const auto before = limit - duration{1};
    run(confirmation, start, before, false);
    BOOST_CHECK(confirmation.undisputed_at(before, false, true) == before);
    run(confirmation, before, start + minute, false);
    BOOST_CHECK(confirmation.undisputed_at(start + minute, false, true) == limit);
}

// Guards against two owners: a leader that was cut off with few routers let them open connections to backend
// servers, one of which had restarted and knew no tokens of the other leader's fronts.
BOOST_AUTO_TEST_CASE(an_isolated_leader_confirms_nothing_new_without_the_store)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto cut = start + duration{2000};
    const auto later = start + duration{3000};
    run(confirmation, start, cut, false);
    run(confirmation, cut, later, true);
    BOOST_CHECK(confirmation.undisputed_at(later, false, false) == later);
    BOOST_CHECK(confirmation.undisputed_at(later, false, true) == cut);
    confirmation.on_tick(false, later);
    BOOST_CHECK(confirmation.undisputed_at(later, false, true) == later);
}

// Guards against two owners: a leader that had stood still and was replaced meanwhile confirmed its fronts
// before it had asked the store.
BOOST_AUTO_TEST_CASE(a_leader_that_stood_still_confirms_nothing_until_it_is_confirmed)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto frozen = start + duration{2000};
    const auto thawed = start + duration{8000};
    run(confirmation, start, frozen, false);
    BOOST_CHECK(!confirmation.is_check_due(frozen));
    BOOST_CHECK(confirmation.undisputed_at(thawed, false, false) == frozen);
    confirmation.on_tick(false, thawed);
    BOOST_CHECK(confirmation.undisputed_at(thawed, false, false) == frozen);
    BOOST_CHECK(confirmation.is_check_due(thawed));
    BOOST_CHECK(confirmation.undisputed_at(thawed, true, true) == thawed);
    confirmation.on_confirmed(thawed);
    BOOST_CHECK(confirmation.undisputed_at(thawed, false, false) == thawed);
}

// Guards against two owners: the store's answer to a renewal that was on its way while the leader stood still
// confirmed it at the time of its receipt, although it had been replaced meanwhile.
BOOST_AUTO_TEST_CASE(an_answer_that_was_on_its_way_during_a_pause_confirms_nothing_later)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto sent = start + duration{2000};
    const auto thawed = start + duration{8000};
    run(confirmation, start, sent, false);
    confirmation.on_confirmed(sent);
    BOOST_CHECK(confirmation.confirmed_at() == sent);
    BOOST_CHECK(confirmation.undisputed_at(thawed, false, false) == sent);
    confirmation.on_tick(false, thawed);
    confirmation.on_confirmed(sent);
    BOOST_CHECK(confirmation.undisputed_at(thawed, false, false) == sent);
    BOOST_CHECK(confirmation.is_check_due(thawed));
}

// Guards against an outage of the store that ends the service although no router is missing.
BOOST_AUTO_TEST_CASE(a_leader_that_all_routers_follow_goes_on_without_the_store)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    confirmation.on_confirmed(start + duration{1000});
    const auto now = start + minute;
    run(confirmation, start, now, false);
    BOOST_CHECK(confirmation.undisputed_at(now, true, true) == now);
}

// Guards against keys of a restarted backend server that a replaced leader lets its fronts grant over a
// connection that is newer than its successor.
BOOST_AUTO_TEST_CASE(a_leader_proves_that_it_leads_only_by_the_store)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    confirmation.on_confirmed(start);
    const auto now = start + duration{2000};
    run(confirmation, start, now, false);
    BOOST_CHECK(confirmation.undisputed_at(now, true, false) == now);
    BOOST_CHECK(confirmation.proved_at(now, true, false) == start);
    BOOST_CHECK(!confirmation.is_check_due(now));
    confirmation.request_proof(now);
    BOOST_CHECK(confirmation.is_check_due(now));
    confirmation.on_confirmed(now);
    BOOST_CHECK(!confirmation.is_check_due(now));
    BOOST_CHECK(confirmation.proved_at(now + duration{500}, true, false) == now);
}

// Guards against keys of a lost router that stay without service until the store is back.
BOOST_AUTO_TEST_CASE(a_leader_that_most_routers_follow_goes_on_while_the_store_fails)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto now = start + duration{2000};
    run(confirmation, start, now, false);
    BOOST_CHECK(confirmation.proved_at(now, false, true) == now);
    const auto isolated = now + duration{1000};
    run(confirmation, now, isolated, true);
    BOOST_CHECK(confirmation.proved_at(isolated, false, true) < isolated);
}
