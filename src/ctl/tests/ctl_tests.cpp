#include "admin/tests/fake_router.hpp"
#include "core/ids.hpp"
#include "ctl/run.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace briarfold;
using admin::tests::fake_router;

namespace {

/// Runs command lines against an admin API in this process.
struct ctl_fixture : fake_router
{
    std::string file = std::filesystem::temp_directory_path() / (core::make_id("ctl-test") + ".json");
    std::ostringstream out;
    std::ostringstream errors;
    std::string bearer = admin::tests::token;

    ~ctl_fixture() { std::filesystem::remove(file); }

    void write(const nlohmann::json& content) { std::ofstream(file) << content; }

    int ctl(std::vector<std::string> words)
    {
        out.str("");
        errors.str("");
        words.insert(words.end(), {"--output", "json"});
        const auto call =
            ctl::parse_command_line(words, {{"BRIARFOLD_ROUTERS", "127.0.0.1:1"}, {"USER", "ada"}});
        const auto code = ctl::run(
            call,
            [this](const http::request& message) {
                const auto body =
                    message.body.empty() ? nlohmann::json() : nlohmann::json::parse(message.body);
                return fake_router::send(message.method, message.target, body, bearer);
            },
            out, errors);
        feed();
        return code;
    }

    nlohmann::json json() const { return nlohmann::json::parse(out.str()); }
};

} // namespace

// Guards against a script that cannot tell a conflict, a bad document and success apart.
BOOST_FIXTURE_TEST_CASE(contract_edits_have_telling_exit_codes, ctl_fixture)
{
    write(admin::tests::make_document(100));
    BOOST_TEST(ctl({"contract", "apply", "--file", file}) == ctl::exit_done);
    BOOST_TEST(json().at("version") == 1);
    BOOST_TEST(ctl({"contract", "apply", "--file", file, "--expected-version", "0"}) == ctl::exit_conflict);
    BOOST_TEST(errors.str().find("author: ada") != std::string::npos);
    write(admin::tests::make_document(-1));
    BOOST_TEST(ctl({"contract", "apply", "--file", file}) == ctl::exit_refused);
    BOOST_TEST(errors.str().find("requests_per_s = -1.0: allowed is") != std::string::npos);
    write(admin::tests::make_document(200));
    BOOST_TEST(ctl({"contract", "diff", "--file", file}) == ctl::exit_done);
    BOOST_TEST(json().at("changes").size() == 1U);
    BOOST_TEST(ctl({"contract", "apply", "--file", file}) == ctl::exit_done);
    BOOST_TEST(ctl({"contract", "history", "reception"}) == ctl::exit_done);
    BOOST_TEST(json().at("versions").size() == 2U);
    table.is_down = true;
    BOOST_TEST(ctl({"contract", "history", "reception"}) == ctl::exit_unknown);
    bearer = "wrong";
    BOOST_TEST(ctl({"contract", "list"}) == ctl::exit_unauthorized);
}

// Guards against a change that is reported as in force while a router is behind.
BOOST_FIXTURE_TEST_CASE(apply_waits_until_in_force, ctl_fixture)
{
    write(admin::tests::make_document(100));
    reports = {{"r1", "a", true, 1, 0, {}, {}}};
    BOOST_TEST(ctl({"contract", "apply", "--file", file, "--wait-ms", "1"}) == ctl::exit_not_in_force);
    BOOST_TEST(ctl({"contract", "status", "reception"}) == ctl::exit_not_in_force);
    reports[0].versions["reception"] = 1;
    BOOST_TEST(ctl({"contract", "status", "reception"}) == ctl::exit_done);
}

// Guards against a stop without confirmation: for an unreachable backend server it replaces all proof.
BOOST_FIXTURE_TEST_CASE(backend_servers_join_from_a_file_and_stop_on_confirmation, ctl_fixture)
{
    auto server = admin::tests::make_join("x");
    server.erase("author");
    server.erase("operation_id");
    server["id"] = "ac-01";
    auto second = server;
    second["id"] = "ac-02";
    write({{"services", {"accueil"}}, {"backend_servers", {server, second}}});
    BOOST_TEST(ctl({"backend", "join", "--file", file}) == ctl::exit_done);
    BOOST_TEST(ctl({"backend", "list"}) == ctl::exit_done);
    BOOST_TEST(json().at("backend_servers").size() == 2U);
    BOOST_TEST(ctl({"backend", "leave", "ac-01"}) == ctl::exit_done);
    BOOST_TEST(json().at("author") == "ada");
    BOOST_CHECK_THROW(ctl({"backend", "stop", "ac-01"}), ctl::usage_error);
    BOOST_TEST(ctl({"backend", "stop", "ac-01", "--yes"}) == ctl::exit_done);
    BOOST_TEST(ctl({"owner", "accueil", "a key/1"}) == ctl::exit_done);
    BOOST_TEST(json().at("key") == "a key/1");
    BOOST_TEST(ctl({"backend", "show", "ac-99"}) == ctl::exit_refused);
}

BOOST_FIXTURE_TEST_CASE(probes_and_traces, ctl_fixture)
{
    BOOST_TEST(ctl({"ready"}) == ctl::exit_done);
    not_ready = {"no table"};
    BOOST_TEST(ctl({"ready"}) == ctl::exit_not_in_force);
    trace::span span;
    span.request_id = "r-1";
    span.name = "entry";
    spans = {span};
    BOOST_TEST(ctl({"trace", "r-1"}) == ctl::exit_done);
    BOOST_TEST(json().at("spans").size() == 1U);
}

// Guards against wrong command lines that are silently taken as something else.
BOOST_AUTO_TEST_CASE(wrong_command_lines_are_refused)
{
    const std::map<std::string, std::string> environment{{"BRIARFOLD_ROUTERS", "127.0.0.1:1"}};
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"contract"},
        {"contract", "show"},
        {"contract", "apply"},
        {"contract", "apply", "--file", "f", "--operation-id", "x"},
        {"contract", "diff", "reception"},
        {"status", "extra"},
        {"status", "--output", "xml"},
        {"status", "--colour"},
        {"status", "--router", "localhost"}};
    for (const auto& words : wrong)
    {
        BOOST_CHECK_THROW(ctl::parse_command_line(words, environment), ctl::usage_error);
    }
    BOOST_CHECK_THROW(ctl::parse_command_line({"status"}, {}), ctl::usage_error);
    BOOST_TEST(ctl::parse_command_line({"--help"}, {}).help.find("contract apply") != std::string::npos);
}
