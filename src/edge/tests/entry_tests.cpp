#include "edge/entry.hpp"
#include "wire/iforwarder.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <numeric>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;

edge::protocol make_protocol()
{
    edge::protocol adapter;
    adapter.read_request = [](const http::request&) {
        edge::request_head head;
        head.attempt_id = "a1";
        head.deadline = 1000_ms;
        return head;
    };
    adapter.make_refusal = [](unsigned status, const std::string&, core::duration retry_after,
                              const std::string& text) {
        return http::response(status, {{"X-Retry-Ms", std::to_string(retry_after.ms)}}, text);
    };
    return adapter;
}

routes::routing_config make_config()
{
    routes::route route;
    route.name = "book";
    route.host = "h.example";
    route.prefix = "/";
    route.services = {{"desk", 1}};
    route.timeout = 1000_ms;
    route.is_idempotent = true;
    route.max_attempts = 2;
    routes::service service;
    service.name = "desk";
    routes::routing_config config;
    config.version = 1;
    config.services = {service};
    config.routes = {route};
    return config;
}

/// A directory with one backend server of the service behind each front.
directory::snapshot make_directory(const std::vector<std::string>& fronts)
{
    directory::snapshot snapshot;
    snapshot.term = {0, 1};
    snapshot.revision = 1;
    for (const auto& front : fronts)
    {
        directory::router router;
        router.name = front;
        router.zone = "a";
        router.peer = http::endpoint("127.0.0.1", static_cast<unsigned short>(1 + snapshot.routers.size()));
        snapshot.routers[front] = router;
        directory::entry entry;
        entry.server.id = "server of " + front;
        entry.server.service = "desk";
        entry.front = front;
        snapshot.entries[entry.server.id] = entry;
    }
    return snapshot;
}

struct served_requests
{
    std::vector<http::response> answers;
    /// Number of requests that each front got.
    std::map<std::string, int> by_front;

    int sends() const
    {
        return std::accumulate(by_front.begin(), by_front.end(), 0,
                               [](int sum, const auto& item) { return sum + item.second; });
    }
};

/// Answers a request as the front of that name. May throw wire::link_error.
using front_answer = std::function<wire::forward_result(const std::string& front)>;

/// Sends requests, one after the other, through a router whose own front is not among `fronts`.
served_requests send_requests(int count, const std::vector<std::string>& fronts, const front_answer& respond,
                              const dispatch::retry_budget_settings& retries = {})
{
    asio::io_context context;
    const auto adapter = make_protocol();
    edge::event_log log({"entry"}, [](const char*, std::size_t size) { return size; });
    metrics::registry metrics;
    served_requests result;
    const auto snapshot = make_directory(fronts);
    edge::entry_callbacks callbacks;
    callbacks.forward_to_router =
        [&](http::endpoint peer, wire::forward_request,
            std::shared_ptr<core::cancellation>) -> asio::awaitable<wire::forward_result> {
        const auto front = std::ranges::find_if(snapshot.routers,
                                                [&](const auto& item) { return item.second.peer == peer; });
        ++result.by_front[front->first];
        co_return respond(front->first);
    };
    edge::entry entry(context.get_executor(), {"entry", "a", retries}, adapter, log, metrics,
                      std::move(callbacks));
    entry.apply(make_config());
    entry.apply(snapshot, directory::make_update(snapshot, {}, {}, 0));
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < count; ++i)
            {
                http::request message("GET", "/x");
                message.headers.emplace_back("Host", "h.example");
                result.answers.push_back(co_await entry.handle(std::move(message), nullptr));
            }
        },
        asio::detached);
    context.run();
    return result;
}

wire::forward_result make_result(wire::outcome outcome, unsigned status)
{
    wire::forward_result result;
    result.outcome = outcome;
    result.status = status;
    return result;
}

