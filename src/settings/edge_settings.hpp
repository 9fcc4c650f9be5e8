/// Settings of one edge router, from a TOML file.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace briarfold::settings {

struct edge_settings
{
    /// Unique among the routers; the same after a restart.
    std::string name;
    std::string zone;
    /// Where callers connect.
    http::endpoint frontend;
    /// Where readiness is asked for.
    http::endpoint readiness;
    /// Where other routers connect.
    http::endpoint peer;
    /// Where other routers reach this one, if that differs from `peer`, for example behind a proxy.
    http::endpoint advertised_peer;
    /// Where metrics are served.
    http::endpoint metrics;
    http::endpoint store;
    /// Share of a processor core, by which fronts are distributed.
    double cpu = 1;
    /// Bandwidth of the network link in Mbit/s; 0 when it is not known.
    double bandwidth_mbps = 0;
    /// Memory that the process may use, in MB.
    double memory_mb = 256;
    /// Descriptors that the process may open; 0 when only the limit of the operating system is known.
    int max_fds = 0;
    /// Arrivals beyond the first of each request: share of the requests, window, and number on top.
    double retry_budget_ratio = 0.2;
    core::duration retry_budget_window{10000};
    double retry_budget_slack = 0;
    /// Time from the stop signal to the forced end.
    core::duration grace{6000};
    /// Whether the whole system starts for the first time, so that the store holds nothing of it yet.
    bool is_first_start = true;
    /// Longest duration of a grant that backend servers accept.
    core::duration max_grant_duration{10000};
    /// Time in which a change of the configuration has to be in force.
    core::duration max_config_delay{2000};
    /// In no span of one second may a cold backend server get more requests than its rate times
    /// `cold_rate_over`, plus `cold_rate_slack`.
    double cold_rate_over = 1.5;
    double cold_rate_slack = 8;
    /// Time from the decision to evacuate a zone after which its backend servers must get no requests.
    core::duration evacuation_time{5000};

    bool operator==(const edge_settings&) const = default;
};

/// Names of the values in the table `bounds`, which a deployment may choose. Others in it are ignored.
struct bound_names
{
    std::string retry_budget_ratio = "repeat_ratio";
    std::string retry_budget_window_s = "repeat_window_s";
    std::string retry_budget_slack = "repeat_slack";
    std::string grace_s = "grace_s";
    std::string max_grant_duration_ms = "longest_hold_ms";
    std::string max_config_delay_ms = "config_delay_ms";
    std::string cold_rate_over = "cold_rate_over";
    std::string cold_rate_slack = "cold_rate_slack";
    std::string evacuation_time_ms = "evacuation_time_ms";
};

/// Throws document::invalid_document with every error in the text; `name` appears in it.
edge_settings parse_edge_settings(const std::string& toml_text, const std::string& name,
                                  const bound_names& names = {});
/// Throws core::error when the file cannot be read.
edge_settings load_edge_settings(const std::string& path, const bound_names& names = {});
nlohmann::json to_json(const edge_settings& value);

} // namespace briarfold::settings
