#include "leader/tests/leader_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>

using namespace briarfold;
using namespace briarfold::leader;
using namespace briarfold::leader::tests;

BOOST_FIXTURE_TEST_SUITE(leader_states, fixture)

// Guards against keys without an owner or with two owners after the first assignment.
BOOST_AUTO_TEST_CASE(all_keys_are_assigned_exactly_once)
{
    start(4);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
    std::uint32_t sum = 0;
    for (const auto& [id, item] : state->current().entries)
    {
        sum += keyspace::size(item.keys);
        BOOST_CHECK(!item.front.empty());
    }
    BOOST_CHECK_EQUAL(sum, keyspace::key_count);
}

// Guards against keys that are published before the store has them.
BOOST_AUTO_TEST_CASE(keys_are_published_only_when_written)
{
    state->on_registered(make_server("s0"), now);
    for (int i = 0; i < 30; ++i)
    {
        now = now + duration{100};
        report("r1");
        state->tick(now);
    }
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_EQUAL(state->take_pending_rows().size(), 1U);
    BOOST_CHECK(entry("s0").keys.empty());
    state->on_write_failed();
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_EQUAL(write(), 1U);
    BOOST_CHECK_EQUAL(keyspace::size(entry("s0").keys), keyspace::key_count);
}

// Guards against a next owner that gets keys before they are freed, or with an equal or lower token.
BOOST_AUTO_TEST_CASE(draining_keys_move_only_after_they_are_freed)
{
    start(3);
    const auto keys = entry("s0").keys;
    const auto former_token = entry("s0").token_base;
    const auto front = entry("s0").front;
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    advance(1000);
    BOOST_CHECK(entry("s0").withdrawn == keys);
    BOOST_CHECK(entry("s0").keys == keys);
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    report(front, {{"s0", keys.front(), "warm"}});
    state->tick(now);
    BOOST_CHECK(entry("s0").keys == keys);
    write();
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
    for (const auto& [id, item] : state->current().entries)
    {
        if (!keyspace::set_intersection(item.keys, keys).empty())
        {
            BOOST_CHECK_GT(item.token_base, former_token);
            BOOST_CHECK(!item.handovers.empty());
        }
    }
}

// Guards against two owners: a front that was assigned while the write of the next owner was on its way saw
// the freed keys as withdrawn and granted them again.
BOOST_AUTO_TEST_CASE(a_new_front_does_not_see_freed_keys)
{
    start(3);
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    advance(200);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    report(front, {{"s0", keys.front(), ""}});
    BOOST_REQUIRE(!state->take_pending_rows().empty());
    router_report stopping;
    stopping.router = make_router(front, front == "r2" ? "b" : "a");
    stopping.router.is_stopping = true;
    state->on_report(stopping, now);
    state->tick(now);
    BOOST_REQUIRE(entry("s0").front != front);
    BOOST_CHECK(entry("s0").keys.empty());
}

// Guards against two owners: keys that were freed during a write came back with its answer when the front had
// changed meanwhile, and the new front granted them while the next write gave them to another owner.
BOOST_AUTO_TEST_CASE(keys_freed_during_a_write_do_not_come_back_to_a_new_front)
{
    start(3);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    advance(200);
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    const auto middle = keys.front().first + keyspace::size(keys) / 2;
    const keyspace::key_range lower{keys.front().first, middle};
    const keyspace::key_range upper{middle + 1, keys.front().last};
    report(front, {{"s0", lower, ""}});
    BOOST_REQUIRE(!state->take_pending_rows().empty());
    report(front, {{"s0", upper, ""}});
    router_report stopping;
    stopping.router = make_router(front, front == "r2" ? "b" : "a");
    stopping.router.is_stopping = true;
    state->on_report(stopping, now);
    state->tick(now);
    BOOST_REQUIRE(entry("s0").front != front);
    state->on_written({0, ++version});
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_GT(write(), 0U);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
}

// Guards against two owners: a front that restarted during a write saw the keys that its former process had
// freed as withdrawn, and granted them once more while the write gave them to another owner.
BOOST_AUTO_TEST_CASE(a_restarted_front_does_not_see_freed_keys)
{
    start(3);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    drain("s0");
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    const auto middle = keys.front().first + keyspace::size(keys) / 2;
    report(front, {{"s0", {keys.front().first, middle}, ""}});
    BOOST_REQUIRE(!state->take_pending_rows().empty());
    report(front, {{"s0", {middle + 1, keys.front().last}, ""}});
    report(front, {}, {}, "2");
    BOOST_REQUIRE_EQUAL(entry("s0").front, front);
    BOOST_CHECK(entry("s0").keys.empty());
    state->on_written({0, ++version});
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_GT(write(), 0U);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
}

// Guards against two owners: a grant of the former process that was applied late had the token of those of
// the restarted one, so that the backend server took its keys back after their release.
BOOST_AUTO_TEST_CASE(a_restarted_front_has_tokens_above_those_of_its_former_process)
{
    start(3);
    const auto front = entry("s0").front;
    const auto former = entry("s0");
    report(front, {}, {}, "2");
    BOOST_REQUIRE_EQUAL(entry("s0").front, front);
    constexpr std::int64_t max_lost_calls = 4095;
    BOOST_CHECK_GT(entry("s0").token_base, former.token_base + max_lost_calls);
    BOOST_CHECK_EQUAL(entry("s0").front_token, entry("s0").token_base);
    BOOST_CHECK_GT(entry("s0").revision, former.revision);
}

// Guards against keys without service: after a change of front they counted as freed although they had come
// back to their backend server, so that they could not be taken from it again.
BOOST_AUTO_TEST_CASE(keys_that_come_back_can_be_freed_again)
{
    start(2);
    const auto keys = entry("s0").keys;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    const auto drain = [&](const std::string& id, bool is_draining, std::int64_t start_time_ms) {
        auto server = make_server(id, id == "s0" ? "a" : "b");
        server.is_draining = is_draining;
        server.start_time_ms = start_time_ms;
        state->on_registered(server, now);
        advance(200);
    };
    const auto free_all = [&](const std::string& id) {
        const auto withdrawn = entry(id).withdrawn;
        for (const auto& range : withdrawn)
        {
            report(entry(id).front, {{id, range, ""}});
        }
    };
    drain("s0", true, 1);
    const auto front = entry("s0").front;
    free_all("s0");
    router_report stopping;
    stopping.router = make_router(front, front == "r2" ? "b" : "a");
    stopping.router.is_stopping = true;
    state->on_report(stopping, now);
    state->tick(now);
    write();
    BOOST_REQUIRE(entry("s0").keys.empty());
    // s0 starts again and gets the keys of s1, which drains.
    drain("s0", false, 2);
    drain("s1", true, 1);
    free_all("s1");
    state->tick(now);
    write();
    BOOST_REQUIRE_EQUAL(keyspace::size(entry("s0").keys), keyspace::key_count);
    drain("s1", false, 2);
    drain("s0", true, 2);
    free_all("s0");
    state->tick(now);
    write();
    BOOST_CHECK(entry("s0").keys.empty());
    BOOST_CHECK_EQUAL(keyspace::size(entry("s1").keys), keyspace::key_count);
}