/// Answers a request without a route. `find_config` looks for a newer configuration and returns whether the
/// one in force is current then.
http::response answer_unrouted(const std::function<bool(edge::entry&)>& find_config)
{
    asio::io_context context;
    const auto adapter = make_protocol();
    edge::event_log log({"entry"}, [](const char*, std::size_t size) { return size; });
    metrics::registry metrics;
    edge::entry* checked = nullptr;
    edge::entry_callbacks callbacks;
    callbacks.serve_locally =
        [](wire::forward_request,
           std::shared_ptr<core::cancellation>) -> asio::awaitable<wire::forward_result> {
        co_return make_result(wire::outcome::answered, status_ok);
    };
    callbacks.await_current_config = [&]() -> asio::awaitable<bool> { co_return find_config(*checked); };
    edge::entry entry(context.get_executor(), {"entry", "a", {}}, adapter, log, metrics,
                      std::move(callbacks));
    checked = &entry;
    entry.apply(make_config());
    const auto snapshot = make_directory({"entry"});
    entry.apply(snapshot, directory::make_update(snapshot, {}, {}, 0));
    http::response answer;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http::request message("GET", "/x");
            message.headers.emplace_back("Host", "other.example");
            answer = co_await entry.handle(std::move(message), nullptr);
        },
        asio::detached);
    context.run();
    return answer;
}

front_answer stop_front(const std::string& stopping_front)
{
    return [stopping_front](const std::string& front) {
        if (front != stopping_front)
        {
            return make_result(wire::outcome::answered, status_ok);
        }
        auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable);
        refusal.not_run_reason = "stopping";
        refusal.retry_after = 300_ms;
        return refusal;
    };
}

/// A result after which the entry may send the request again.
wire::forward_result make_failure(const std::string& backend_server, wire::outcome outcome, unsigned status)
{
    auto result = make_result(outcome, status);
    result.peer = backend_server;
    result.may_send_again = true;
    return result;
}

/// Requests that are served first, so that the budget has retries left.
constexpr int served_first = 100;

front_answer fail_later(const front_answer& respond)
{
    return [calls = 0, respond](const std::string& front) mutable {
        return ++calls <= served_first ? make_result(wire::outcome::answered, status_ok) : respond(front);
    };
}

wire::forward_result lose_link(const std::string& front)
{
    throw wire::link_error("forward", front, "connection reset", true);
}

const dispatch::retry_budget_settings some_retries{0.2, 10000_ms, 20};

} // namespace

BOOST_AUTO_TEST_SUITE(entries)

// Guards against a request that may run only once and is forwarded beside others of its connection, which its
// client repeats when the connection ends.
BOOST_AUTO_TEST_CASE(only_requests_of_idempotent_routes_run_concurrently)
{
    asio::io_context context;
    edge::event_log log({"entry"}, [](const char*, std::size_t size) { return size; });
    metrics::registry metrics;
    const auto adapter = make_protocol();
    edge::entry entry(context.get_executor(), {"entry", "a", {}}, adapter, log, metrics, {});
    const http::request message{"GET", "/book", {{"Host", "h.example"}}, ""};
    BOOST_TEST(!entry.may_run_concurrently(message));
    auto config = make_config();
    entry.apply(config);
    BOOST_TEST(entry.may_run_concurrently(message));
    BOOST_TEST(!entry.may_run_concurrently({"GET", "/book", {{"Host", "other.example"}}, ""}));
    config.version = 2;
    config.routes.front().is_idempotent = false;
    entry.apply(config);
    BOOST_TEST(!entry.may_run_concurrently(message));
}

// Guards against a request that is refused because its front stops, although another front could serve it.
BOOST_AUTO_TEST_CASE(request_refused_by_a_stopping_front_goes_to_another_one)
{
    const auto served = send_requests(2, {"f1", "f2"}, stop_front("f1"));
    BOOST_CHECK_EQUAL(served.answers.at(0).status, status_ok);
    BOOST_CHECK_EQUAL(served.answers.at(1).status, status_ok);
    BOOST_CHECK_EQUAL(served.by_front.at("f1"), 1);
    BOOST_CHECK_EQUAL(served.by_front.at("f2"), 2);
}

// Guards against a request that is held, or sent again and again, when its only front stops.
BOOST_AUTO_TEST_CASE(request_is_refused_at_once_when_its_only_front_stops)
{
    const auto served = send_requests(2, {"f1"}, stop_front("f1"));
    BOOST_CHECK_EQUAL(served.answers.at(0).status, status_unavailable);
    BOOST_CHECK_EQUAL(http::find_header(served.answers.at(0).headers, "X-Retry-Ms"), "300");
    BOOST_CHECK_EQUAL(served.by_front.at("f1"), 2);
}

