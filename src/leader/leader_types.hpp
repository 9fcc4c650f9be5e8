/// What the leader receives from other routers and writes to the store.
#pragma once

#include "directory/directory_types.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace briarfold::leader {

/// Keys that the front of a backend server took away from it.
struct freed_report
{
    std::string backend_server;
    keyspace::key_range range;
    /// Keeps the keys warm at their next holder; may be empty.
    std::string handover;

    bool operator==(const freed_report&) const = default;
};

/// Work offered for one key since the last report, in milliseconds on an average backend server.
struct key_work
{
    std::uint32_t key = 0;
    double work_ms = 0;

    bool operator==(const key_work&) const = default;
};

/// State of one router, sent to the leader several times a second.
struct router_report
{
    directory::router router;
    std::vector<freed_report> freed;
    /// Backend servers that do not answer the front's calls.
    std::vector<std::string> unreachable;
    /// By service.
    std::map<std::string, std::vector<key_work>> work;
    /// Time that a backend server takes relative to the average, by id.
    std::map<std::string, double> slowness;

    bool operator==(const router_report&) const = default;
};

/// The durable part of the directory. The backend servers of a service are spread over a fixed number of
/// rows, so that no row grows beyond what the store takes and a move rewrites little.
struct assignment_row
{
    /// Service and number of the part, as `service/7`.
    std::string name;
    nlohmann::json document;

    bool operator==(const assignment_row&) const = default;
};

nlohmann::json to_json(const router_report& value);
router_report report_from_json(const nlohmann::json& value);

} // namespace briarfold::leader
