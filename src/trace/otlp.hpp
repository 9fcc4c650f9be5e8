/// Spans as OTLP/JSON (opentelemetry.io, trace data of an ExportTraceServiceRequest).
#pragma once

#include "trace/trace_types.hpp"

#include <nlohmann/json.hpp>

namespace briarfold::trace {

nlohmann::json to_json(const span& value);
/// Throws core::error.
span parse_span(const nlohmann::json& value);
/// One line without a line feed: the spans of one process.
std::string otlp_line(const std::string& instance_id, const std::vector<span>& spans);

} // namespace briarfold::trace
