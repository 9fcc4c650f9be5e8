#include "settings/edge_settings.hpp"

#include "document/field_reader.hpp"
#include "settings/internal/toml_document.hpp"

namespace briarfold::settings {

namespace {

constexpr std::size_t longest_name = 200;
constexpr std::int64_t ms_per_s = 1000;

http::endpoint read_endpoint(document::field_reader& reader, const std::string& name)
{
    const auto text = reader.text(name, internal::endpoint_rule());
    return text.empty() ? http::endpoint() : http::parse_endpoint(text);
}

void read_bounds(document::field_reader& reader, const nlohmann::json& bounds, const bound_names& names,
                 edge_settings& result)
{
    const auto number = [&](const std::string& name, double fallback) {
        if (!bounds.contains(name))
        {
            return fallback;
        }
        const auto& value = bounds.at(name);
        if (!value.is_number() || value.get<double>() < 0)
        {
            reader.add_error("bounds." + name, value.dump(), "a number from 0");
            return fallback;
        }
        return value.get<double>();
    };
    result.retry_budget_ratio = number(names.retry_budget_ratio, result.retry_budget_ratio);
    result.retry_budget_slack = number(names.retry_budget_slack, result.retry_budget_slack);
    const auto window_s =
        number(names.retry_budget_window_s, static_cast<double>(result.retry_budget_window.ms) / ms_per_s);
    result.retry_budget_window.ms = static_cast<std::int64_t>(window_s * ms_per_s);
    const auto grace_s = number(names.grace_s, static_cast<double>(result.grace.ms) / ms_per_s);
    result.grace.ms = static_cast<std::int64_t>(grace_s * ms_per_s);
    result.max_grant_duration.ms = static_cast<std::int64_t>(
        number(names.max_grant_duration_ms, static_cast<double>(result.max_grant_duration.ms)));
    result.max_config_delay.ms = static_cast<std::int64_t>(
        number(names.max_config_delay_ms, static_cast<double>(result.max_config_delay.ms)));
    result.cold_rate_over = number(names.cold_rate_over, result.cold_rate_over);
    result.cold_rate_slack = number(names.cold_rate_slack, result.cold_rate_slack);
    result.evacuation_time.ms = static_cast<std::int64_t>(
        number(names.evacuation_time_ms, static_cast<double>(result.evacuation_time.ms)));
}

} // namespace

edge_settings parse_edge_settings(const std::string& toml_text, const std::string& name,
                                  const bound_names& names)
{
    const auto object = internal::parse_toml(toml_text, name);
    document::field_reader reader(object);
    edge_settings result;
    result.name = reader.text("name", document::name_rule(longest_name));
    result.zone = reader.text("zone", document::name_rule(longest_name));
    result.frontend = read_endpoint(reader, "frontend");
    result.readiness = read_endpoint(reader, "readiness");
    result.peer = read_endpoint(reader, "peer");
    result.advertised_peer =
        object.contains("advertised_peer") ? read_endpoint(reader, "advertised_peer") : result.peer;
    result.metrics = read_endpoint(reader, "metrics");
    result.store = read_endpoint(reader, "store");
    constexpr double least_cpu = 0.001;
    constexpr double most_cpu = 1024;
    result.cpu = reader.number("cpu", least_cpu, most_cpu, 1);
    constexpr double most_bandwidth_mbps = 1e6;
    result.bandwidth_mbps = reader.number("bandwidth_mbps", 0, most_bandwidth_mbps, result.bandwidth_mbps);
    constexpr double least_memory_mb = 16;
    constexpr double most_memory_mb = 1e6;
    result.memory_mb = reader.number("memory_mb", least_memory_mb, most_memory_mb, result.memory_mb);
    constexpr std::int64_t most_fds = 10000000;
    result.max_fds = static_cast<int>(reader.integer("max_fds", 0, most_fds, result.max_fds));
    reader.allow("bounds");
    reader.allow("start");
    if (object.contains("start") && object.at("start").is_object())
    {
        document::field_reader start(object.at("start"));
        result.is_first_start = start.boolean("is_first", true);
        start.finish(name + ", table start");
    }
    if (object.contains("bounds") && object.at("bounds").is_object())
    {
        read_bounds(reader, object.at("bounds"), names, result);
    }
    reader.finish(name);
    return result;
}

edge_settings load_edge_settings(const std::string& path, const bound_names& names)
{
    return parse_edge_settings(internal::read_file(path), path, names);
}

nlohmann::json to_json(const edge_settings& value)
{
    return {{"name", value.name},
            {"zone", value.zone},
            {"frontend", http::to_string(value.frontend)},
            {"readiness", http::to_string(value.readiness)},
            {"peer", http::to_string(value.peer)},
            {"advertised_peer", http::to_string(value.advertised_peer)},
            {"metrics", http::to_string(value.metrics)},
            {"store", http::to_string(value.store)},
            {"cpu", value.cpu},
            {"bandwidth_mbps", value.bandwidth_mbps},
            {"memory_mb", value.memory_mb},
            {"max_fds", value.max_fds},
            {"start", {{"is_first", value.is_first_start}}},
            {"bounds",
             {{"repeat_ratio", value.retry_budget_ratio},
              {"repeat_window_s", static_cast<double>(value.retry_budget_window.ms) / ms_per_s},
              {"repeat_slack", value.retry_budget_slack},
              {"grace_s", static_cast<double>(value.grace.ms) / ms_per_s},
              {"longest_hold_ms", value.max_grant_duration.ms},
              {"config_delay_ms", value.max_config_delay.ms},
              {"cold_rate_over", value.cold_rate_over},
              {"cold_rate_slack", value.cold_rate_slack},
              {"evacuation_time_ms", value.evacuation_time.ms}}}};
}

} // namespace briarfold::settings