// Guards against keys without service: keys that were freed and had no other place to go came back to their
// backend server in the same write, and stayed withdrawn and freed for ever.
BOOST_AUTO_TEST_CASE(freed_keys_that_go_back_to_their_backend_server_are_served_again)
{
    start(2);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    report(front, {}, {"s0"});
    for (int i = 0; i < 11; ++i)
    {
        now = now + duration{100};
        for (const std::string name : {"r1", "r2", "r3"})
        {
            report(name, {}, name == front ? std::vector<std::string>{"s0"} : std::vector<std::string>{});
        }
        state->tick(now);
    }
    BOOST_REQUIRE(entry("s0").withdrawn == keys);
    // s0 is reached again before its keys are free, and the only other backend server leaves.
    auto leaving = make_server("s1", "b");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    const auto token = entry("s0").token_base;
    report(front, {{"s0", keys.front(), ""}});
    write();
    BOOST_CHECK(entry("s0").keys == keys);
    BOOST_CHECK(entry("s0").withdrawn.empty());
    BOOST_CHECK_GT(entry("s0").token_base, token);
    leaving.is_draining = false;
    leaving.start_time_ms = 2;
    state->on_registered(leaving, now);
    drain("s0");
    report(front, {{"s0", keys.front(), ""}});
    write();
    BOOST_CHECK(entry("s0").keys.empty());
}

// Guards against freed keys reported by a router that is not the front any more.
BOOST_AUTO_TEST_CASE(only_the_front_frees_keys)
{
    start(3);
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    advance(200);
    const auto keys = entry("s0").keys;
    const std::string other = entry("s0").front == "r2" ? "r3" : "r2";
    report(other, {{"s0", keys.front(), ""}});
    state->tick(now);
    write();
    BOOST_CHECK(entry("s0").keys == keys);
}

// Guards against two owners: a report that reached the leader late freed keys that were granted again since.
// The front had made it under a former leader, which had withdrawn the same keys, or before they were last
// withdrawn.
BOOST_AUTO_TEST_CASE(reports_made_before_the_withdrawal_free_no_keys)
{
    start(3);
    const auto keys = entry("s0").keys;
    router_report late;
    late.router = make_router(entry("s0").front, entry("s0").front == "r2" ? "b" : "a");
    late.freed = {{"s0", keys.front(), ""}};
    late.term = state->current().term;
    late.revision = state->current().revision;
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    state->tick(now);
    BOOST_REQUIRE(entry("s0").withdrawn == keys);
    state->on_report(late, now);
    BOOST_CHECK_EQUAL(write(), 0U);
    late.revision = state->current().revision;
    late.term = {};
    state->on_report(late, now);
    BOOST_CHECK_EQUAL(write(), 0U);
    late.term = state->current().term;
    state->on_report(late, now);
    BOOST_CHECK_GT(write(), 0U);
    BOOST_CHECK(entry("s0").keys.empty());
}

// Guards against two owners: a report that reached the leader late freed keys that were granted again since
// and withdrawn once more. The rest of their first withdrawal was still in progress, so that it counted for
// them too.
BOOST_AUTO_TEST_CASE(a_late_report_frees_no_keys_that_were_granted_again_beside_a_withdrawal)
{
    start(2);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    const auto middle = keys.front().first + keyspace::size(keys) / 2;
    const keyspace::key_range lower{keys.front().first, middle};
    const keyspace::key_range upper{middle + 1, keys.front().last};
    drain("s0");
    BOOST_REQUIRE(entry("s0").withdrawn == keys);
    // The front has freed the lower keys; the release of the upper ones waits for their work.
    router_report late;
    late.router = make_router(front, front == "r2" ? "b" : "a");
    late.freed = {{"s0", lower, ""}};
    late.term = state->current().term;
    late.revision = state->current().revision;
    report(front, late.freed);
    BOOST_REQUIRE_GT(write(), 0U);
    BOOST_REQUIRE(entry("s0").keys == keyspace::key_set{upper});
    // s0 starts again and the other backend server leaves, so that the lower keys come back.
    auto back = make_server("s0");
    back.start_time_ms = 2;
    state->on_registered(back, now);
    auto leaving = make_server("s1", "b");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    state->tick(now);
    const auto withdrawn = entry("s1").withdrawn;
    for (const auto& range : withdrawn)
    {
        report(entry("s1").front, {{"s1", range, ""}});
    }
    BOOST_REQUIRE_GT(write(), 0U);
    BOOST_REQUIRE(keyspace::covers(entry("s0").keys, {lower}));
    BOOST_REQUIRE(keyspace::set_intersection(entry("s0").withdrawn, {lower}).empty());
    leaving.is_draining = false;
    leaving.start_time_ms = 2;
    state->on_registered(leaving, now);
    back.is_draining = true;
    state->on_registered(back, now);
    state->tick(now);
    BOOST_REQUIRE(keyspace::covers(entry("s0").withdrawn, {lower}));
    state->on_report(late, now);
    write();
    BOOST_CHECK(keyspace::covers(entry("s0").keys, {lower}));
}

