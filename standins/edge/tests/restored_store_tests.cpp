#include "standins/edge/tests/cluster_checks.hpp"

#include <boost/test/unit_test.hpp>

#include <ranges>
#include <set>

using namespace briarfold;
using namespace briarfold::standins;

namespace {

/// Writes the registrations again, as backend servers do after the store lost them.
void register_all(edge_cluster& cluster, const std::set<std::string>& draining = {})
{
    for (const auto& item : cluster.backends)
    {
        cluster.store.put("servers", item->id(), item->registration(draining.contains(item->id())));
    }
}

/// Takes the store away for `ms` milliseconds, after which it comes back from its last copy.
void restore_store(edge_cluster& cluster, std::int64_t ms)
{
    cluster.store.set_mode(store_mode::busy);
    cluster.run_for(ms);
    cluster.store.restore();
    cluster.store.set_mode(store_mode::serving);
}

/// Runs until all requests of one second are served, until `deadline` at the latest. Returns whether they
/// are.
bool await_service(edge_cluster& cluster, core::time_point deadline)
{
    constexpr std::int64_t load_ms = 1000;
    constexpr std::int64_t round_ms = 1200;
    while (core::clock::now() + core::duration{round_ms} <= deadline)
    {
        const auto first = cluster.records.size();
        cluster.start_load(6, load_ms);
        cluster.run_for(round_ms);
        const auto sent = cluster.records | std::views::drop(first);
        if (!sent.empty() &&
            std::ranges::all_of(sent, [](const call_record& record) { return record.status == 200; }))
        {
            return true;
        }
        const auto failed =
            std::ranges::count_if(sent, [](const call_record& record) { return record.status != 200; });
        BOOST_TEST_MESSAGE(failed << " of " << sent.size() << " requests failed, the last with "
                                  << (sent.empty() ? 0 : sent.back().status));
    }
    return false;
}

/// Checks that all requests were routed by a configuration whose prefix for idempotent requests is another
/// one than the prefix that clients use.
void check_changed_prefix(const edge_cluster& cluster)
{
    BOOST_CHECK(!cluster.records.empty());
    for (const auto& record : cluster.records)
    {
        BOOST_CHECK_MESSAGE(record.status == (record.is_idempotent ? 404U : 200U),
                            record.attempt << " got " << record.status);
    }
}

void check_ownership(const edge_cluster& cluster)
{
    check_invariants(cluster);
    check_exclusive_ownership(cluster);
    check_rising_tokens(cluster);
}

/// Moves keys after the copy, then restores the store while all routers are killed and started again.
/// Requests are sent for the first `load_ms` milliseconds, of which the routers live for 2 s.
void restore_without_routers(edge_cluster& cluster, std::int64_t load_ms)
{
    cluster.store.save_copy();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.start_load(6, load_ms);
    cluster.run_for(1500);
    cluster.store.set_mode(store_mode::busy);
    cluster.run_for(500);
    std::ranges::for_each(cluster.nodes, [](const auto& node) { node->kill(); });
    cluster.store.restore();
    cluster.store.set_mode(store_mode::serving);
    const auto restored = core::clock::now();
    cluster.run_for(300);
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i)
    {
        cluster.start_router(i);
    }
    cluster.run_for(500);
    register_all(cluster, {"b1"});
    BOOST_CHECK(await_service(cluster, restored + core::duration{17000}));
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(2500);
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_stores)

// Guards against keys that two backend servers hold, or that move with a lower token, after the store lost
// the newest assignments.
BOOST_AUTO_TEST_CASE(keys_moved_since_the_copy_keep_their_owner)
{
    edge_cluster cluster(3, 4);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(6, 9000);
    cluster.store.save_copy();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.run_for(1500);
    restore_store(cluster, 1000);
    cluster.run_for(800);
    register_all(cluster, {"b1"});
    cluster.run_for(1000);
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(6500);
    BOOST_CHECK_GT(success_ratio(cluster), 0.95);
    check_ownership(cluster);
}

