#include "trace/otlp.hpp"

#include "core/error.hpp"

#include <algorithm>

namespace briarfold::trace {

namespace {

constexpr int kind_server = 2;
constexpr int kind_client = 3;
constexpr int status_error = 2;
constexpr const char* request_attribute = "briarfold.request_id";
/// 64-bit integers are decimal strings in OTLP/JSON.
constexpr const char* ns_per_ms_digits = "000000";

std::string to_ns(std::int64_t ms)
{
    return ms == 0 ? "0" : std::to_string(ms) + ns_per_ms_digits;
}

std::int64_t from_ns(const std::string& text)
{
    constexpr std::int64_t ns_per_ms = 1000000;
    return std::stoll(text) / ns_per_ms;
}

nlohmann::json make_attribute(const std::string& name, const std::string& value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

} // namespace

nlohmann::json to_json(const span& value)
{
    auto attributes = nlohmann::json::array();
    attributes.push_back(make_attribute(request_attribute, value.request_id));
    std::ranges::transform(value.attributes, std::back_inserter(attributes),
                           [](const auto& item) { return make_attribute(item.first, item.second); });
    nlohmann::json result{{"traceId", value.context.trace_id},
                          {"spanId", value.context.span_id},
                          {"name", value.name},
                          {"kind", value.is_client ? kind_client : kind_server},
                          {"startTimeUnixNano", to_ns(value.start_ms)},
                          {"endTimeUnixNano", to_ns(value.end_ms)},
                          {"attributes", std::move(attributes)},
                          {"status", nlohmann::json::object()}};
    if (!value.parent_span_id.empty())
    {
        result["parentSpanId"] = value.parent_span_id;
    }
    if (value.is_error)
    {
        result["status"]["code"] = status_error;
    }
    return result;
}

span parse_span(const nlohmann::json& value)
{
    try
    {
        span result;
        result.context = {value.at("traceId").get<std::string>(), value.at("spanId").get<std::string>(),
                          true};
        result.parent_span_id = value.value("parentSpanId", "");
        result.name = value.at("name").get<std::string>();
        result.is_client = value.at("kind").get<int>() == kind_client;
        result.start_ms = from_ns(value.at("startTimeUnixNano").get<std::string>());
        result.end_ms = from_ns(value.at("endTimeUnixNano").get<std::string>());
        result.is_error = value.at("status").value("code", 0) == status_error;
        for (const auto& item : value.at("attributes"))
        {
            auto name = item.at("key").get<std::string>();
            auto text = item.at("value").at("stringValue").get<std::string>();
            if (name == request_attribute)
            {
                result.request_id = std::move(text);
                continue;
            }
            result.attributes.emplace_back(std::move(name), std::move(text));
        }
        return result;
    }
    catch (const std::exception& failure)
    {
        throw core::error("parse span", "", failure.what());
    }
}

std::string otlp_line(const std::string& instance_id, const std::vector<span>& spans)
{
    auto list = nlohmann::json::array();
    std::ranges::transform(spans, std::back_inserter(list), to_json);
    const nlohmann::json scope_spans{{"scope", {{"name", "briarfold"}}}, {"spans", std::move(list)}};
    const nlohmann::json attributes =
        nlohmann::json::array({make_attribute("service.name", "briarfold-router"),
                               make_attribute("service.instance.id", instance_id)});
    const nlohmann::json resource{{"resource", {{"attributes", attributes}}},
                                  {"scopeSpans", nlohmann::json::array({scope_spans})}};
    const nlohmann::json line{{"resourceSpans", nlohmann::json::array({resource})}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace briarfold::trace
