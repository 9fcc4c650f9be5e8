/// Settings of one router process, from a TOML file.
#pragma once

#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace briarfold::settings {

/// Port 0 picks a free port. An empty file name turns that file off.
struct router_settings
{
    /// The instance id is this prefix and 16 random hex digits.
    std::string name_prefix = "router";
    std::string zone;
    /// The IP address on which all ports listen and under which other routers reach this one.
    std::string ip;
    unsigned short http_port = 8080;
    unsigned short peer_port = 8081;
    unsigned short udp_port = 8081;
    unsigned short admin_port = 8082;
    /// Table service and object store.
    http::endpoint platform;
    /// Peer endpoints that a starting router asks when the table service is down.
    std::vector<http::endpoint> seeds;
    /// Shared by all routers of a deployment.
    std::string router_token;
    /// Bearer token of the admin API.
    std::string admin_token;
    /// 0 means one for each processor.
    int worker_threads = 0;
    std::string history_file;
    std::string trace_file;
    /// "text" or "json".
    std::string log_format = "text";
    /// "debug", "info", "warn" or "error".
    std::string log_level = "info";

    bool operator==(const router_settings&) const = default;
};

/// Throws document::invalid_document with every error in the text; `name` appears in it.
router_settings parse_settings(const std::string& toml_text, const std::string& name);
/// Throws core::error when the file cannot be read, document::invalid_document when it is refused.
router_settings load_settings(const std::string& path);

/// All effective values, defaults included, with tokens masked.
nlohmann::json to_json(const router_settings& value);
/// The same as TOML lines.
std::string to_text(const router_settings& value);

} // namespace briarfold::settings
