#include "edge/entry.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

constexpr unsigned status_ok = 200;
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
};

/// Sends two requests, one after the other, through a router whose own front is not among `fronts`.
served_requests send_two(const std::vector<std::string>& fronts, const std::string& stopping_front)
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
        wire::forward_result forwarded;
        if (front->first == stopping_front)
        {
            forwarded.outcome = wire::outcome::refused_not_run;
            forwarded.not_run_reason = "stopping";
            forwarded.retry_after = 300_ms;
            co_return forwarded;
        }
        forwarded.outcome = wire::outcome::answered;
        forwarded.status = status_ok;
        co_return forwarded;
    };
    edge::entry entry(context.get_executor(), "entry", "a", adapter, log, metrics, std::move(callbacks));
    entry.apply(make_config());
    entry.apply(snapshot, directory::make_update(snapshot, {}, {}, 0));
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < 2; ++i)
            {
                http::request message("POST", "/x");
                message.headers.emplace_back("Host", "h.example");
                result.answers.push_back(co_await entry.handle(std::move(message), nullptr));
            }
        },
        asio::detached);
    context.run();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entries)

// Guards against a request that is refused because its front stops, although another front could serve it.
BOOST_AUTO_TEST_CASE(request_refused_by_a_stopping_front_goes_to_another_one)
{
    const auto served = send_two({"f1", "f2"}, "f1");
    BOOST_CHECK_EQUAL(served.answers.at(0).status, status_ok);
    BOOST_CHECK_EQUAL(served.answers.at(1).status, status_ok);
    BOOST_CHECK_EQUAL(served.by_front.at("f1"), 1);
    BOOST_CHECK_EQUAL(served.by_front.at("f2"), 2);
}

// Guards against a request that is held, or sent again and again, when its only front stops.
BOOST_AUTO_TEST_CASE(request_is_refused_at_once_when_its_only_front_stops)
{
    const auto served = send_two({"f1"}, "f1");
    BOOST_CHECK_EQUAL(served.answers.at(0).status, status_unavailable);
    BOOST_CHECK_EQUAL(http::find_header(served.answers.at(0).headers, "X-Retry-Ms"), "300");
    BOOST_CHECK_EQUAL(served.by_front.at("f1"), 2);
}

BOOST_AUTO_TEST_SUITE_END()
