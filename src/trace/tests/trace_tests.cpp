#include "trace/measuring_sink.hpp"
#include "trace/otlp.hpp"
#include "trace/span_recorder.hpp"
#include "trace/traceparent.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <ranges>

using namespace briarfold;

namespace {

const std::string valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

trace::span make_span(const std::string& request_id)
{
    trace::span value;
    value.context = trace::make_root();
    value.request_id = request_id;
    value.name = "front";
    value.start_ms = 1700000000000;
    value.end_ms = 1700000000012;
    value.attributes = {{"briarfold.outcome", "answered"}};
    return value;
}

} // namespace

// Guards against a malformed header that ends up in spans, and against a valid trace that is cut in two.
BOOST_AUTO_TEST_CASE(traceparent_follows_the_specification)
{
    const auto context = trace::parse_traceparent(valid);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(trace::make_traceparent(*context) == valid);
    BOOST_TEST(trace::parse_traceparent("cc" + valid.substr(2) + "-extra").has_value());
    for (const std::string& bad :
         {std::string(), valid + "-extra", "ff" + valid.substr(2), valid.substr(1),
          "00-" + std::string(32, '0') + valid.substr(35), valid.substr(0, 36) + std::string(16, '0') + "-01",
          std::string("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01")})
    {
        BOOST_TEST(!trace::parse_traceparent(bad).has_value(), bad);
    }
    const auto child = trace::make_child(*context);
    BOOST_TEST(child.trace_id == context->trace_id);
    BOOST_TEST(child.span_id != context->span_id);
    BOOST_TEST(trace::continue_or_start("bad").span_id.empty());
}

// Guards against spans that a collector refuses or that peers cannot read back.
BOOST_AUTO_TEST_CASE(span_survives_otlp_json)
{
    auto value = make_span("r-1");
    value.parent_span_id = "00f067aa0ba902b7";
    value.is_error = true;
    BOOST_TEST((trace::parse_span(trace::to_json(value)) == value));
    BOOST_TEST(trace::to_json(value).at("endTimeUnixNano") == "1700000000012000000");
}

// Guards against memory that grows with the number of requests.
BOOST_AUTO_TEST_CASE(lookup_finds_recent_spans_only)
{
    trace::span_recorder recorder("router-1", "", {.kept = 10});
    for (const int i : std::views::iota(0, 15))
    {
        recorder.record(make_span("r-" + std::to_string(i)));
    }
    BOOST_TEST(recorder.find("r-4").empty());
    BOOST_TEST(recorder.find("r-5").size() == 1U);
}

// Guards against spans that are lost at the end, and against a full queue that blocks requests.
BOOST_AUTO_TEST_CASE(file_holds_every_span_that_was_not_dropped)
{
    const auto file = std::filesystem::temp_directory_path() / ("trace-test-" + trace::make_root().trace_id);
    constexpr std::size_t spans = 5000;
    std::uint64_t dropped = 0;
    {
        trace::span_recorder recorder("router-1", file, {.kept = 10, .queued = 100});
        for (const auto i : std::views::iota(std::size_t{0}, spans))
        {
            recorder.record(make_span("r-" + std::to_string(i)));
        }
        dropped = recorder.dropped();
    }
    std::ifstream stream(file);
    std::size_t found = 0;
    for (std::string line; std::getline(stream, line);)
    {
        const auto resource = nlohmann::json::parse(line).at("resourceSpans").at(0);
        found += resource.at("scopeSpans").at(0).at("spans").size();
    }
    std::filesystem::remove(file);
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(found + dropped == spans);
}

// Guards against latencies that are missing from the metrics, and spans that are lost on the way.
BOOST_AUTO_TEST_CASE(hop_durations_are_measured)
{
    metrics::registry registry;
    trace::span_recorder recorder("router-1", "");
    trace::measuring_sink sink(registry, recorder);
    sink.record(make_span("r-1"));
    const auto text = registry.to_prometheus();
    BOOST_TEST(text.find("briarfold_hop_duration_ms_sum{hop=\"front\",result=\"answered\"} 12\n") !=
               std::string::npos);
    BOOST_TEST(recorder.find("r-1").size() == 1U);
}
