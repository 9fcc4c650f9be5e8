#include "standins/edge/tests/cluster_checks.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;

namespace {

/// Writes the registrations again, as backend servers do after the store lost them.
void register_all(edge_cluster& cluster, const std::string& draining = "")
{
    for (const auto& item : cluster.backends)
    {
        cluster.store.put("servers", item->id(), item->registration(item->id() == draining));
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
    register_all(cluster, "b1");
    cluster.run_for(1000);
    cluster.store.put("servers", "b2", cluster.backends[2]->registration(true));
    cluster.run_for(6500);
    BOOST_CHECK_GT(success_ratio(cluster), 0.95);
    check_invariants(cluster);
    check_exclusive_ownership(cluster);
    check_rising_tokens(cluster);
}

BOOST_AUTO_TEST_SUITE_END()
