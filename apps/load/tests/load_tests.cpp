#include "apps/load/key_choice.hpp"
#include "apps/load/latency_histogram.hpp"
#include "apps/load/load_worker.hpp"
#include "apps/load/recorder.hpp"
#include "http/server.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace briarfold;
using namespace std::chrono_literals;

// Guards against percentiles that are off by more than the histogram promises.
BOOST_AUTO_TEST_CASE(percentiles_are_within_a_thirty_second)
{
    load::latency_histogram histogram;
    for (int i = 1; i <= 100000; ++i)
    {
        histogram.add(std::chrono::microseconds(i));
    }
    for (const double quantile : {0.5, 0.9, 0.99, 0.999})
    {
        const auto exact = quantile * 100000;
        const auto found = static_cast<double>(histogram.percentile(quantile).count());
        BOOST_TEST(found >= exact - 1);
        BOOST_TEST(found <= exact * (1 + 1.0 / 32));
    }
    BOOST_TEST(histogram.percentile(1).count() == 100000);
}

// Guards against a hot set that never moves, or that differs between workers.
BOOST_AUTO_TEST_CASE(hot_set_moves_with_time_only)
{
    load::key_settings settings;
    settings.hot_share = 1;
    settings.hot_keys = 5;
    settings.keys = 1000000;
    settings.hot_period = 100ms;
    const load::key_choice choice(settings, 7);
    const auto keys_at = [&](std::chrono::microseconds time, unsigned seed) {
        std::mt19937_64 random(seed);
        std::set<std::string> keys;
        for (int i = 0; i < 200; ++i)
        {
            keys.insert(choice.pick(random, time));
        }
        return keys;
    };
    BOOST_TEST(keys_at(0ms, 1).size() == 5U);
    BOOST_TEST((keys_at(0ms, 1) == keys_at(99ms, 2)));
    BOOST_TEST((keys_at(0ms, 1) != keys_at(100ms, 1)));
}

// Guards against an outage that the report does not show.
BOOST_AUTO_TEST_CASE(gap_spans_from_the_first_failure_to_the_next_answer)
{
    load::recorder results;
    const auto add = [&](std::chrono::microseconds intended, std::chrono::microseconds finished,
                         load::result_kind kind) {
        load::sample value;
        value.intended = intended;
        value.finished = finished;
        value.kind = kind;
        results.add(value);
    };
    add(0ms, 5ms, load::result_kind::answered);
    add(100ms, 110ms, load::result_kind::refused);
    add(300ms, 310ms, load::result_kind::unknown);
    add(700ms, 705ms, load::result_kind::answered);
    const auto report = results.report();
    BOOST_REQUIRE(report["gaps"].size() == 1U);
    BOOST_TEST(report["gaps"][0]["length_ms"] == 605.0);
    BOOST_TEST(report["outcomes"]["refused"] == 1);
}

// Guards against closed-loop behaviour: a slow server must show up in the latencies, not in fewer requests.
BOOST_AUTO_TEST_CASE(latency_counts_from_the_intended_start)
{
    core::asio::io_context context;
    http::server server(context.get_executor(), http::endpoint("127.0.0.1", 0),
                        [](http::request message, http::endpoint) -> core::asio::awaitable<http::response> {
                            core::asio::steady_timer timer(co_await core::asio::this_coro::executor, 20ms);
                            co_await timer.async_wait(core::asio::use_awaitable);
                            http::response answer;
                            answer.headers.emplace_back(
                                "X-Request-Id",
                                std::string(http::find_header(message.headers, "X-Request-Id")));
                            answer.headers.emplace_back("X-Briarfold-Outcome", "answered");
                            co_return answer;
                        });
    std::thread thread([&] { context.run(); });
    load::load_options options;
    options.targets.emplace_back("127.0.0.1", server.port());
    options.rate = 200;
    options.max_requests = 40;
    options.connections = 1;
    options.deadline = core::duration{20000};
    load::recorder results;
    history::writer history("", "load", history::flush_policy::buffered);
    load::load_worker(options, 0, load::load_worker::clock::now(), results, history).run();
    context.stop();
    thread.join();
    const auto report = results.report();
    // 41 requests arrive in about 0.2 s and take 20 ms each on the only connection.
    BOOST_TEST(report["outcomes"]["answered"] == 41);
    BOOST_TEST(report["latency_ms"]["max"] > 300.0);
}
