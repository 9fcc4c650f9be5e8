#include "document/document_types.hpp"
#include "settings/edge_settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::settings;

namespace {

const std::string text = R"(
name = "edge-a-1"
zone = "a"
frontend = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peer = "10.0.0.1:7000"
metrics = "10.0.0.1:7001"
store = "10.0.9.9:8142"
cpu = 0.2

[bounds]
ratio = 0.3
other-bound = 12
leave-ms = 4000
)";

} // namespace

BOOST_AUTO_TEST_SUITE(edge_settings_cases)

// Guards against bounds that are ignored because the deployment names them differently.
BOOST_AUTO_TEST_CASE(bounds_are_read_by_their_names)
{
    bound_names names;
    names.retry_budget_ratio = "ratio";
    names.max_config_delay_ms = "other-bound";
    names.evacuation_time_ms = "leave-ms";
    const auto settings = parse_edge_settings(text, "test", names);
    BOOST_CHECK_EQUAL(settings.retry_budget_ratio, 0.3);
    BOOST_CHECK_EQUAL(settings.max_config_delay.ms, 12);
    names.cold_rate_over = "ratio";
    names.cold_rate_slack = "other-bound";
    BOOST_CHECK_EQUAL(parse_edge_settings(text, "test", names).cold_rate_over, 0.3);
    BOOST_CHECK_EQUAL(parse_edge_settings(text, "test", names).cold_rate_slack, 12);
    BOOST_CHECK_EQUAL(settings.cold_rate_over, 1.5);
    BOOST_CHECK_EQUAL(settings.cold_rate_slack, 8);
    BOOST_CHECK_EQUAL(settings.evacuation_time.ms, 4000);
    BOOST_CHECK_EQUAL(parse_edge_settings(text, "test").evacuation_time.ms, 5000);
    BOOST_CHECK_EQUAL(settings.name, "edge-a-1");
    BOOST_CHECK_EQUAL(settings.cpu, 0.2);
    BOOST_CHECK_EQUAL(settings.bandwidth_mbps, 0);
    BOOST_CHECK_EQUAL(parse_edge_settings("bandwidth_mbps = 10.5\n" + text, "test").bandwidth_mbps, 10.5);
}

// Guards against a router that takes every start for the first one of the system, and makes a second secret.
BOOST_AUTO_TEST_CASE(a_later_start_is_told_from_the_first_one)
{
    BOOST_CHECK(parse_edge_settings(text, "test").is_first_start);
    BOOST_CHECK(!parse_edge_settings(text + "\n[start]\nis_first = false\n", "test").is_first_start);
    BOOST_CHECK_THROW(parse_edge_settings(text + "\n[start]\nis_first = 1\n", "test"),
                      document::invalid_document);
}

// Guards against a router behind a proxy that others try to reach where it listens.
BOOST_AUTO_TEST_CASE(the_address_for_other_routers_may_differ_from_the_one_to_listen_on)
{
    BOOST_CHECK_EQUAL(http::to_string(parse_edge_settings(text, "test").advertised_peer), "10.0.0.1:7000");
    const auto settings = parse_edge_settings("advertised_peer = \"10.0.0.9:7100\"\n" + text, "test");
    BOOST_CHECK_EQUAL(http::to_string(settings.advertised_peer), "10.0.0.9:7100");
    BOOST_CHECK_EQUAL(http::to_string(settings.peer), "10.0.0.1:7000");
}

// Guards against a start with bad settings that reports only the first error.
BOOST_AUTO_TEST_CASE(every_error_is_listed)
{
    try
    {
        parse_edge_settings("name = \"x\"\nzone = 5\nfrontend = \"nowhere\"\nunknown = 1\n", "test");
        BOOST_ERROR("bad settings were accepted");
    }
    catch (const document::invalid_document& failure)
    {
        BOOST_CHECK_GE(failure.errors().size(), 5U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
