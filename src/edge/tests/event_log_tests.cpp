#include "edge/event_log.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

using namespace briarfold::edge;

BOOST_AUTO_TEST_SUITE(event_logs)

// Guards against a log that blocks the event loop when nobody reads it, and against memory that grows
// meanwhile.
BOOST_AUTO_TEST_CASE(full_pipe_does_not_block_the_log)
{
    int ends[2];
    BOOST_REQUIRE_EQUAL(::pipe(ends), 0);
    event_log_settings settings;
    settings.node = "r1";
    settings.burst_lines = 100000;
    event_log log(settings, make_descriptor_sink(ends[1]));
    for (int i = 0; i < 20000; ++i)
    {
        log.write("refused", {{"request", "id"}, {"text", std::string(100, 'x')}});
        log.flush();
    }
    BOOST_CHECK_GT(log.dropped(), 0U);
    std::string read(1 << 20, '\0');
    BOOST_REQUIRE_EQUAL(::fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
    const auto size = ::read(ends[0], read.data(), read.size());
    BOOST_CHECK_GT(size, 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against dropped lines that are not counted, and against a log volume that grows with the load.
BOOST_AUTO_TEST_CASE(dropped_lines_are_counted)
{
    std::string text;
    event_log_settings settings;
    settings.lines_per_s = 0.001;
    settings.burst_lines = 10;
    event_log log(settings, [&](const char* data, std::size_t size) {
        text.append(data, size);
        return size;
    });
    for (int i = 0; i < 50; ++i)
    {
        log.write("refused", {{"request", std::to_string(i)}});
    }
    log.flush();
    BOOST_CHECK_EQUAL(std::ranges::count(text, '\n'), 10);
    BOOST_CHECK_EQUAL(log.dropped(), 40U);
    const auto first = nlohmann::json::parse(text.substr(0, text.find('\n')));
    BOOST_CHECK_EQUAL(first.at("event"), "refused");
    BOOST_CHECK(first.contains("time_ms"));
}

BOOST_AUTO_TEST_SUITE_END()