// Guards against two owners: as above, with keys that were hidden from a new front and came back to their
// backend server, while the rest stayed withdrawn.
BOOST_AUTO_TEST_CASE(a_late_report_frees_no_keys_that_came_back_after_a_change_of_front)
{
    start(2);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    const auto middle = keys.front().first + keyspace::size(keys) / 2;
    const keyspace::key_range lower{keys.front().first, middle};
    const keyspace::key_range upper{middle + 1, keys.front().last};
    drain("s0");
    report(front, {{"s0", lower, ""}});
    // The front restarts before the write; its new process makes the report that arrives late.
    report(front, {}, {}, "2");
    BOOST_REQUIRE(entry("s0").keys == keyspace::key_set{upper});
    router_report late;
    late.router = make_router(front, front == "r2" ? "b" : "a", "2");
    late.freed = {{"s0", lower, ""}};
    late.term = state->current().term;
    late.revision = state->current().revision;
    BOOST_REQUIRE_GT(write(), 0U);
    auto back = make_server("s0");
    back.start_time_ms = 2;
    state->on_registered(back, now);
    auto leaving = make_server("s1", "b");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    state->tick(now);
    const auto withdrawn = entry("s1").withdrawn;
    for (const auto& range : withdrawn)
    {
        const auto other = entry("s1").front;
        report(other, {{"s1", range, ""}}, {}, other == front ? "2" : "1");
    }
    BOOST_REQUIRE_GT(write(), 0U);
    BOOST_REQUIRE(keyspace::covers(entry("s0").keys, {lower}));
    leaving.is_draining = false;
    leaving.start_time_ms = 2;
    state->on_registered(leaving, now);
    back.is_draining = true;
    state->on_registered(back, now);
    state->tick(now);
    BOOST_REQUIRE(keyspace::covers(entry("s0").withdrawn, {lower}));
    state->on_report(late, now);
    write();
    BOOST_CHECK(keyspace::covers(entry("s0").keys, {lower}));
    // The report of the present withdrawal frees them.
    late.revision = state->current().revision;
    state->on_report(late, now);
    BOOST_CHECK_GT(write(), 0U);
    BOOST_CHECK(keyspace::set_intersection(entry("s0").keys, {lower}).empty());
}

// Guards against two owners: a whole directory that reached a router after later updates of the same leader
// replaced them, and the front granted keys again that had moved to another backend server.
BOOST_AUTO_TEST_CASE(a_late_whole_directory_brings_no_keys_back)
{
    start(3);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    // Its sender got no answer in time, and sends it once more.
    const auto late = state->update_for({}, 0, now);
    BOOST_REQUIRE(late.is_full_snapshot);
    directory::snapshot known;
    BOOST_REQUIRE(directory::apply(known, state->update_for({}, 0, now)));
    drain("s0");
    report(front, {{"s0", keys.front(), ""}});
    BOOST_REQUIRE_GT(write(), 0U);
    BOOST_REQUIRE(directory::apply(known, state->update_for(known.term, known.revision, now)));
    BOOST_REQUIRE(known.entries.at("s0").keys.empty());
    const auto revision = known.revision;
    directory::apply(known, late);
    BOOST_CHECK(known.entries.at("s0").keys.empty());
    BOOST_CHECK_EQUAL(known.revision, revision);
}

// Guards against two owners: an update that arrived late brought a backend server back that had left, and the
// front granted it keys that had moved; it may still run for many seconds.
BOOST_AUTO_TEST_CASE(a_late_update_brings_no_backend_server_back)
{
    start(3);
    const auto keys = entry("s0").keys;
    const auto front = entry("s0").front;
    BOOST_REQUIRE_EQUAL(keys.size(), 1U);
    directory::snapshot known;
    BOOST_REQUIRE(directory::apply(known, state->update_for({}, 0, now)));
    const auto late = state->update_for(known.term, entry("s0").revision - 1, now);
    BOOST_REQUIRE(!late.is_full_snapshot);
    BOOST_REQUIRE(late.changed.entries.contains("s0"));
    state->on_unregistered("s0", true, now);
    advance(200);
    report(front, {{"s0", keys.front(), ""}});
    BOOST_REQUIRE_GT(write(), 0U);
    state->tick(now);
    BOOST_REQUIRE(!state->current().entries.contains("s0"));
    BOOST_REQUIRE(directory::apply(known, state->update_for(known.term, known.revision, now)));
    BOOST_REQUIRE(!known.entries.contains("s0"));
    directory::apply(known, late);
    BOOST_CHECK(!known.entries.contains("s0"));
}

// Guards against a bound that a restart of the stored front shortens: another router may have been the last
// front, since fronts change without a write.
BOOST_AUTO_TEST_CASE(a_restarted_front_does_not_shorten_the_bound_of_earlier_grants)
{
    start(2);
    const auto rows = stored;
    restart(1000);
    for (const auto& [name, row] : rows)
    {
        state->load_row(row, now);
    }
    const auto bound = state->prior_grant_remaining("s0", now);
    report(entry("s0").front, {}, {}, "2");
    BOOST_CHECK(state->prior_grant_remaining("s0", now) == bound);
}

// Guards against a new leader that gives keys away while its cut-off predecessor still confirms fronts. The
// longer bound ends early once the former leader follows the new one.
BOOST_AUTO_TEST_CASE(the_bound_of_earlier_grants_includes_a_former_leader_without_the_store)
{
    start(2);
    const auto rows = stored;
    restart(1000);
    state->set_former_leaders({make_router("r2", "b"), make_router("r3")});
    for (const auto& [name, row] : rows)
    {
        state->load_row(row, now);
    }
    const auto confirmed_until = now + leader_settings().max_storeless_time;
    const auto renewed_until = confirmed_until + grants::max_confirmation_age;
    const auto end = grants::latest_grant_end(renewed_until, grants::outage_grant_duration);
    BOOST_CHECK(state->prior_grant_remaining("s0", now) >= end - now);
    report("r2");
    BOOST_CHECK(state->prior_grant_remaining("s0", now) >= end - now);
    report("r3", {}, {}, "2");
    const auto shorter =
        grants::latest_grant_end(now + grants::max_confirmation_age, grants::outage_grant_duration);
    BOOST_CHECK(state->prior_grant_remaining("s0", now) == shorter - now);
}

// Guards against a cut-off leader that takes the few routers left in its directory, or itself alone, for all.
BOOST_AUTO_TEST_CASE(a_lost_router_counts_until_it_reports_again)
{
    start(2);
    BOOST_CHECK(state->do_all_routers_follow(now));
    advance(3000, {"r1", "r2"});
    BOOST_REQUIRE(!state->current().routers.contains("r3"));
    BOOST_CHECK(!state->do_all_routers_follow(now));
    advance(300);
    BOOST_CHECK(state->do_all_routers_follow(now));
    restart(1000);
    BOOST_CHECK(!state->do_all_routers_follow(now));
}

