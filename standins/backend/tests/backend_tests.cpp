#include "core/key_hash.hpp"
#include "standins/backend/backend_service.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace briarfold;
using namespace briarfold::standins;
using nlohmann::json;

namespace {

namespace asio = core::asio;

const std::vector<ownership::slice> whole{{0, std::numeric_limits<std::uint64_t>::max()}};
constexpr core::duration grant_time{900};
constexpr core::time_point start{1000};

grant_order make_order(std::int64_t epoch, const std::string& nonce, std::int64_t version,
                       std::optional<std::vector<ownership::slice>> slices = std::nullopt)
{
    return {epoch, nonce, grant_time, "c", version, std::move(slices)};
}

backend_options make_options()
{
    backend_options options;
    options.server.id = "b";
    options.server.service = "s";
    options.server.slots = 1;
    options.latency.ms = 1;
    return options;
}

struct fixture
{
    explicit fixture(const backend_options& options = make_options())
        : service(context.get_executor(), options, history, [this] { has_ended = true; })
    {}

    std::future<http::response> begin(const http::request& message)
    {
        return asio::co_spawn(context, service.answer(message), asio::use_future);
    }

    http::response finish(std::future<http::response> answer)
    {
        while (answer.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        {
            context.restart();
            context.run_one();
        }
        return answer.get();
    }

    json order(const std::string& target, const json& body)
    {
        return json::parse(finish(begin({"POST", target, {}, body.dump()})).body);
    }

    json grant(std::int64_t epoch, std::int64_t version, const std::vector<std::string>& slices,
               std::int64_t duration_ms = 60000)
    {
        json body = {{"epoch", epoch},
                     {"nonce", ""},
                     {"duration_ms", duration_ms},
                     {"controller", "c"},
                     {"slices_version", version},
                     {"slices", slices}};
        body["nonce"] = order("/grant", body).at("next_nonce");
        return order("/grant", body);
    }

    static http::request work(const std::string& id)
    {
        return {"POST", "/work/s/x", {{"X-Request-Id", id}, {"X-Briarfold-Key", "k"}}, ""};
    }

    static std::string reason(const http::response& answer)
    {
        return std::string(http::find_header(answer.headers, "X-Briarfold-Not-Run"));
    }

    asio::io_context context;
    history::writer history{"", "b", history::flush_policy::each_line};
    bool has_ended = false;
    backend_service service;
};

} // namespace

// Guards against a grant extended by a delay on the way or by a paused controller.
BOOST_AUTO_TEST_CASE(grant_ends_by_the_issue_of_its_nonce)
{
    grant_state grants;
    const auto nonce = grants.issue_nonce(start);
    const auto accepted_at = start + core::duration{800};
    BOOST_TEST(grants.apply(make_order(256, nonce, 1, whole), accepted_at).empty());
    BOOST_TEST(grants.covers(7, start + core::duration{899}));
    BOOST_TEST(!grants.covers(7, start + grant_time));
    BOOST_TEST(grants.apply(make_order(256, nonce, 1), accepted_at) == "unknown_nonce");
    const auto late = grants.issue_nonce(start);
    BOOST_TEST(grants.apply(make_order(256, late, 1), start + grant_time) == "unknown_nonce");
}

// Guards against a superseded controller, and against a delayed grant that brings removed slices back.
BOOST_AUTO_TEST_CASE(older_epoch_or_slices_version_is_refused)
{
    grant_state grants;
    const auto give = [&](std::int64_t epoch, std::int64_t version, auto slices) {
        return grants.apply(make_order(epoch, grants.issue_nonce(start), version, slices), start);
    };
    BOOST_TEST(give(512, 5, std::optional(whole)).empty());
    BOOST_TEST(give(256, 6, std::optional(whole)) == "stale_epoch");
    BOOST_TEST(give(512, 6, std::optional(std::vector<ownership::slice>{})).empty());
    BOOST_TEST(give(512, 5, std::optional(whole)) == "stale_epoch");
    BOOST_TEST(!grants.covers(7, start));
    // The next controller may have other slices under the same number.
    BOOST_TEST(give(768, 6, std::optional<std::vector<ownership::slice>>()) == "slices_required");
}

// Guards against an effect after the grant lapsed, even when a later grant was accepted in between.
BOOST_AUTO_TEST_CASE(drained_work_loses_its_right_when_the_grant_lapses)
{
    grant_state grants;
    const auto give = [&](std::int64_t version, const std::vector<ownership::slice>& slices,
                          core::time_point now) {
        return grants.apply(make_order(256, grants.issue_nonce(now), version, slices), now);
    };
    BOOST_TEST(give(1, whole, start).empty());
    const auto series = grants.series();
    BOOST_TEST(give(2, {}, start).empty());
    BOOST_TEST(grants.permits_effect(7, series, start));
    const auto later = start + grant_time;
    BOOST_TEST(!grants.permits_effect(7, series, later));
    BOOST_TEST(give(3, {}, later).empty());
    BOOST_TEST(!grants.permits_effect(7, series, later));
}

BOOST_AUTO_TEST_CASE(work_runs_only_under_a_grant)
{
    fixture backend;
    BOOST_TEST(fixture::reason(backend.finish(backend.begin(fixture::work("r1")))) == "not_owner");
    BOOST_TEST(backend.grant(256, 1, {"0000000000000000-ffffffffffffffff"}).at("accepted") == true);
    const auto answer = backend.finish(backend.begin(fixture::work("r2")));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(http::find_header(answer.headers, "X-Request-Id") == "r2");
}

// Guards against an effect without a recheck: the grant ends while the work runs.
BOOST_AUTO_TEST_CASE(work_that_outlives_its_grant_is_refused)
{
    auto options = make_options();
    options.latency.ms = 100;
    fixture backend(options);
    backend.grant(256, 1, {"0000000000000000-ffffffffffffffff"}, 50);
    BOOST_TEST(fixture::reason(backend.finish(backend.begin(fixture::work("r")))) == "not_owner");
}

BOOST_AUTO_TEST_CASE(unchecked_server_runs_without_a_grant)
{
    auto options = make_options();
    options.server.checks_grants = false;
    fixture backend(options);
    BOOST_TEST(backend.finish(backend.begin(fixture::work("r"))).status == 200U);
}

BOOST_AUTO_TEST_CASE(waiting_work_can_be_cancelled_and_full_slots_shed)
{
    auto options = make_options();
    options.server.checks_grants = false;
    options.cold_start.ms = 50;
    fixture backend(options);
    auto waiting = backend.begin(fixture::work("r1"));
    auto shed = backend.finish(backend.begin(fixture::work("r2")));
    BOOST_TEST(fixture::reason(shed) == "shed");
    BOOST_TEST(backend.order("/cancel", {{"request_id", "r1"}}).at("state") == "cancelled_before_start");
    const auto cancelled = backend.finish(std::move(waiting));
    BOOST_TEST(fixture::reason(cancelled) == "cancelled");
    BOOST_TEST(backend.order("/cancel", {{"request_id", "r9"}}).at("state") == "unknown");
}

// Guards against a drain that cuts work off, and a stop that ends before the work in flight has.
BOOST_AUTO_TEST_CASE(stop_waits_for_work_in_flight_and_takes_no_more)
{
    fixture backend;
    backend.grant(256, 1, {"0000000000000000-ffffffffffffffff"});
    auto running = backend.begin(fixture::work("r1"));
    BOOST_TEST(backend.order("/drain", {{"epoch", 255}, {"operation_id", "o"}}).at("reason") ==
               "stale_epoch");
    BOOST_TEST(backend.order("/stop", {{"epoch", 256}, {"operation_id", "o"}}).at("in_flight") == 1);
    BOOST_TEST(!backend.has_ended);
    BOOST_TEST(fixture::reason(backend.finish(backend.begin(fixture::work("r2")))) == "draining");
    const auto finished = backend.finish(std::move(running));
    BOOST_TEST(finished.status == 200U);
    BOOST_TEST(backend.has_ended);
}
