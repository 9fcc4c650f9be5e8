/// What one router tells about its copy of the table.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarfold::admin {

/// `is_reachable` false: the router has a row but did not answer, so nothing else is known about it.
struct router_report
{
    std::string instance_id;
    std::string zone;
    bool is_reachable = false;
    /// Table revision up to which contracts are in force.
    std::int64_t revision = 0;
    /// Time since its copy of the table was known to be current.
    std::int64_t unconfirmed_ms = 0;
    /// Applied versions of the customers asked for.
    std::map<std::string, std::int64_t> versions;
    /// Newer versions that it cannot read, by customer.
    std::map<std::string, std::int64_t> rejected;

    bool operator==(const router_report&) const = default;
};

nlohmann::json to_json(const router_report& value);
/// Throws core::error.
router_report parse_router_report(const nlohmann::json& value);

/// Whether version `version` of a contract, or a newer one, is in force on the routers.
struct in_force_report
{
    std::size_t routers = 0;
    std::size_t in_force = 0;
    /// Reachable routers with an older version.
    std::vector<std::string> behind;
    /// Routers that did not answer: nothing is known about them.
    std::vector<std::string> unknown;

    bool is_everywhere() const { return routers > 0 && in_force == routers; }
    bool operator==(const in_force_report&) const = default;
};

in_force_report check_in_force(const std::vector<router_report>& routers, const std::string& customer,
                               std::int64_t version);
nlohmann::json to_json(const in_force_report& value);

} // namespace briarfold::admin