// Guards against a cut-off leader that goes on without the store because it never knew the routers that its
// predecessor had lost.
BOOST_AUTO_TEST_CASE(routers_that_the_former_leader_lost_count_for_the_next_one)
{
    start(2);
    advance(3000, {"r1", "r2"});
    const auto known = state->current();
    BOOST_CHECK(known.lost_routers == std::vector<std::string>{"r3"});
    directory::snapshot follower;
    const auto update = directory::update_from_json(directory::to_json(state->update_for({}, 0, now)));
    BOOST_REQUIRE(directory::apply(follower, update));
    restart(1000);
    for (const auto& [name, router] : follower.routers)
    {
        state->load_router(router, now);
    }
    std::ranges::for_each(follower.lost_routers,
                          [this](const auto& name) { state->load_lost_router(name, now); });
    advance(500, {"r1", "r2"});
    BOOST_CHECK(!state->do_all_routers_follow(now));
    report("r3");
    BOOST_CHECK(state->do_all_routers_follow(now));
}

// Guards against two owners: reports that had arrived while the leader stood still counted as received now,
// so that it took itself for undisputed although another one had replaced it meanwhile.
BOOST_AUTO_TEST_CASE(reports_from_before_a_pause_do_not_show_that_all_routers_follow)
{
    advance(1000);
    BOOST_REQUIRE(state->do_all_routers_follow(now));
    const auto known = state->current().revision;
    const auto report_late = [&](const std::string& name) {
        router_report message;
        message.router = make_router(name, name == "r2" ? "b" : "a");
        message.term = state->current().term;
        message.revision = known;
        state->on_report(message, now);
    };
    now = now + duration{35000};
    report_late("r2");
    state->tick(now);
    report_late("r3");
    state->tick(now);
    BOOST_CHECK_EQUAL(state->current().routers.size(), 3U);
    BOOST_CHECK(!state->do_all_routers_follow(now));
    report("r2");
    BOOST_CHECK(!state->do_all_routers_follow(now));
    report("r3");
    BOOST_CHECK(state->do_all_routers_follow(now));
}

// Guards against a router of another term that happens to know as many revisions.
BOOST_AUTO_TEST_CASE(a_report_of_another_term_does_not_show_that_a_router_follows_after_a_pause)
{
    advance(1000);
    now = now + duration{5000};
    report("r2");
    report("r3");
    state->tick(now);
    report("r2");
    router_report message;
    message.router = make_router("r3");
    message.term = {0, state->current().term.number - 1};
    message.revision = state->current().revision;
    state->on_report(message, now);
    BOOST_CHECK(!state->do_all_routers_follow(now));
    report("r3");
    BOOST_CHECK(state->do_all_routers_follow(now));
}

// Guards against a leader that cannot show after a short pause that all routers follow it, so that an outage
// of the store ends the service.
BOOST_AUTO_TEST_CASE(routers_that_follow_show_it_after_a_pause_with_one_report_each)
{
    advance(1000);
    const auto known = state->current().revision;
    now = now + duration{1200};
    state->tick(now);
    directory::snapshot follower;
    BOOST_REQUIRE(directory::apply(follower, state->update_for({}, 0, now)));
    BOOST_CHECK_GT(follower.revision, known);
    BOOST_CHECK(!state->do_all_routers_follow(now));
    report("r2");
    report("r3");
    BOOST_CHECK(state->do_all_routers_follow(now));
}

// Guards against a leader that takes itself for isolated while most routers follow it, and the reverse.
BOOST_AUTO_TEST_CASE(a_leader_is_isolated_when_fewer_than_half_of_the_routers_follow)
{
    start(2);
    BOOST_CHECK(!state->is_isolated(now));
    advance(3000, {"r1", "r2"});
    BOOST_CHECK(!state->is_isolated(now));
    advance(3000, {"r1"});
    BOOST_CHECK(state->is_isolated(now));
    report("r3");
    BOOST_CHECK(!state->is_isolated(now));
}

// Guards against a router that is gone for good and keeps all later leaders from going on without the store.
BOOST_AUTO_TEST_CASE(a_router_that_was_lost_long_ago_does_not_count_for_the_next_leader)
{
    start(2);
    advance(3000, {"r1", "r2"});
    advance(leader_settings().lost_router_memory.ms, {"r1", "r2"});
    BOOST_CHECK(state->current().lost_routers.empty());
    BOOST_CHECK(!state->do_all_routers_follow(now));
}

// Guards against a silent front that keeps its backend servers. Another front gets them without a write, with
// a higher token and with the time for which grants of the silent front may still be valid.
BOOST_AUTO_TEST_CASE(a_silent_front_is_replaced_without_a_write)
{
    start(4);
    const auto fronted_by = [&](const std::string& name) {
        std::vector<std::string> ids;
        for (const auto& [id, item] : state->current().entries)
        {
            if (item.front == name)
            {
                ids.push_back(id);
            }
        }
        return ids;
    };
    const auto ids = fronted_by("r2");
    BOOST_REQUIRE(!ids.empty());
    const auto token = entry(ids.front()).token_base;
    for (int i = 0; i < 20; ++i)
    {
        now = now + duration{100};
        report("r1");
        report("r3");
        state->tick(now);
        BOOST_CHECK(state->take_pending_rows().empty());
    }
    BOOST_CHECK(fronted_by("r2").empty());
    BOOST_CHECK_GT(entry(ids.front()).token_base, token);
    BOOST_CHECK_GT(state->prior_grant_remaining(ids.front(), now).ms, grants::outage_grant_duration.ms);
}

// Guards against grants with equal tokens: a front that has opened thousands of connections has no later
// ones.
BOOST_AUTO_TEST_CASE(a_front_that_is_short_of_tokens_gets_later_ones)
{
    start(2);
    const auto token = entry("s0").token_base;
    router_report message;
    message.router = make_router(entry("s0").front, entry("s0").front == "r2" ? "b" : "a");
    message.term = state->current().term;
    message.revision = state->current().revision;
    message.short_of_tokens = {"s0"};
    state->on_report(message, now);
    BOOST_CHECK_GT(write(), 0U);
    BOOST_CHECK_GT(entry("s0").token_base, token);
    // The same report again, from before the later tokens.
    state->on_report(message, now);
    BOOST_CHECK_EQUAL(write(), 0U);
}