// Guards against a return to the configuration of the copy, before the operator writes the newest one again,
// after that, and on a router that starts later.
BOOST_AUTO_TEST_CASE(a_configuration_newer_than_the_copy_stays_in_force)
{
    edge_cluster cluster(3, 3);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.store.save_copy();
    cluster.put_config(2, "/other/");
    cluster.run_for(1000);
    cluster.start_load(4, 5500);
    cluster.run_for(500);
    restore_store(cluster, 500);
    cluster.run_for(1500);
    register_all(cluster);
    cluster.put_config(2, "/other/");
    cluster.run_for(3500);
    check_changed_prefix(cluster);

    cluster.records.clear();
    const auto restarted = (find_leader(cluster) + 1) % cluster.nodes.size();
    cluster.nodes[restarted]->kill();
    cluster.run_for(300);
    cluster.start_router(restarted);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(4, 1000);
    cluster.run_for(1500);
    check_changed_prefix(cluster);
}

// Guards against a return to the configuration of the copy on a router that starts, or through a leader that
// takes office, before the operator writes the newest one again.
BOOST_AUTO_TEST_CASE(a_configuration_newer_than_the_copy_outlives_the_leader)
{
    edge_cluster cluster(4, 3);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.store.save_copy();
    cluster.put_config(2, "/other/");
    cluster.run_for(1000);
    restore_store(cluster, 500);
    const auto lost = find_leader(cluster);
    cluster.nodes[lost]->kill();
    cluster.run_for(300);
    cluster.start_router(lost);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.run_for(2000);
    cluster.start_load(4, 1000);
    cluster.run_for(1500);
    check_changed_prefix(cluster);
}

// Guards against a change that a feed passes over, because it has a version below the one that the feed
// continues from.
BOOST_AUTO_TEST_CASE(a_configuration_below_the_former_version_reaches_all_routers)
{
    edge_cluster cluster(3, 3);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.store.save_copy();
    cluster.put_config(2);
    register_all(cluster);
    cluster.run_for(1500);
    const auto former = cluster.store.version();
    cluster.store.set_mode(store_mode::busy);
    cluster.run_for(500);
    cluster.store.restore();
    cluster.put_config(3, "/other/");
    BOOST_REQUIRE_LT(cluster.store.version(), former);
    while (cluster.store.version() <= former)
    {
        register_all(cluster);
    }
    cluster.run_for(500);
    cluster.store.set_mode(store_mode::serving);
    cluster.run_for(2000);
    cluster.start_load(4, 1000);
    cluster.run_for(1500);
    check_changed_prefix(cluster);
}

// Guards against keys held twice after versions were given out for the third time.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_the_store_is_restored_twice)
{
    edge_cluster cluster(3, 5);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(4, 9500);
    cluster.store.save_copy();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.run_for(1500);
    restore_store(cluster, 700);
    cluster.run_for(500);
    register_all(cluster, {"b1"});
    cluster.run_for(300);
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(1200);
    restore_store(cluster, 700);
    cluster.run_for(500);
    register_all(cluster, {"b1", "b2"});
    cluster.run_for(5500);
    BOOST_CHECK_GT(success_ratio(cluster), 0.9);
    check_ownership(cluster);
}

// Guards against a successor of the leader that assigns keys by the rows of the copy.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_the_leader_is_lost_at_the_restore)
{
    edge_cluster cluster(4, 4);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.store.save_copy();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.start_load(6, 1500);
    cluster.run_for(1500);
    cluster.store.set_mode(store_mode::busy);
    cluster.run_for(500);
    const auto leader = find_leader(cluster);
    cluster.nodes[leader]->kill();
    cluster.settings.erase(cluster.settings.begin() + static_cast<std::ptrdiff_t>(leader));
    cluster.store.restore();
    cluster.store.set_mode(store_mode::serving);
    const auto restored = core::clock::now();
    cluster.run_for(800);
    register_all(cluster, {"b1"});
    BOOST_CHECK(await_service(cluster, restored + core::duration{16000}));
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(2500);
    check_ownership(cluster);
}

