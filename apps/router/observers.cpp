#include "apps/router/observers.hpp"

#include <array>

namespace briarfold::router {

namespace {

trace::span to_span(const routing::span& hop)
{
    trace::span span;
    span.context = {hop.trace_id, hop.span_id, true};
    span.parent_span_id = hop.parent_span_id;
    span.request_id = hop.request_id;
    span.name = hop.name;
    span.start_ms = hop.start.ms;
    span.end_ms = hop.end.ms;
    span.is_error = hop.outcome != routing::outcome::answered;
    span.attributes = {{"briarfold.service", hop.service},
                       {"briarfold.backend_server", hop.backend_server},
                       {"briarfold.outcome", std::string(routing::to_string(hop.outcome))},
                       {"http.response.status_code", std::to_string(hop.status)}};
    return span;
}

using counter_reader = std::uint64_t ownership::protocol_counters::*;

struct named_counter
{
    const char* name;
    counter_reader field;
};

constexpr std::array<named_counter, 13> protocol_counter_names{{
    {"grants_sent", &ownership::protocol_counters::grants_sent},
    {"grants_accepted", &ownership::protocol_counters::grants_accepted},
    {"grants_refused", &ownership::protocol_counters::grants_refused},
    {"exchange_failures", &ownership::protocol_counters::exchange_failures},
    {"heartbeats_sent", &ownership::protocol_counters::heartbeats_sent},
    {"vouchers_received", &ownership::protocol_counters::vouchers_received},
    {"commits", &ownership::protocol_counters::commits},
    {"conflicts", &ownership::protocol_counters::conflicts},
    {"commit_retries", &ownership::protocol_counters::commit_retries},
    {"fences_asked", &ownership::protocol_counters::fences_requested},
    {"fences_promised", &ownership::protocol_counters::fences_promised},
    {"rows_pushed", &ownership::protocol_counters::rows_pushed},
    {"controlled_rows", &ownership::protocol_counters::controlled_rows},
}};

} // namespace

void record_spans(routing::routing_hooks& hooks, trace::ispan_sink& spans)
{
    hooks.on_span = [&spans](const routing::span& hop) { spans.record(to_span(hop)); };
}

void publish_counters(metrics::registry& registry, const routing::routing_counters& routing,
                      const ownership::ownership& ownership, const replica::ireplica& rows)
{
    for (const auto& [name, value] : routing::to_map(routing))
    {
        registry.computed_gauge(
            "briarfold_routing_events", "Routing events since the start.", {{"event", name}},
            [&routing, name = name] { return static_cast<double>(routing::to_map(routing).at(name)); });
    }
    for (const auto& item : protocol_counter_names)
    {
        registry.computed_gauge("briarfold_ownership_events", "Ownership protocol events since the start.",
                                {{"event", item.name}}, [&ownership, field = item.field] {
                                    return static_cast<double>(ownership.counters().*field);
                                });
    }
    registry.computed_gauge("briarfold_table_revision", "Table revision of this router's copy.", {},
                            [&rows] { return static_cast<double>(rows.current()->revision); });
    registry.computed_gauge(
        "briarfold_table_unconfirmed_ms", "Time since the copy of the table was known to be current.", {},
        [&rows] { return static_cast<double>((core::clock::now() - rows.confirmed_at()).ms); });
}

} // namespace briarfold::router