// Guards against grants with the tokens of a former process: a router that restarted was confirmed although
// its directory showed the former term of office.
BOOST_AUTO_TEST_CASE(a_restarted_front_is_confirmed_only_with_its_new_term_of_office)
{
    start(3);
    const auto front = entry("s0").front;
    const auto token = entry("s0").token_base;
    const auto revision = state->current().revision;
    report(front, {}, {}, "2");
    BOOST_REQUIRE_GT(entry("s0").token_base, token);
    BOOST_CHECK(!state->knows_its_fronts(front, revision));
    BOOST_CHECK(state->knows_its_fronts(front, state->current().revision));
}

// Guards against keys without service for a second: a backend server whose process has ended was treated as
// one that may be reached again.
BOOST_AUTO_TEST_CASE(keys_of_an_ended_process_are_withdrawn_at_once)
{
    start(3);
    const auto keys = entry("s0").keys;
    BOOST_REQUIRE(!keys.empty());
    router_report message;
    message.router = make_router(entry("s0").front, entry("s0").front == "r2" ? "b" : "a");
    message.unreachable = {"s0"};
    message.ended = {{"s0", entry("s0").server.start_time_ms - 1}};
    state->on_report(message, now);
    state->tick(now);
    BOOST_CHECK(entry("s0").withdrawn.empty());
    message.ended = {{"s0", entry("s0").server.start_time_ms}};
    state->on_report(report_from_json(to_json(message)), now);
    state->tick(now);
    BOOST_CHECK(entry("s0").withdrawn == keys);
    // Requests for the keys wait for their next owner.
    BOOST_CHECK(!entry("s0").is_unreachable);
}

// Guards against a key that moves with a lower token: many changes of front without a change of keys used up
// the part of the token that counts them, so that it reached into the tokens of the next owner.
BOOST_AUTO_TEST_CASE(tokens_rise_after_hundreds_of_front_changes)
{
    start(2);
    const auto keys = entry("s0").keys;
    auto highest = entry("s0").token_base;
    constexpr int rounds = 300;
    for (int round = 0; round < rounds; ++round)
    {
        const auto former = entry("s0").front;
        for (const std::string name : {"r1", "r2", "r3"})
        {
            router_report message;
            message.router = make_router(name, name == "r2" ? "b" : "a");
            message.router.is_stopping = name == "r1" || name == former;
            state->on_report(message, now);
        }
        now = now + duration{100};
        state->tick(now);
        write();
        BOOST_REQUIRE(entry("s0").front != former);
        highest = std::max(highest, entry("s0").token_base);
    }
    auto leaving = make_server("s0");
    leaving.is_draining = true;
    state->on_registered(leaving, now);
    advance(200);
    report(entry("s0").front, {{"s0", keys.front(), ""}});
    state->tick(now);
    write();
    BOOST_REQUIRE(!keyspace::set_intersection(entry("s1").keys, keys).empty());
    BOOST_CHECK_GT(entry("s1").token_base, highest);
}

// Guards against a leader that becomes the front of all backend servers because it is the first router up
// after a restart of all.
BOOST_AUTO_TEST_CASE(the_first_router_after_a_full_restart_does_not_keep_all_fronts)
{
    for (std::size_t i = 0; i < 12; ++i)
    {
        state->on_registered(make_server("s" + std::to_string(i), i % 2 == 0 ? "a" : "b"), now);
    }
    advance(500, {"r1"});
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK(item.front.empty());
    }
    advance(600, {"r1"});
    advance(8000, {"r1", "r2", "r3"});
    std::map<std::string, int> fronts;
    for (const auto& [id, item] : state->current().entries)
    {
        ++fronts[item.front];
    }
    BOOST_CHECK_LE(fronts["r1"], 5);
    BOOST_CHECK_GE(fronts["r2"], 3);
    BOOST_CHECK_GE(fronts["r3"], 3);
}

// Load pattern: a large group after a restart of all routers, when the first ones up have become the fronts
// of all backend servers. Guards against balancing that takes minutes, and against a leader that is a front
// as well.
BOOST_AUTO_TEST_CASE(fronts_of_a_large_group_are_balanced_within_seconds)
{
    constexpr std::size_t servers = 300;
    constexpr int routers = 60;
    start(servers);
    for (int step = 0; step < 50; ++step)
    {
        now = now + duration{100};
        for (int i = 1; i <= routers; ++i)
        {
            router_report message;
            message.router = make_router("r" + std::to_string(i), i % 2 == 0 ? "a" : "b");
            state->on_report(message, now);
        }
        state->tick(now);
        write();
    }
    std::map<std::string, int> fronts;
    for (const auto& [id, item] : state->current().entries)
    {
        ++fronts[item.front];
    }
    BOOST_CHECK_EQUAL(fronts["r1"], 0);
    const auto busiest = std::ranges::max_element(fronts, {}, [](const auto& item) { return item.second; });
    BOOST_CHECK_LE(busiest->second, 3 * static_cast<int>(servers) / routers);
}

// Load pattern: large answers, of which a few backend servers fill the link of a router with a strong
// processor. Guards against fronts that are chosen by their processors alone.
BOOST_AUTO_TEST_CASE(a_service_with_large_answers_gets_fronts_with_bandwidth)
{
    const auto join = [this](const std::string& name, double cpu, double mbps, std::int64_t bytes) {
        router_report message;
        message.router = make_router(name);
        message.router.cpu = cpu;
        message.router.bandwidth_mbps = mbps;
        message.term = state->current().term;
        message.revision = state->current().revision;
        message.answer_bytes["images"] = bytes;
        state->on_report(message, now);
    };
    constexpr int servers = 16;
    for (int i = 0; i < servers; ++i)
    {
        state->on_registered(make_server("i" + std::to_string(i), "a", "images"), now);
    }
    constexpr std::int64_t bytes_per_report = 150000;
    constexpr int steps = 100;
    for (int step = 0; step < steps; ++step)
    {
        now = now + duration{100};
        for (const auto* const name : {"0", "1", "2", "3"})
        {
            join("narrow" + std::string(name), 0.5, 10, bytes_per_report);
            join("wide" + std::string(name), 0.2, 200, 0);
        }
        join("r1", 0.1, 10, 0);
        state->tick(now);
        write();
    }
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK_MESSAGE(item.front.starts_with("wide"), id << " has the front " << item.front);
    }
}

