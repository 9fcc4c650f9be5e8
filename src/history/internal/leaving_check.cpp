// G6 and G7. A backend server leaves from the first `drain` line, or row with intent leaving or stopped,
// until a row with another intent.
#include "history/internal/checks.hpp"

#include <map>
#include <optional>

namespace briarfold::history::internal {

namespace {

constexpr unsigned status_bad_gateway = 502;
/// How long after the end of a process a caller may still learn of its closed connection.
constexpr core::duration report_delay{5000};

struct span
{
    core::time_point begin;
    std::optional<core::time_point> end;
};

using leaving_spans = std::map<std::string, std::vector<span>>;

void begin_leaving(std::vector<span>& spans, core::time_point now)
{
    if (spans.empty() || spans.back().end)
    {
        spans.push_back({now, std::nullopt});
    }
}

leaving_spans collect_spans(const std::vector<event>& events)
{
    leaving_spans leaving;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::drain)
        {
            begin_leaving(leaving[value.fields.at("backend_server")], value.time);
        }
        if (value.kind != event_kind::assignment || !is_store_line(value))
        {
            continue;
        }
        auto& spans = leaving[value.fields.at("backend_server")];
        const std::string intent = value.fields.at("intent");
        if (intent == "leaving" || intent == "stopped")
        {
            begin_leaving(spans, value.time);
        }
        else if (!spans.empty() && !spans.back().end)
        {
            spans.back().end = value.time;
        }
    }
    return leaving;
}

void check_new_work(const std::vector<event>& events, const check_options& options,
                    std::vector<violation>& found)
{
    const auto leaving = collect_spans(events);
    for (const auto& value : events)
    {
        if (value.kind != event_kind::execute)
        {
            continue;
        }
        const std::string id = value.fields.at("backend_server");
        const core::time_point received{value.fields.at("received_ms").get<std::int64_t>()};
        const auto spans = leaving.find(id);
        if (spans == leaving.end())
        {
            continue;
        }
        for (const auto& [begin, end] : spans->second)
        {
            if (received > begin + options.leaving_bound && (!end || received < *end))
            {
                found.push_back({violation_kind::work_on_leaving, value.time,
                                 id + " received " + value.fields.at("request_id").get<std::string>() + " " +
                                     std::to_string((received - begin).ms) + " ms after it was leaving"});
            }
        }
    }
}

bool is_cut_off(const event& outcome, const event& stop)
{
    return outcome.fields.at("outcome") == "unknown" && outcome.fields.at("status") == status_bad_gateway &&
           outcome.fields.at("peer") == stop.fields.at("address") &&
           outcome.time + report_delay >= stop.time && outcome.time <= stop.time + report_delay;
}

void check_stops(const std::vector<event>& events, std::vector<violation>& found)
{
    for (const auto& stop : events)
    {
        if (stop.kind != event_kind::stop)
        {
            continue;
        }
        const std::string id = stop.fields.at("backend_server");
        if (stop.fields.at("in_flight") != 0)
        {
            found.push_back(
                {violation_kind::cut_off_by_stop, stop.time, id + " stopped with work in flight"});
        }
        for (const auto& value : events)
        {
            if (value.kind == event_kind::outcome && is_cut_off(value, stop))
            {
                found.push_back({violation_kind::cut_off_by_stop, value.time,
                                 id + " cut off " + value.fields.at("request_id").get<std::string>()});
            }
        }
    }
}

} // namespace

void check_leaving(const std::vector<event>& events, const check_options& options,
                   std::vector<violation>& found)
{
    check_new_work(events, options, found);
    check_stops(events, found);
}

} // namespace briarfold::history::internal
