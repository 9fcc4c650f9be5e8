#include "metrics/registry.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>
#include <ranges>
#include <thread>

using namespace briarfold;
using namespace briarfold::core::literals;

// Guards against quantiles that are far off for the skewed distributions of latencies.
BOOST_AUTO_TEST_CASE(quantiles_are_close_for_a_skewed_distribution)
{
    metrics::summary summary;
    std::mt19937 engine(7);
    std::exponential_distribution<double> latency(0.1);
    const core::time_point start{1000};
    for (int i = 0; i < 100000; ++i)
    {
        summary.record(latency(engine), start);
    }
    const auto values = summary.values(start);
    // Quantile p of the distribution is -10 ln(1 - p).
    BOOST_TEST(values.quantiles[0] == 6.93, boost::test_tools::tolerance(0.05));
    BOOST_TEST(values.quantiles[2] == 46.05, boost::test_tools::tolerance(0.05));
    BOOST_TEST(values.count == 100000U);
}

// Guards against an old spike that stays visible for ever, and against undefined estimates of few values.
BOOST_AUTO_TEST_CASE(quantiles_cover_the_last_window_only)
{
    metrics::summary summary;
    const core::time_point start{1000};
    summary.record(500, start);
    BOOST_TEST(summary.values(start).quantiles[2] == 500);
    const auto later = start + metrics::summary_window * 3;
    BOOST_TEST(std::isnan(summary.values(later).quantiles[2]));
    summary.record(2, later);
    BOOST_TEST(summary.values(later).quantiles[3] == 2);
    BOOST_TEST(summary.values(later).sum == 502);
}

// Guards against text that a Prometheus server rejects, and against hooks that run under the registry's lock.
BOOST_AUTO_TEST_CASE(text_format_escapes_labels_and_includes_computed_gauges)
{
    metrics::registry registry;
    registry.counter("requests_total", "Requests.", {{"customer", "a\"b\\c\n"}}).add(3);
    registry.computed_gauge("queue_length", "Queued.", {}, [&registry] {
        return static_cast<double>(registry.counter("requests_total", "Requests.").value());
    });
    const auto text = registry.to_prometheus();
    BOOST_TEST(text.find("# TYPE requests_total counter\n") != std::string::npos);
    BOOST_TEST(text.find("requests_total{customer=\"a\\\"b\\\\c\\n\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("queue_length 0\n") != std::string::npos);
}

// Guards against memory that grows with label values chosen by callers.
BOOST_AUTO_TEST_CASE(series_are_bounded)
{
    metrics::registry registry;
    for (const auto i : std::views::iota(std::size_t{0}, metrics::most_series + 10))
    {
        registry.counter("c_total", "C.", {{"name", std::to_string(i)}}).add();
    }
    BOOST_TEST(registry.to_prometheus().find("c_total{name=\"other\"} 10\n") != std::string::npos);
}

// Guards against lost events when workers count at the same time.
BOOST_AUTO_TEST_CASE(events_of_several_threads_are_all_counted)
{
    metrics::registry registry;
    constexpr int threads = 4;
    constexpr int events = 10000;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int i = 0; i < threads; ++i)
        {
            workers.emplace_back([&registry] {
                for (int event = 0; event < events; ++event)
                {
                    registry.counter("c_total", "C.").add();
                    registry.summary("s_ms", "S.").record(1);
                }
            });
        }
    }
    BOOST_TEST(registry.counter("c_total", "C.").value() == threads * events);
    BOOST_TEST(registry.summary("s_ms", "S.").values().count == threads * events);
}
