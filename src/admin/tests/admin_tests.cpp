#include "admin/tests/fake_router.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::admin::tests;

// Guards against a path that answers without a token, and against an empty token that lets everybody in.
BOOST_FIXTURE_TEST_CASE(everything_but_probes_needs_the_token, fake_router)
{
    for (const std::string path : {"/metrics", "/v1/contracts", "/v1/settings", "/v1/status", "/nowhere"})
    {
        BOOST_TEST(send("GET", path, nullptr, "wrong-token-0123456789").status == 401U, path);
        BOOST_TEST(send("GET", path, nullptr, "").status == 401U, path);
    }
    BOOST_TEST(send("GET", "/live", nullptr, "").status == 200U);
    BOOST_TEST(send("GET", "/ready", nullptr, "").status == 200U);
    not_ready = {"no table"};
    BOOST_TEST(send("GET", "/ready", nullptr, "").status == 503U);
    const auto metrics = send("GET", "/metrics").body;
    BOOST_TEST(metrics.find("briarfold_admin_unauthorized_total 10\n") != std::string::npos);
    BOOST_TEST(metrics.find("briarfold_ready 0\n") != std::string::npos);
    BOOST_TEST(metrics.find("briarfold_contracts_revision 1\n") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(bad_requests_are_told_apart, fake_router)
{
    BOOST_TEST(send("GET", "/v1/nowhere").status == 404U);
    BOOST_TEST(send("DELETE", "/v1/contracts/reception").status == 405U);
    BOOST_TEST(send("GET", "/v1/contracts/a%zz").status == 400U);
    BOOST_TEST(send("PUT", "/v1/contracts/reception", nlohmann::json::array()).status == 400U);
    BOOST_TEST(send("GET", "/v1/contracts/reception").status == 404U);
}

// Guards against an edit whose loser cannot see who won, and against a repeat that makes a second version.
BOOST_FIXTURE_TEST_CASE(contract_edit_conflict_and_repeat, fake_router)
{
    const auto first = body("PUT", "/v1/contracts/reception", make_edit(100, 0, "op-1"));
    BOOST_TEST(first.at("version") == 1);
    BOOST_TEST(body("PUT", "/v1/contracts/reception", make_edit(100, 0, "op-1")).at("version") == 1);
    const auto refused = send("PUT", "/v1/contracts/reception", make_edit(200, 0, "op-2"));
    BOOST_TEST(refused.status == 409U);
    const auto winner = nlohmann::json::parse(refused.body);
    BOOST_TEST(winner.at("author") == "ada");
    BOOST_TEST(winner.at("version") == 1);
    feed();
    BOOST_TEST(body("GET", "/v1/contracts/reception").at("document").at("requests_per_s") == 100.0);
    const auto preview = body("POST", "/v1/contracts/reception/diff", make_document(300));
    BOOST_TEST(preview.at("changes").size() == 1U);
    body("PUT", "/v1/contracts/reception", make_edit(200, 1, "op-3"));
    const auto changes = body("GET", "/v1/contracts/reception/diff?from=1&to=2").at("changes");
    BOOST_TEST(changes.at(0).at("after") == 200.0);
    BOOST_TEST(body("GET", "/v1/contracts/reception/history").at("versions").size() == 2U);
}

// Guards against a refusal that does not say what is wrong.
BOOST_FIXTURE_TEST_CASE(bad_contract_lists_all_fields, fake_router)
{
    auto edit = make_edit(-1, 0, "op-1");
    edit["document"]["burst"] = 0;
    const auto answer = send("PUT", "/v1/contracts/reception", edit);
    BOOST_TEST(answer.status == 400U);
    BOOST_TEST(nlohmann::json::parse(answer.body).at("fields").size() == 2U);
    auto other = make_edit(1, 0, "op-1");
    other["document"]["customer"] = "somebody";
    BOOST_TEST(send("PUT", "/v1/contracts/reception", other).status == 400U);
}

// Guards against a change that is shown as in force although a router is behind or does not answer.
BOOST_FIXTURE_TEST_CASE(in_force_needs_every_router, fake_router)
{
    body("PUT", "/v1/contracts/reception", make_edit(100, 0, "op-1"));
    body("PUT", "/v1/contracts/reception", make_edit(200, 1, "op-2"));
    feed();
    reports = {{"r1", "a", true, 2, 0, {{"reception", 2}}, {}},
               {"r2", "a", true, 1, 0, {{"reception", 1}}, {}},
               {"r3", "b", false, 0, 0, {}, {}}};
    auto state = body("GET", "/v1/contracts/reception/status");
    BOOST_TEST(state.at("is_everywhere") == false);
    BOOST_TEST(state.at("behind") == nlohmann::json({"r2"}));
    BOOST_TEST(state.at("unknown") == nlohmann::json({"r3"}));
    reports[1].versions["reception"] = 3;
    reports.pop_back();
    state = body("GET", "/v1/status");
    BOOST_TEST(state.at("contracts").at(0).at("is_everywhere") == true);
    BOOST_TEST(state.at("routers").size() == 2U);
}

// Guards against a drain that starts twice, or that starts again when an old request is repeated.
BOOST_FIXTURE_TEST_CASE(draining_twice_is_one_drain, fake_router)
{
    body("PUT", "/v1/backend-servers/ac-01", make_join("op-join"));
    const auto first = body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-leave", "ada"));
    BOOST_TEST(first.at("is_changed") == true);
    const auto revision = table.all("").revision;
    const auto repeat = body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-leave", "ada"));
    BOOST_TEST(repeat == first);
    const auto second = body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-ben", "ben"));
    BOOST_TEST(second.at("is_changed") == false);
    BOOST_TEST(second.at("author") == "ada");
    BOOST_TEST(second.at("operation_id") == "op-leave");
    BOOST_TEST(table.all("").revision == revision);

    body("POST", "/v1/backend-servers/ac-01/stop", make_action("op-stop"));
    body("PUT", "/v1/backend-servers/ac-01", make_join("op-join-2"));
    body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-leave", "ada"));
    BOOST_TEST(body("GET", "/v1/backend-servers/ac-01").at("intent") == "joining");
}

// Guards against two operators at once, a lost answer, and a controller that writes the row in between.
BOOST_FIXTURE_TEST_CASE(concurrent_and_unanswered_drains_are_one_drain, fake_router)
{
    body("PUT", "/v1/backend-servers/ac-01", make_join("op-join"));
    table.before_commit = [this] {
        auto row = table.all("backend-server/ac-01").rows.front();
        row.value["epoch"] = 256;
        table.commit_now("controller", {{row.key, row.version, row.value}});
        table.before_commit = [this] {
            body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-ben", "ben"));
        };
    };
    const auto loser = body("POST", "/v1/backend-servers/ac-01/leave", make_action("op-ada", "ada"));
    BOOST_TEST(loser.at("author") == "ben");
    BOOST_TEST(loser.at("is_changed") == false);
    const auto server = body("GET", "/v1/backend-servers/ac-01");
    BOOST_TEST(server.at("intent") == "leaving");
    BOOST_TEST(server.at("epoch") == 256);

    table.lost_answers = 1;
    const auto stopped = body("POST", "/v1/backend-servers/ac-01/stop", make_action("op-stop"));
    BOOST_TEST(stopped.at("is_changed") == true);
    BOOST_TEST(stopped.at("intent") == "stopped");
}

// Guards against a join that changes the address of a live backend server or hides a typing error.
BOOST_FIXTURE_TEST_CASE(join_is_checked, fake_router)
{
    body("PUT", "/v1/backend-servers/ac-01", make_join("op-1"));
    BOOST_TEST(body("PUT", "/v1/backend-servers/ac-01", make_join("op-2")).at("is_changed") == false);
    BOOST_TEST(send("PUT", "/v1/backend-servers/ac-01", make_join("op-3", 9)).status == 409U);
    auto unknown = make_join("op-4");
    unknown["slotz"] = 1;
    BOOST_TEST(send("PUT", "/v1/backend-servers/ac-02", unknown).status == 400U);
    BOOST_TEST(send("POST", "/v1/backend-servers/ac-02/leave", make_action("op-5")).status == 404U);
}

BOOST_FIXTURE_TEST_CASE(owner_names_hash_and_backend_server, fake_router)
{
    body("PUT", "/v1/backend-servers/ac-01", make_join("op-1"));
    const auto answer = body("GET", "/v1/owner?service=accueil&key=guest%2F7");
    BOOST_TEST(answer.at("owner").at("id") == "ac-01");
    BOOST_TEST(answer.at("key") == "guest/7");
    BOOST_TEST(send("GET", "/v1/owner?service=nowhere&key=1").status == 404U);
    BOOST_TEST(send("GET", "/v1/owner?service=accueil").status == 400U);
}

// Guards against an outage that is reported as success or as a fault of the request.
BOOST_FIXTURE_TEST_CASE(store_outage_is_503_with_retry_after, fake_router)
{
    table.is_down = true;
    const auto answer = send("GET", "/v1/contracts/reception/history");
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(http::has_header(answer.headers, "Retry-After"));
}