// Guards against routers that know nothing of the time after the copy and take its assignments for the
// newest.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_all_routers_are_lost_at_the_restore)
{
    edge_cluster cluster(3, 4);
    BOOST_REQUIRE(cluster.await_ready());
    restore_without_routers(cluster, 1500);
    check_ownership(cluster);
}

// Guards against a crash of routers that are killed while they wait for answers to forwarded requests.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_all_routers_are_lost_under_load)
{
    edge_cluster cluster(3, 4);
    BOOST_REQUIRE(cluster.await_ready());
    restore_without_routers(cluster, 3000);
    check_ownership(cluster);
}

// Guards against a write of the era before whose condition holds again, because the rows are those of the
// copy.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_a_late_write_follows_the_restore)
{
    edge_cluster cluster(3, 5);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(4, 9500);
    cluster.store.save_copy();
    cluster.store.hold_next_write();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.run_for(2000);
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(1500);
    restore_store(cluster, 1000);
    BOOST_CHECK(cluster.store.apply_held_write());
    cluster.run_for(800);
    register_all(cluster, {"b1", "b2"});
    cluster.run_for(6000);
    BOOST_CHECK_GT(success_ratio(cluster), 0.9);
    check_ownership(cluster);
}

// Guards against a write of the era before whose condition holds, because the rows that it expects have the
// same versions in the next era.
BOOST_AUTO_TEST_CASE(keys_keep_their_owner_when_a_late_write_meets_versions_given_out_again)
{
    edge_cluster cluster(4, 6);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.store.save_copy();
    cluster.store.put("servers", "b0", cluster.backends[0]->registration());
    const auto lost = find_leader(cluster);
    cluster.nodes[lost]->kill();
    cluster.settings.erase(cluster.settings.begin() + static_cast<std::ptrdiff_t>(lost));
    for (int i = 0; i < 100 && find_leader(cluster) == lost; ++i)
    {
        cluster.run_for(100);
    }
    BOOST_REQUIRE_NE(find_leader(cluster), lost);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(4, 11500);
    // Expects the leadership at the second version after the copy, and assignments as in the copy.
    cluster.store.hold_next_write();
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.run_for(2000);
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(1500);
    restore_store(cluster, 500);
    cluster.store.put("servers", "b3", cluster.backends[3]->registration(true));
    constexpr std::int64_t poll_ms = 5;
    constexpr int max_polls = 400;
    bool is_applied = false;
    for (int i = 0; i < max_polls && !is_applied; ++i)
    {
        cluster.run_for(poll_ms);
        is_applied = cluster.store.apply_held_write();
    }
    BOOST_TEST_MESSAGE("late write applied: " << is_applied);
    register_all(cluster, {"b1", "b2", "b3"});
    cluster.run_for(6000);
    BOOST_CHECK_GT(success_ratio(cluster), 0.9);
    check_ownership(cluster);
}

// Guards against requests to a backend server that left after the copy, and whose registration came back with
// the copy only.
BOOST_AUTO_TEST_CASE(a_backend_server_that_left_since_the_copy_gets_no_requests)
{
    edge_cluster cluster(3, 4);
    BOOST_REQUIRE(cluster.await_ready());
    cluster.start_load(6, 8500);
    cluster.run_for(500);
    cluster.store.save_copy();
    auto& gone = *cluster.backends[1];
    cluster.store.put("servers", gone.id(), gone.registration(true));
    cluster.run_for(1500);
    cluster.store.remove("servers", gone.id());
    cluster.run_for(1000);
    const auto runs = gone.runs().size();
    const auto misdirected = gone.misdirected_count();
    BOOST_CHECK_GT(runs, 0U);
    restore_store(cluster, 1000);
    cluster.run_for(800);
    for (const auto& item : cluster.backends)
    {
        if (item->id() != gone.id())
        {
            cluster.store.put("servers", item->id(), item->registration());
        }
    }
    cluster.run_for(5000);
    BOOST_CHECK_EQUAL(gone.runs().size(), runs);
    BOOST_CHECK_EQUAL(gone.misdirected_count(), misdirected);
    check_ownership(cluster);
}