// Guards against queues that mix the backend servers of several zones, so that answers cross between zones on
// their way to the front.
BOOST_AUTO_TEST_CASE(a_zone_with_enough_backend_servers_has_queues_of_its_own)
{
    constexpr int servers = 12;
    for (int i = 0; i < servers; ++i)
    {
        state->on_registered(make_server("i" + std::to_string(i), i % 2 == 0 ? "a" : "b", "images"), now);
    }
    advance(5000);
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK_EQUAL(item.front == "r2", item.server.zone == "b");
    }
}

// Guards against a front that is confirmed although it does not know that another router is the front now: it
// would go on renewing grants for longer than its successor reckons with.
BOOST_AUTO_TEST_CASE(a_former_front_is_confirmed_only_when_it_knows_of_the_change)
{
    start(4);
    const auto former = entry("s0").front;
    const auto revision = state->current().revision;
    BOOST_CHECK(state->knows_its_fronts(former, revision));
    router_report message;
    message.router = make_router(former, former == "r2" ? "b" : "a");
    message.router.is_stopping = true;
    state->on_report(message, now);
    state->tick(now);
    BOOST_REQUIRE(entry("s0").front != former);
    BOOST_CHECK(!state->knows_its_fronts(former, revision));
    BOOST_CHECK(state->knows_its_fronts(former, state->current().revision));
}

// Guards against requests to a backend server that said in its answers that it leaves, while the registry
// does not show it yet. The word of an earlier process does not count.
BOOST_AUTO_TEST_CASE(a_backend_server_that_says_that_it_leaves_is_drained)
{
    start(3);
    router_report message;
    message.router = make_router(entry("s0").front, entry("s0").front == "r2" ? "b" : "a");
    message.leaving = {{"s0", 0}};
    state->on_report(report_from_json(to_json(message)), now);
    BOOST_CHECK(!entry("s0").server.is_draining);
    message.leaving = {{"s0", 1}, {"unknown", 1}};
    state->on_report(report_from_json(to_json(message)), now);
    state->tick(now);
    BOOST_CHECK(entry("s0").server.is_draining);
    BOOST_CHECK(entry("s0").withdrawn == entry("s0").keys);
    const auto revision = state->current().revision;
    state->on_registered(make_server("s0"), now);
    BOOST_CHECK(entry("s0").server.is_draining);
    BOOST_CHECK_EQUAL(state->current().revision, revision);
}

// Guards against a stopping router that remains a front until it ends.
BOOST_AUTO_TEST_CASE(a_stopping_router_loses_its_fronts_at_once)
{
    start(4);
    router_report message;
    message.router = make_router("r2", "b");
    message.router.is_stopping = true;
    state->on_report(message, now);
    state->tick(now);
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK(item.front != "r2");
    }
}

// Guards against a backend server that keeps its keys although its front cannot reach it, and against keys
// lost after a single failed report.
BOOST_AUTO_TEST_CASE(unreachable_backend_servers_lose_their_keys)
{
    start(3);
    const auto front = entry("s1").front;
    report(front, {}, {"s1"});
    state->tick(now);
    BOOST_CHECK(entry("s1").withdrawn.empty());
    now = now + duration{1000};
    for (const std::string name : {"r1", "r2", "r3"})
    {
        report(name, {}, name == front ? std::vector<std::string>{"s1"} : std::vector<std::string>{});
    }
    state->tick(now);
    BOOST_CHECK(entry("s1").withdrawn == entry("s1").keys);
}

// Guards against keys taken at once from a backend server whose registration lapsed in an outage of the
// store, and against a lapsed registration that keeps its keys forever.
BOOST_AUTO_TEST_CASE(a_lapsed_registration_keeps_its_keys_during_the_grace_time)
{
    start(3);
    state->on_unregistered("s1", false, now);
    advance(1500);
    BOOST_CHECK(entry("s1").is_listed);
    BOOST_CHECK(entry("s1").withdrawn.empty());
    state->on_registered(make_server("s1", "b"), now);
    advance(1500);
    BOOST_CHECK(entry("s1").withdrawn.empty());
    state->on_unregistered("s1", false, now);
    advance(2500);
    BOOST_CHECK(!entry("s1").is_listed);
    BOOST_CHECK(entry("s1").withdrawn == entry("s1").keys);
}

// Guards against a new leader whose tokens do not exceed those of the former one, or that ignores grants
// which the fronts of the former one may have made.
BOOST_AUTO_TEST_CASE(a_new_leader_restores_state_from_the_rows)
{
    start(3);
    std::map<std::string, directory::entry> former = state->current().entries;
    restart(version + 5);
    for (const auto& [name, row] : stored)
    {
        state->load_row(row, now);
    }
    for (const auto& [id, item] : former)
    {
        state->on_registered(item.server, now);
        BOOST_CHECK(entry(id).keys == item.keys);
        BOOST_CHECK_GT(entry(id).token_base, item.token_base);
        BOOST_CHECK_GT(state->prior_grant_remaining(id, now).ms, grants::outage_grant_duration.ms);
    }
}

// Guards against two owners after the store lost assignments: a new leader gave away keys that a silent
// router may have granted, or that were being withdrawn.
BOOST_AUTO_TEST_CASE(keys_of_silent_routers_are_withheld_until_their_grants_end)
{
    start(3);
    auto known = state->current();
    const auto silent = entry("s0").front;
    const auto keys = entry("s0").keys;
    const auto& other = std::ranges::find_if(known.entries, [&](const auto& item) {
                            return item.second.front != silent;
                        })->second;
    const auto moving = keyspace::key_set{other.keys.front()};
    known.entries.at(other.server.id).withdrawn = moving;
    restart(1000);
    state->load_directory(known, {known.routers.at(silent)}, now);
    for (const auto& [id, item] : known.entries)
    {
        state->on_registered(item.server, now);
    }
    const auto is_assigned = [&](const keyspace::key_set& range) {
        return std::ranges::any_of(state->current().entries, [&](const auto& item) {
            return !keyspace::set_intersection(item.second.keys, range).empty();
        });
    };
    const auto renewed_until = now + grants::max_confirmation_age;
    const auto end = grants::latest_grant_end(renewed_until, grants::outage_grant_duration);
    while (now + duration{100} < end)
    {
        advance(100);
        BOOST_REQUIRE(!is_assigned(keys));
        BOOST_REQUIRE(!is_assigned(moving));
    }
    advance(1000);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
}

