/// Reports that the leader receives from routers, and rows that it writes to the store.
#pragma once

#include "directory/directory_types.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace briarfold::leader {

/// Keys that a backend server no longer holds, as reported by its front.
struct freed_report
{
    std::string backend_server;
    keyspace::key_range range;
    /// Token that keeps the keys warm at their next holder; may be empty.
    std::string handover;

    bool operator==(const freed_report&) const = default;
};

struct server_process
{
    std::string backend_server;
    std::int64_t start_time_ms = 0;

    auto operator<=>(const server_process&) const = default;
};

/// Load offered for one key since the last report, in milliseconds of work on an average backend server.
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
    /// Term and revision of the directory that the router had applied when it made the report. Keys withdrawn
    /// later are not freed by it.
    directory::generation term;
    std::int64_t revision = 0;
    std::vector<freed_report> freed;
    /// Backend servers that do not answer the front's calls.
    std::vector<std::string> unreachable;
    /// Backend servers whose front has few tokens left for its grants.
    std::vector<std::string> short_of_tokens;
    /// Processes that have ended and hold no keys.
    std::vector<server_process> ended;
    /// Processes that said in an answer that they leave.
    std::vector<server_process> leaving;
    /// Whether keys are to be granted over a connection that was opened since the leader last proved that it
    /// leads.
    bool needs_proof = false;
    /// Load of keys by service.
    std::map<std::string, std::vector<key_work>> work;
    /// Bytes of the answers of backend servers since the last report, by service.
    std::map<std::string, std::int64_t> answer_bytes;
    /// Time for which backend servers remain cold, in milliseconds by id. Health checks tell the front before
    /// the registration tells the leader.
    std::map<std::string, std::int64_t> cold;
    /// Mean work of a request on an average backend server, in milliseconds, by service.
    std::map<std::string, double> mean_work_ms;
    /// Processing time of a backend server relative to the average, by id.
    std::map<std::string, double> slowness;

    bool operator==(const router_report&) const = default;
};

/// One row of the stored part of the directory. The backend servers of a service are spread over a fixed
/// number of rows, so that no row exceeds the size limit of the store and a move rewrites little.
struct assignment_row
{
    /// Service and number of the row, such as `service/7`.
    std::string name;
    nlohmann::json document;

    bool operator==(const assignment_row&) const = default;
};

nlohmann::json to_json(const router_report& value);
router_report report_from_json(const nlohmann::json& value);

} // namespace briarfold::leader
