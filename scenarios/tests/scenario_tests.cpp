#include "core/error.hpp"
#include "scenarios/recovery_report.hpp"
#include "scenarios/scenario.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::scenarios;

namespace {

history::event effect(std::int64_t ms, const std::string& key, const std::string& server)
{
    history::execute_fields line;
    line.service = "s";
    line.key = key;
    line.backend_server = server;
    auto value = history::make_execute(line);
    value.time.ms = ms;
    return value;
}

bool is_lost(const std::string& server)
{
    return server == "lost";
}

} // namespace

// Guards against a report that counts from the last effect before the fault, or over keys of other servers.
BOOST_AUTO_TEST_CASE(gap_is_counted_from_the_fault_for_affected_keys)
{
    const std::vector<history::event> events = {effect(900, "k1", "lost"), effect(950, "k2", "other"),
                                                effect(2200, "k1", "new"), effect(2300, "k1", "new")};
    const auto gaps = find_gaps(events, {1000}, {5000}, is_lost);
    BOOST_REQUIRE(gaps.size() == 1);
    BOOST_TEST(gaps[0].key == "s/k1");
    BOOST_TEST(gaps[0].gap.ms == 1200);
    BOOST_TEST(gaps[0].is_served_again);
}

// A server that is cut off from its controller serves until its grant ends; the gap comes later.
BOOST_AUTO_TEST_CASE(longest_gap_in_the_window_counts)
{
    const std::vector<history::event> events = {effect(900, "k", "lost"), effect(1100, "k", "lost"),
                                                effect(3600, "k", "new"), effect(9000, "k", "new"),
                                                effect(99000, "k", "new")};
    const auto gaps = find_gaps(events, {1000}, {2000}, is_lost);
    BOOST_REQUIRE(gaps.size() == 1);
    BOOST_TEST(gaps[0].gap.ms == 2500);
}

BOOST_AUTO_TEST_CASE(key_that_is_not_served_again_is_reported)
{
    const std::vector<history::event> events = {effect(900, "k", "lost"), effect(4000, "other", "new")};
    const auto gaps = find_gaps(events, {1000}, {5000}, is_lost);
    BOOST_REQUIRE(gaps.size() == 1);
    BOOST_TEST(!gaps[0].is_served_again);
    BOOST_TEST(describe(gaps).ends_with("1 not served again"));
}

BOOST_AUTO_TEST_CASE(unknown_names_are_refused)
{
    BOOST_CHECK_THROW(find_scenario("none"), core::error);
    BOOST_CHECK_THROW(make_deployment("none"), core::error);
    BOOST_TEST(find_scenario("kill-backend").floor > 0);
}