// Guards against two owners: the next leader gave keys away that its predecessor had withheld, since all
// routers answered it and the directory showed no holder.
BOOST_AUTO_TEST_CASE(withheld_keys_stay_withheld_with_the_next_leader)
{
    start(3);
    const auto known = state->current();
    const auto silent = entry("s0").front;
    const auto keys = entry("s0").keys;
    restart(1000);
    state->load_directory(known, {known.routers.at(silent)}, now);
    directory::snapshot recovered;
    const auto update = directory::update_from_json(directory::to_json(state->update_for({}, 0, now)));
    BOOST_REQUIRE(directory::apply(recovered, update));
    restart(2000);
    state->load_directory(recovered, {}, now);
    for (const auto& [id, item] : known.entries)
    {
        state->on_registered(item.server, now);
    }
    BOOST_CHECK(state->is_withholding(now));
    advance(3000);
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK(keyspace::set_intersection(item.keys, keys).empty());
    }
}

// Guards against two owners when no router knows any assignment, and against keys that stay without an owner.
BOOST_AUTO_TEST_CASE(all_keys_are_withheld_when_nobody_knows_a_directory)
{
    state->load_directory({}, {}, now);
    state->on_registered(make_server("s0"), now);
    const auto renewed_until = now + grants::max_confirmation_age;
    const auto end = grants::latest_grant_end(renewed_until, grants::outage_grant_duration);
    while (now + duration{100} < end)
    {
        advance(100);
        BOOST_REQUIRE(entry("s0").keys.empty());
    }
    advance(1000);
    BOOST_CHECK_EQUAL(keyspace::size(entry("s0").keys), keyspace::key_count);
}

// Guards against a backend server that gets requests although it drains, since a restored registration says
// that it is ready.
BOOST_AUTO_TEST_CASE(a_draining_process_does_not_become_ready_again)
{
    start(2);
    auto server = make_server("s0");
    server.is_draining = true;
    state->on_registered(server, now);
    server.is_draining = false;
    state->on_registered(server, now);
    BOOST_CHECK(entry("s0").server.is_draining);
    server.start_time_ms = 2;
    state->on_registered(server, now);
    BOOST_CHECK(!entry("s0").server.is_draining);
}

// Guards against a directory update that is applied after a gap or out of order.
BOOST_AUTO_TEST_CASE(followers_apply_updates_without_gaps)
{
    start(2);
    directory::snapshot follower;
    BOOST_CHECK(directory::apply(follower, state->update_for({}, 0, now)));
    const auto known = follower.revision;
    state->on_registered(make_server("late"), now);
    const auto first =
        directory::update_from_json(directory::to_json(state->update_for({0, 10}, known, now)));
    const auto behind = state->current().revision;
    state->on_registered(make_server("later"), now);
    const auto second = state->update_for({0, 10}, behind, now);
    BOOST_CHECK(!directory::apply(follower, second));
    BOOST_CHECK(directory::apply(follower, first));
    BOOST_CHECK(directory::apply(follower, second));
    BOOST_CHECK(follower.entries.contains("later"));
    BOOST_CHECK(directory::apply(follower, first));
    BOOST_CHECK_EQUAL(follower.revision, state->current().revision);
}

// Guards against deputies on small instances while larger ones exist, and against deputies that are all in
// one zone.
BOOST_AUTO_TEST_CASE(deputies_have_large_cpu_and_span_zones)
{
    const auto join = [this](const std::string& name, const std::string& zone, double cpu) {
        router_report message;
        message.router = make_router(name, zone);
        message.router.cpu = cpu;
        state->on_report(message, now);
    };
    join("small-a", "a", 0.1);
    join("small-b", "b", 0.1);
    join("small-c", "c", 0.1);
    join("large-b1", "b", 0.5);
    join("large-b2", "b", 0.5);
    state->choose_deputies(now);
    const auto& deputies = state->current().deputies;
    BOOST_REQUIRE_EQUAL(deputies.size(), 3U);
    BOOST_CHECK_EQUAL(deputies[0], "large-b1");
    BOOST_CHECK(std::ranges::find(deputies, "large-b2") != deputies.end());
    join("large-c", "c", 0.5);
    state->choose_deputies(now);
    BOOST_CHECK(std::ranges::find(state->current().deputies, "large-c") != state->current().deputies.end());
}

// Guards against a row of assignments above the store's 64 KB, and against a move that rewrites all rows. One
// of 2,000 backend servers leaves.
BOOST_AUTO_TEST_CASE(rows_stay_below_the_size_limit_and_a_move_rewrites_few)
{
    start(2000);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
    // The store applies its limit to the base64 text.
    constexpr std::size_t max_bytes = 65536 * 3 / 4;
    BOOST_CHECK_GT(stored.size(), 1U);
    for (const auto& [name, row] : stored)
    {
        BOOST_CHECK_LT(row.document.dump().size(), max_bytes);
    }
    const auto keys = entry("s7").keys;
    BOOST_REQUIRE(!keys.empty());
    state->on_unregistered("s7", true, now);
    advance(500);
    std::vector<freed_report> freed;
    std::ranges::transform(keys, std::back_inserter(freed), [](const auto& range) {
        return freed_report{"s7", range, ""};
    });
    report(entry("s7").front, freed);
    state->tick(now);
    const auto rows = state->take_pending_rows();
    BOOST_CHECK_GE(rows.size(), 1U);
    // The row of the leaving backend server and one for each of the eight parts of its keys.
    BOOST_CHECK_LE(rows.size(), 9U);
}

