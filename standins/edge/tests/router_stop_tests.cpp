#include "core/pause.hpp"
#include "standins/edge/tests/cluster_checks.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;
namespace asio = core::asio;

namespace {

constexpr core::duration work_duration{700};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

/// Sends one request that is not idempotent to a router and records its result.
asio::awaitable<void> send_one(edge_cluster& cluster, http::endpoint frontend, std::string attempt,
                               std::uint32_t key)
{
    call_record record;
    record.attempt = attempt;
    record.sent = core::clock::now();
    try
    {
        constexpr core::duration client_timeout{4000};
        const auto answer =
            co_await http::fetch(frontend, edge_cluster::make_request(attempt, false, key), client_timeout);
        record.status = answer.status;
        record.body = answer.body;
    }
    catch (const core::error& failure)
    {
        BOOST_TEST_MESSAGE(attempt << ": " << failure.what());
    }
    record.elapsed = core::clock::now() - record.sent;
    cluster.records.push_back(record);
}

/// Sends requests that are not idempotent to a router, spread over all keys.
asio::awaitable<void> send_requests(edge_cluster& cluster, http::endpoint frontend, std::string prefix,
                                    core::duration span, core::duration interval)
{
    constexpr std::uint32_t key_step = 7919;
    const auto end = core::clock::now() + span;
    for (std::uint32_t sent = 0; core::clock::now() < end; ++sent)
    {
        asio::co_spawn(
            cluster.context,
            send_one(cluster, frontend, prefix + std::to_string(sent), sent * key_step % keyspace::key_count),
            asio::detached);
        co_await core::pause_for(interval);
    }
}

void start_requests(edge_cluster& cluster, std::size_t router, const std::string& prefix, core::duration span,
                    core::duration interval = core::duration{50})
{
    asio::co_spawn(cluster.context,
                   send_requests(cluster, cluster.settings[router].frontend, prefix, span, interval),
                   asio::detached);
}

void stop_router(edge_cluster& cluster, std::size_t router, core::duration grace)
{
    auto settings = cluster.settings[router];
    settings.grace = grace;
    cluster.nodes[router]->reload(settings);
    cluster.nodes[router]->stop([&cluster, router] { cluster.nodes[router]->kill(); });
}

/// Routers of a cluster by their part in a case.
struct roles
{
    std::size_t leader = 0;
    /// Stops during the case.
    std::size_t front = 0;
    /// Takes the requests.
    std::size_t entry = 0;
};

roles choose_roles(const edge_cluster& cluster)
{
    const auto leader = find_leader(cluster);
    return {leader, (leader + 1) % 3, (leader + 2) % 3};
}

/// Lets the fronts measure how long the work takes.
void measure_work(edge_cluster& cluster, std::size_t entry)
{
    for (const auto& item : cluster.backends)
    {
        item->set_work_duration(work_duration);
    }
    start_requests(cluster, entry, "measured-", core::duration{3000}, core::duration{250});
    cluster.run_for(5000);
    cluster.records.clear();
}

/// Checks that each request has the answer of a backend server or did not run.
void check_answered_or_refused(const edge_cluster& cluster)
{
    for (const auto& record : cluster.records)
    {
        const bool is_refused = record.status == status_unavailable && cluster.runs(record.attempt) == 0;
        BOOST_CHECK_MESSAGE(record.status == status_ok || is_refused,
                            record.attempt << " got " << record.status << " after " << record.elapsed.ms
                                           << " ms and ran " << cluster.runs(record.attempt) << " times");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_stops)

// Guards against requests that a stopping front takes from other routers and cuts off when it ends, while a
// backend server works on them. Without the store and the leader nobody takes its place.
BOOST_AUTO_TEST_CASE(stopping_front_cuts_off_no_forwarded_request)
{
    edge_cluster cluster(3, 6);
    BOOST_REQUIRE(cluster.await_ready());
    const auto part = choose_roles(cluster);
    measure_work(cluster, part.entry);
    cluster.store.set_mode(store_mode::busy);
    // Grants last longer from now on.
    cluster.run_for(2000);
    cluster.nodes[part.leader]->kill();
    stop_router(cluster, part.front, core::duration{3500});
    start_requests(cluster, part.entry, "cut-", core::duration{3300});
    cluster.run_for(7000);
    BOOST_CHECK_GT(cluster.count(status_ok), 0U);
    check_answered_or_refused(cluster);
    check_invariants(cluster);
    check_exclusive_ownership(cluster);
}

// Guards against requests that come late in the grace time of the router that takes them, in calm, and are
// passed on although this router ends before their work does.
BOOST_AUTO_TEST_CASE(stopping_entry_passes_on_only_what_it_can_answer)
{
    edge_cluster cluster(3, 6);
    BOOST_REQUIRE(cluster.await_ready());
    const auto part = choose_roles(cluster);
    measure_work(cluster, part.entry);
    stop_router(cluster, part.entry, core::duration{3500});
    start_requests(cluster, part.entry, "late-", core::duration{2500});
    cluster.run_for(6000);
    BOOST_CHECK_GT(cluster.count(status_ok), 5U);
    BOOST_CHECK_GT(cluster.count(status_unavailable), 5U);
    check_answered_or_refused(cluster);
    check_invariants(cluster);
    check_exclusive_ownership(cluster);
}

// Guards against a leader that ends before the end of its grace time while no other router can take over, so
// that the backend servers of the next router that stops get no other front.
BOOST_AUTO_TEST_CASE(stopping_leader_assigns_fronts_until_it_ends)
{
    edge_cluster cluster(3, 6);
    BOOST_REQUIRE(cluster.await_ready());
    const auto part = choose_roles(cluster);
    cluster.store.set_mode(store_mode::busy);
    stop_router(cluster, part.leader, core::duration{9000});
    cluster.run_for(3000);
    stop_router(cluster, part.front, core::duration{3500});
    cluster.run_for(3500);
    start_requests(cluster, part.entry, "moved-", core::duration{1000});
    cluster.run_for(3500);
    BOOST_CHECK_GT(cluster.records.size(), 10U);
    for (const auto& record : cluster.records)
    {
        BOOST_CHECK_MESSAGE(record.status == status_ok, record.attempt << " got " << record.status);
    }
    check_invariants(cluster);
    check_exclusive_ownership(cluster);
}

// Guards against seconds without a leader: a router that is stopped while its write of the leadership row is
// on its way left the row in its name and did not lead, and the others took it for the leader until it ended.
BOOST_AUTO_TEST_CASE(router_that_stops_while_it_takes_the_leadership_hands_it_over)
{
    edge_cluster cluster(3, 3);
    BOOST_REQUIRE(cluster.await_ready());
    const auto former = find_leader(cluster);
    cluster.nodes[former]->kill();
    const auto stored_leader = [&] {
        const auto row = cluster.store.get("briarfold", "leader");
        const auto name = row ? row->at("router").at(0).get<std::string>() : std::string();
        return static_cast<std::size_t>(std::ranges::find(cluster.names, name) - cluster.names.begin());
    };
    const auto limit = core::clock::now() + core::duration{10000};
    while (stored_leader() == former && core::clock::now() < limit)
    {
        cluster.context.restart();
        cluster.context.run_one_for(std::chrono::milliseconds(10));
    }
    const auto next = stored_leader();
    BOOST_REQUIRE(next != former);
    stop_router(cluster, next, core::duration{6000});
    cluster.run_for(3000);
    BOOST_CHECK_EQUAL(find_leader(cluster), 3 - former - next);
}

// Guards against a leader that waits for its whole grace time although another router leads.
BOOST_AUTO_TEST_CASE(stopped_leader_ends_when_another_router_leads)
{
    edge_cluster cluster(3, 3);
    BOOST_REQUIRE(cluster.await_ready());
    const auto part = choose_roles(cluster);
    bool is_ended = false;
    cluster.nodes[part.leader]->stop([&is_ended] { is_ended = true; });
    cluster.run_for(4000);
    BOOST_CHECK(is_ended);
    BOOST_CHECK(find_leader(cluster) != part.leader);
}

BOOST_AUTO_TEST_SUITE_END()
