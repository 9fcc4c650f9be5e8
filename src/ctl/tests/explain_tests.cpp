#include "ctl/explain.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace briarfold::ctl;

namespace {

explanation explain_text(const std::string& request, const std::string& first, const std::string& second = "")
{
    std::istringstream one(first);
    std::istringstream two(second);
    return explain(request, {&one, &two});
}

} // namespace

// Guards against a history in the order of the files, and against lines of other requests in it.
BOOST_AUTO_TEST_CASE(overload_is_explained_from_two_logs)
{
    const auto found = explain_text(
        "q1",
        R"({"time_ms":20,"node":"a","event":"request ended","request":"q1","status":503,"reason":"forecast wait 461 ms"})"
        "\n"
        R"({"time_ms":21,"node":"a","event":"request ended","request":"q2","status":404,"reason":"no route matches"})",
        R"(  7.1 node-b {"time_ms":10,"node":"b","event":"refused","request":"q1","backend_server":"s7","key":"44543",)"
        R"("not_run_reason":"overload"})"
        "\nnot a line of the log");
    BOOST_REQUIRE_EQUAL(found.history.size(), 2U);
    BOOST_CHECK_EQUAL(found.history.front().at("node"), "b");
    BOOST_CHECK_EQUAL(found.cause,
                      "refused under overload by the queue of s7, key 44543: forecast wait 461 ms; it "
                      "did not run");
    BOOST_CHECK_EQUAL(found.malformed, 1U);
}

// Guards against a lost answer that is reported as a refusal.
BOOST_AUTO_TEST_CASE(lost_answer_is_unknown)
{
    const auto found = explain_text(
        "q1",
        R"({"time_ms":10,"event":"exchange failed","request":"q1","backend_server":"s7","sent":true,"reason":"reset"})"
        "\n"
        R"({"time_ms":12,"event":"request ended","request":"q1","status":502,"reason":"reset"})");
    BOOST_CHECK_EQUAL(found.cause, "outcome unknown: reset after it was sent to s7");
}

// Guards against a refusal whose reason, the lost backend server, stays hidden in other lines.
BOOST_AUTO_TEST_CASE(missing_owner_names_the_backend_server)
{
    const auto found = explain_text(
        "q1",
        R"({"time_ms":5000,"event":"keys withdrawn","subject":"s7","reason":"unreachable"})"
        "\n"
        R"({"time_ms":5100,"event":"refused","request":"q1","backend_server":"s7","not_run_reason":"moved"})"
        "\n"
        R"({"time_ms":6600,"event":"request ended","request":"q1","status":503,"reason":"the key has no owner"})");
    BOOST_REQUIRE_EQUAL(found.background.size(), 1U);
    BOOST_CHECK_EQUAL(found.cause,
                      "refused because no backend server holds its key: the key has no owner; before it, "
                      "keys withdrawn of s7 (unreachable); it did not run");
}

BOOST_AUTO_TEST_CASE(unknown_request_has_no_cause)
{
    const auto found = explain_text("q9", R"({"time_ms":10,"event":"started","node":"a"})");
    BOOST_CHECK(found.history.empty());
    BOOST_CHECK(found.cause.empty());
}
