#include "standins/platform/platform_service.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;
using nlohmann::json;

namespace {

namespace asio = core::asio;

struct fixture
{
    fixture() : fixture(platform_options{}) {}
    explicit fixture(const platform_options& options) : service(context.get_executor(), options, history) {}

    /// Runs until the answer is there; throws std::future_error when none can come any more.
    http::response ask(const std::string& method, const std::string& target, const json& body = nullptr)
    {
        const http::request message(method, target, {}, body.is_null() ? "" : body.dump());
        auto answer = asio::co_spawn(context, service.answer(message), asio::use_future);
        while (answer.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        {
            context.restart();
            context.run_one();
        }
        return answer.get();
    }

    http::response write(const std::string& key, std::int64_t expected, const json& value)
    {
        return ask("POST", "/table/transactions",
                   {{"operation_id", "o"},
                    {"writes", {{{"key", key}, {"expected_version", expected}, {"value", value}}}}});
    }

    asio::io_context context;
    history::writer history{"", "platform", history::flush_policy::each_line};
    platform_service service;
};

json body_of(const http::response& answer)
{
    return json::parse(answer.body);
}

} // namespace

// Guards against a transaction that commits the writes before the one that conflicts.
BOOST_AUTO_TEST_CASE(conflicting_transaction_changes_nothing)
{
    table rows(10);
    BOOST_TEST(rows.commit("o1", {{"a", 0, 1}}).is_committed);
    const auto refused = rows.commit("o2", {{"b", 0, 1}, {"a", 0, 2}});
    BOOST_TEST(!refused.is_committed);
    BOOST_REQUIRE(refused.rows.size() == 1);
    BOOST_TEST(refused.rows[0].operation_id == "o1");
    BOOST_TEST(rows.find("b") == nullptr);
    BOOST_TEST(rows.revision() == 1);
}

// Guards against a reader that misses changes which have left the log.
BOOST_AUTO_TEST_CASE(changes_older_than_the_log_are_truncated)
{
    table rows(2);
    rows.commit("o", {{"a", 0, 1}});
    rows.commit("o", {{"a", 1, 2}});
    rows.commit("o", {{"a", 2, nullptr}});
    BOOST_TEST(rows.changes(0).is_truncated);
    const auto changes = rows.changes(1);
    BOOST_TEST(!changes.is_truncated);
    BOOST_REQUIRE(changes.rows.size() == 1);
    BOOST_TEST(changes.rows[0].value.is_null());
    BOOST_TEST(rows.find("a") == nullptr);
}

BOOST_AUTO_TEST_CASE(operations_over_the_limit_are_refused)
{
    rate_limit limit(400);
    BOOST_TEST(limit.take(400, {1000}));
    BOOST_TEST(!limit.take(1, {1000}));
    BOOST_TEST(!limit.take(41, {1100}));
    BOOST_TEST(limit.take(40, {1100}));
}

BOOST_AUTO_TEST_CASE(rows_are_read_by_key_prefix_and_change)
{
    fixture platform;
    BOOST_TEST(platform.write("router/1", 0, {{"zone", "a"}}).status == 200U);
    BOOST_TEST(platform.write("router/1", 0, {{"zone", "b"}}).status == 409U);
    BOOST_TEST(body_of(platform.ask("GET", "/table/rows?key=router%2F1")).at("version") == 1);
    BOOST_TEST(body_of(platform.ask("GET", "/table/rows?prefix=router/")).at("rows").size() == 1U);
    BOOST_TEST(body_of(platform.ask("GET", "/table/changes?since=0&wait_ms=5000")).at("revision") == 1);
    BOOST_TEST(platform.ask("GET", "/table/rows?key=none").status == 404U);
}

// Guards against a fault that does not reach the table, or never ends.
BOOST_AUTO_TEST_CASE(service_is_down_until_the_fault_ends)
{
    fixture platform;
    platform.ask("POST", "/control/faults", {{"mode", "down"}});
    BOOST_TEST(platform.write("a", 0, 1).status == 503U);
    platform.ask("POST", "/control/faults", {{"mode", "hang"}, {"duration_ms", 50}});
    BOOST_TEST(platform.write("a", 0, 1).status == 200U);
}

// Guards against a lost answer whose write did not commit: the scenario would test nothing.
BOOST_AUTO_TEST_CASE(write_with_a_lost_answer_is_committed)
{
    fixture platform;
    platform.ask("POST", "/control/faults", {{"lose_answers", 1}});
    const json body = {{"operation_id", "o"},
                       {"writes", {{{"key", "a"}, {"expected_version", 0}, {"value", 1}}}}};
    const http::request message("POST", "/table/transactions", {}, body.dump());
    const auto lost = asio::co_spawn(platform.context, platform.service.answer(message), asio::use_future);
    BOOST_TEST(body_of(platform.ask("GET", "/table/rows?key=a")).at("operation_id") == "o");
    BOOST_TEST((lost.wait_for(std::chrono::seconds(0)) == std::future_status::timeout));
}

BOOST_AUTO_TEST_CASE(instance_list_lags)
{
    platform_options options;
    options.instance_lag.ms = 3600000;
    fixture lagging(options);
    lagging.ask("PUT", "/control/instances/i1", {{"zone", "a"}, {"state", "live"}});
    BOOST_TEST(body_of(lagging.ask("GET", "/instances")).at("instances").empty());
    options.instance_lag.ms = 0;
    fixture current(options);
    current.ask("PUT", "/control/instances/i1", {{"zone", "a"}, {"state", "live"}});
    BOOST_TEST(body_of(current.ask("GET", "/instances")).at("instances").size() == 1U);
}