// Guards against a request that is rejected because one front has no room, although another one has.
BOOST_AUTO_TEST_CASE(a_request_goes_to_another_front_when_one_has_no_room)
{
    const auto respond = [](const std::string& front) {
        auto result = make_result(wire::outcome::answered, status_ok);
        if (front != "f3")
        {
            result = make_result(wire::outcome::refused_not_run, status_unavailable);
            result.not_run_reason = "overload";
            result.retry_after = 100_ms;
        }
        return result;
    };
    const auto served = send_requests(2, {"f1", "f2", "f3"}, respond);
    BOOST_CHECK_EQUAL(served.answers.at(0).status, status_ok);
    BOOST_CHECK_EQUAL(served.answers.at(1).status, status_ok);
    BOOST_CHECK_EQUAL(served.sends(), 4);
    const auto rejected = send_requests(1, {"f1", "f2"}, respond);
    BOOST_CHECK_EQUAL(rejected.answers.at(0).status, status_unavailable);
    BOOST_CHECK_EQUAL(http::find_header(rejected.answers.at(0).headers, "X-Retry-Ms"), "100");
}

// Guards against lost links to a front that repeat the requests on them without a budget.
BOOST_AUTO_TEST_CASE(requests_on_lost_links_are_repeated_within_the_budget_only)
{
    constexpr int lost = 60;
    constexpr int requests = served_first + lost;
    const dispatch::retry_budget_settings none{0, 10000_ms, 0};
    const auto without = send_requests(requests, {"f1"}, fail_later(lose_link), none);
    BOOST_CHECK_EQUAL(without.sends(), requests);
    BOOST_CHECK_EQUAL(without.answers.back().status, status_bad_gateway);
    const auto with = send_requests(requests, {"f1"}, fail_later(lose_link), some_retries);
    BOOST_CHECK_GT(with.sends(), requests + 10);
    BOOST_CHECK_LE(with.sends(), requests + 0.2 * requests + 20);
}

// Guards against a request at more backend servers than its route allows, when each send goes to another
// front.
BOOST_AUTO_TEST_CASE(a_request_reaches_no_more_backend_servers_than_its_route_allows)
{
    bool is_first = true;
    const auto served = send_requests(
        served_first + 1, {"f1", "f2", "f3"}, fail_later([&](const std::string& front) {
            return std::exchange(is_first, false)
                       ? lose_link(front)
                       : make_failure("server of " + front, wire::outcome::unknown, status_bad_gateway);
        }),
        some_retries);
    BOOST_CHECK_EQUAL(served.sends(), served_first + 2);
    BOOST_CHECK_EQUAL(served.answers.back().status, status_bad_gateway);
}

// Guards against the answer of a backend server that is replaced by a refusal of a later send.
BOOST_AUTO_TEST_CASE(failure_of_a_backend_server_is_answered_when_the_retry_is_refused)
{
    bool is_first = true;
    const auto served = send_requests(
        served_first + 1, {"f1"}, fail_later([&](const std::string& front) {
            return std::exchange(is_first, false)
                       ? make_failure("server of " + front, wire::outcome::answered, status_server_error)
                       : make_result(wire::outcome::refused_not_run, status_unavailable);
        }),
        some_retries);
    BOOST_CHECK_EQUAL(served.sends(), served_first + 2);
    BOOST_CHECK_EQUAL(served.answers.back().status, status_server_error);
}

// Guards against a route that is said not to exist by a router that has missed the change which added it.
BOOST_AUTO_TEST_CASE(a_route_of_a_configuration_that_was_missed_is_found)
{
    const auto answer = answer_unrouted([](edge::entry& entry) {
        auto config = make_config();
        config.version = 2;
        config.routes.front().host = "other.example";
        return entry.apply(std::move(config));
    });
    BOOST_CHECK_EQUAL(answer.status, status_ok);
}

BOOST_AUTO_TEST_CASE(a_route_is_unknown_only_by_a_current_configuration)
{
    BOOST_CHECK_EQUAL(answer_unrouted([](edge::entry&) { return true; }).status, status_not_found);
    const auto refusal = answer_unrouted([](edge::entry&) { return false; });
    BOOST_CHECK_EQUAL(refusal.status, status_unavailable);
    BOOST_CHECK_EQUAL(http::find_header(refusal.headers, "X-Retry-Ms"), "500");
}

BOOST_AUTO_TEST_SUITE_END()