// Guards against a backend server that registered after the copy and is ignored when it writes the same
// registration again.
BOOST_AUTO_TEST_CASE(a_backend_server_registered_since_the_copy_is_served_again)
{
    edge_cluster cluster(3, 4);
    BOOST_REQUIRE(cluster.await_ready());
    auto& late = *cluster.backends[3];
    cluster.store.put("servers", late.id(), late.registration(true));
    cluster.run_for(1500);
    cluster.store.remove("servers", late.id());
    cluster.run_for(1000);
    cluster.store.save_copy();
    const auto registration = late.registration();
    cluster.store.put("servers", late.id(), registration);
    cluster.run_for(500);
    restore_store(cluster, 500);
    cluster.run_for(500);
    cluster.store.put("servers", late.id(), registration);
    cluster.run_for(1000);
    // The others leave, so that all keys go to the backend server that came late.
    for (std::size_t i = 0; i + 1 < cluster.backends.size(); ++i)
    {
        const auto& item = cluster.backends[i];
        cluster.store.put("servers", item->id(), item->registration(true));
    }
    cluster.run_for(2500);
    const auto runs = late.runs().size();
    cluster.start_load(2, 1000);
    cluster.run_for(2000);
    BOOST_CHECK_GT(late.runs().size(), runs);
    check_ownership(cluster);
}

// Guards against routers that cannot join because the store lost the secret that all others share.
BOOST_AUTO_TEST_CASE(a_lost_secret_is_written_again)
{
    edge_cluster cluster(3, 2);
    BOOST_REQUIRE(cluster.await_ready());
    const auto secret = cluster.store.get("briarfold", "secret");
    BOOST_REQUIRE(secret.has_value());
    cluster.store.remove("briarfold", "secret");
    cluster.store.save_copy();
    restore_store(cluster, 300);
    cluster.run_for(1500);
    const auto stored = cluster.store.get("briarfold", "secret");
    BOOST_REQUIRE(stored.has_value());
    BOOST_CHECK(*stored == *secret);
}

// Guards against two groups of routers with secrets of their own, each with a leader, that assign the same
// keys: the copy was older than the first write, and a router started while the store was away.
BOOST_AUTO_TEST_CASE(a_router_that_starts_during_a_restore_makes_no_second_secret)
{
    edge_cluster cluster(3, 4);
    cluster.store.save_copy();
    BOOST_REQUIRE(cluster.await_ready());
    const auto secret = cluster.store.get("briarfold", "secret");
    BOOST_REQUIRE(secret.has_value());
    const auto restarted = (find_leader(cluster) + 1) % cluster.nodes.size();
    cluster.store.set_mode(store_mode::busy);
    cluster.run_for(300);
    cluster.nodes[restarted]->kill();
    cluster.run_for(300);
    cluster.settings[restarted].is_first_start = false;
    cluster.start_router(restarted);
    cluster.run_for(700);
    cluster.store.restore();
    cluster.store.set_mode(store_mode::serving);
    const auto restored = core::clock::now();
    cluster.run_for(500);
    register_all(cluster);
    BOOST_CHECK(await_service(cluster, restored + core::duration{12000}));
    BOOST_CHECK(cluster.store.get("briarfold", "secret") == secret);
    cluster.store.put("servers", "b1", cluster.backends[1]->registration(true));
    cluster.start_load(6, 4000);
    cluster.run_for(4500);
    check_ownership(cluster);
}

BOOST_AUTO_TEST_SUITE_END()