// Guards against too few concurrent moves: half of a large service's capacity is requested on a sixteenth of
// its keys, and with few moves at a time the holders of those keys reject most of it for tens of seconds. A
// move takes a second from its plan to its write.
BOOST_AUTO_TEST_CASE(concentrated_traffic_spreads_over_a_large_service)
{
    constexpr std::size_t servers = 384;
    constexpr int slots = 6;
    constexpr std::uint32_t busy_keys = keyspace::key_count / 16;
    constexpr std::int64_t step_ms = 100;
    constexpr double load = 0.5 * servers * slots;
    start(servers);
    std::map<std::string, time_point> withdrawn_at;
    const auto step = [&] {
        now = now + duration{step_ms};
        router_report message;
        message.router = make_router("r1");
        message.term = state->current().term;
        message.revision = state->current().revision;
        for (std::uint32_t key = 0; key < busy_keys; key += 4)
        {
            message.work["keyed"].push_back({key, load * step_ms * 4 / busy_keys});
        }
        for (const auto& [id, item] : state->current().entries)
        {
            if (item.withdrawn.empty())
            {
                withdrawn_at.erase(id);
                continue;
            }
            const auto since = withdrawn_at.try_emplace(id, now).first->second;
            if (now - since >= duration{600})
            {
                std::ranges::for_each(item.withdrawn, [&](const auto& range) {
                    message.freed.push_back({id, range, ""});
                });
            }
        }
        std::map<std::string, std::vector<freed_report>> by_front;
        for (const auto& item : message.freed)
        {
            by_front[entry(item.backend_server).front].push_back(item);
        }
        message.freed = by_front["r1"];
        state->on_report(message, now);
        report("r2", by_front["r2"]);
        report("r3", by_front["r3"]);
        state->tick(now);
        write();
    };
    const auto rejected_share = [&] {
        double rejected = 0;
        for (const auto& [id, item] : state->current().entries)
        {
            const auto busy = keyspace::size(keyspace::set_intersection(item.keys, {{0, busy_keys - 1}}));
            rejected += std::max(load * busy / busy_keys - slots, 0.0);
        }
        return rejected / load;
    };
    std::vector<double> shares;
    for (int i = 0; i < 100; ++i)
    {
        step();
        shares.push_back(rejected_share());
    }
    BOOST_TEST_MESSAGE("rejected after 2, 4, 6, 8, 10 s: " << shares[19] << ' ' << shares[39] << ' '
                                                           << shares[59] << ' ' << shares[79] << ' '
                                                           << shares[99]);
    BOOST_CHECK_LT(shares[59], 0.1);
}

// Guards against a backend server that becomes cold in mid-life and states the same time as at its start: the
// front learned nothing of it. Also guards against a front that counts the time from when it took over.
BOOST_AUTO_TEST_CASE(a_later_cold_phase_reaches_the_front_with_the_time_that_is_left)
{
    start(2);
    auto server = make_server("s0");
    server.warmup_left.ms = 3000;
    const auto state_cold = [&] {
        const auto before = entry("s0").revision;
        state->on_registered(server, now);
        BOOST_CHECK_GT(entry("s0").revision, before);
        now = now + duration{1000};
        const auto update = state->update_for({}, 0, now);
        BOOST_CHECK_EQUAL(update.changed.entries.at("s0").server.warmup_left.ms, 2000);
    };
    state_cold();
    advance(10000);
    BOOST_CHECK_EQUAL(state->update_for({}, 0, now).changed.entries.at("s0").server.warmup_left.ms, 0);
    state_cold();
}

// Guards against the share of a warm backend server for one that is cold, as all of them are after a restart.
BOOST_AUTO_TEST_CASE(a_cold_backend_server_gets_keys_for_its_rate_only)
{
    state->set_cold_rates({{"keyed", 4.4}});
    auto cold = make_server("s0");
    cold.warmup_left.ms = 60000;
    state->on_registered(cold, now);
    state->on_registered(make_server("s1", "b"), now);
    advance(3000);
    BOOST_REQUIRE(!entry("s1").keys.empty());
    // 4.4 requests a second of 150 ms take 0.66 of a slot; s1 has 6.
    const double share = static_cast<double>(keyspace::size(entry("s0").keys)) / keyspace::key_count;
    BOOST_CHECK_LT(share, 0.15);
}

// Guards against keys that stay in an evacuated zone or are assigned there, against moves that wait for
// one another, and against a returned zone that gets no load.
BOOST_AUTO_TEST_CASE(keys_leave_an_evacuated_zone_and_return_by_load)
{
    start(6);
    const auto free_withdrawn = [this] {
        const auto entries = state->current().entries;
        for (const auto& [id, item] : entries)
        {
            for (const auto& range : item.withdrawn)
            {
                report(item.front, {{id, range, ""}});
            }
        }
        advance(100);
    };
    const auto keys_in = [this](const std::string& zone) {
        std::uint32_t sum = 0;
        for (const auto& [id, item] : state->current().entries)
        {
            sum += item.server.zone == zone ? keyspace::size(item.keys) : 0;
        }
        return sum;
    };
    BOOST_CHECK_GT(keys_in("a"), 0U);
    state->set_evacuated_zones({"a", "no such zone"});
    advance(100);
    for (const auto& [id, item] : state->current().entries)
    {
        BOOST_CHECK(item.withdrawn == (item.server.zone == "a" ? item.keys : keyspace::key_set()));
    }
    free_withdrawn();
    BOOST_CHECK_EQUAL(keys_in("a"), 0U);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
    const auto work_for = [&](int rounds) {
        for (int i = 0; i < rounds; ++i)
        {
            router_report message;
            message.router = make_router("r1");
            message.term = state->current().term;
            message.revision = state->current().revision;
            constexpr std::uint32_t key_step = 16;
            for (std::uint32_t key = 0; key < keyspace::key_count; key += key_step)
            {
                message.work["keyed"].push_back({key, 1500.0 * key_step / keyspace::key_count});
            }
            state->on_report(message, now);
            free_withdrawn();
        }
    };
    work_for(30);
    BOOST_CHECK_EQUAL(keys_in("a"), 0U);
    state->set_evacuated_zones({});
    work_for(60);
    BOOST_CHECK_GT(keys_in("a"), keyspace::key_count / 4);
    BOOST_CHECK_EQUAL(state->unassigned_keys(), 0U);
}

// Guards against keys that nobody holds while no zone can take them.
BOOST_AUTO_TEST_CASE(keys_stay_while_all_zones_are_evacuated)
{
    start(4);
    state->set_evacuated_zones({"a", "b"});
    advance(500);
    BOOST_CHECK(std::ranges::all_of(state->current().entries,
                                    [](const auto& item) { return item.second.withdrawn.empty(); }));
    state->set_evacuated_zones({"a"});
    advance(100);
    BOOST_CHECK(entry("s0").withdrawn == entry("s0").keys);
}

BOOST_AUTO_TEST_SUITE_END()
