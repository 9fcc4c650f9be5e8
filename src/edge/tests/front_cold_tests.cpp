#include "edge/front.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <set>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

constexpr unsigned status_ok = 200;

/// A backend server that works 10 ms times its duration on each request and counts requests. Health checks
/// get a warm-up time.
struct counting_backend
{
    explicit counting_backend(asio::io_context& io_context)
        : context(io_context), acceptor(io_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string input;
        while (true)
        {
            boost::system::error_code code;
            const auto size =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, code));
            if (code)
            {
                co_return;
            }
            const bool is_health_check = input.starts_with("GET /health");
            input.erase(0, size);
            ++(is_health_check ? health_checks : requests);
            asio::steady_timer work(context, std::chrono::milliseconds(static_cast<int>(10 * duration)));
            co_await work.async_wait(asio::use_awaitable);
            const auto answer = std::string("HTTP/1.1 200 OK\r\n") +
                                (is_health_check ? "X-Warmup: 0\r\n" : "X-Attempt: a1\r\n") +
                                "X-Duration: " + std::to_string(duration) + "\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    double duration = 1;
    int requests = 0;
    int health_checks = 0;
};

/// A front of a service without keys whose backend servers handle 4.4 requests a second while they are cold.
struct front_fixture
{
    front_fixture() : log({}, [](const char*, std::size_t size) { return size; })
    {
        adapter.read_response = [](const http::response& answer) {
            edge::response_head head;
            head.attempt_id = http::find_header(answer.headers, "X-Attempt");
            head.is_signed = true;
            head.load = dispatch::reported_load{
                0, 0, 3, std::stod(std::string(http::find_header(answer.headers, "X-Duration")))};
            if (const auto text = http::find_header(answer.headers, "X-Warmup"); !text.empty())
            {
                head.warmup_left = core::duration{std::stoll(std::string(text))};
            }
            return head;
        };
        adapter.make_backend_request = [](http::request message, core::duration, const std::string&) {
            return message;
        };
        settings.name = "front";
        edge::front_callbacks callbacks;
        callbacks.budget = std::make_shared<http::transfer_budget>(std::size_t{1} << 24U);
        callbacks.request_report = [] {};
        front.emplace(context.get_executor(), settings, adapter, log, metrics, callbacks);
    }

    void apply(core::duration warmup_left, const std::string& health_path = "")
    {
        routes::service service;
        service.name = "desk";
        service.health_path = health_path;
        service.cold_requests_per_s = 4.4;
        routes::routing_config config;
        config.services = {service};
        directory::snapshot snapshot;
        for (const auto& [id, backend] : backends)
        {
            directory::entry entry;
            entry.server.id = id;
            entry.server.service = "desk";
            entry.server.address = {"127.0.0.1", backend->acceptor.local_endpoint().port()};
            entry.server.slots = 3;
            entry.server.warmup_left = warmup_left;
            entry.front = "front";
            snapshot.entries[id] = entry;
        }
        front->apply(snapshot, config);
    }

    /// Sends requests one by one at the interval, while the front ticks, and collects the results.
    void play(int count, core::duration interval)
    {
        asio::co_spawn(
            context,
            [this, count, interval]() -> asio::awaitable<void> {
                asio::steady_timer timer(context);
                for (int i = 0; i < count; ++i)
                {
                    asio::co_spawn(context, send(), asio::detached);
                    timer.expires_after(std::chrono::milliseconds(interval.ms));
                    co_await timer.async_wait(asio::use_awaitable);
                    front->tick();
                }
                context.stop();
            },
            asio::detached);
        context.run();
    }

    asio::awaitable<void> send()
    {
        wire::forward_request request;
        request.service = "desk";
        request.method = "GET";
        request.target = "/";
        request.request_id = "a1";
        request.route = "book";
        request.deadline = 5000_ms;
        request.objective = 400_ms;
        request.client_time_left = 5000_ms;
        results.push_back(co_await front->serve(std::move(request), nullptr));
    }

    asio::io_context context;
    edge::protocol adapter;
    settings::edge_settings settings;
    edge::event_log log;
    metrics::registry metrics;
    std::map<std::string, std::unique_ptr<counting_backend>> backends;
    std::vector<wire::forward_result> results;
    std::optional<edge::front> front;
};

} // namespace

BOOST_AUTO_TEST_SUITE(front_cold_cases)

// Guards against a burst that waits for slots and passes the rate of a cold backend server, and against
// rejected clients that come back at the same time.
BOOST_FIXTURE_TEST_CASE(a_cold_backend_server_gets_its_rate_and_the_surplus_is_rejected, front_fixture)
{
    backends["s1"] = std::make_unique<counting_backend>(context);
    apply(60000_ms);
    const auto start = core::clock::now();
    play(50, 20_ms);
    const double elapsed_s = static_cast<double>((core::clock::now() - start).ms) / 1000;
    std::set<std::int64_t> retry_times;
    int refused = 0;
    for (const auto& result : results)
    {
        if (result.status != status_ok)
        {
            ++refused;
            BOOST_CHECK(result.outcome == wire::outcome::refused_not_run);
            retry_times.insert(result.retry_after.ms);
        }
    }
    // The bucket is empty at the start and gains 4.4 tokens a second.
    BOOST_CHECK_LE(backends["s1"]->requests, 4.4 * elapsed_s + 1);
    BOOST_CHECK_GE(backends["s1"]->requests, 3);
    BOOST_CHECK_GE(refused, 20);
    BOOST_CHECK_GE(retry_times.size(), 10U);
}

// Guards against a backend server that stays limited although its health check says that it is warm.
BOOST_FIXTURE_TEST_CASE(a_health_check_ends_the_cold_phase, front_fixture)
{
    backends["s1"] = std::make_unique<counting_backend>(context);
    apply(60000_ms, "/health");
    play(350, 20_ms);
    BOOST_CHECK_GE(backends["s1"]->health_checks, 1);
    BOOST_CHECK_GE(backends["s1"]->requests, 60);
}

// Guards against requests that go to a machine with a noisy neighbour while another one is free.
BOOST_FIXTURE_TEST_CASE(the_backend_server_that_reports_shorter_work_is_chosen, front_fixture)
{
    backends["s1"] = std::make_unique<counting_backend>(context);
    backends["s2"] = std::make_unique<counting_backend>(context);
    backends["s1"]->duration = 3;
    apply(0_ms);
    play(40, 10_ms);
    BOOST_CHECK_LT(backends["s1"]->requests, backends["s2"]->requests / 3);
    BOOST_CHECK_GE(results.size(), 30U);
}

BOOST_AUTO_TEST_SUITE_END()
