/// Finds the route of a request and the service that answers it.
#pragma once

#include "routes/route_types.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace briarfold::routes {

/// Holds the newest configuration. Versions never go back. Not thread-safe.
class route_table
{
public:
    /// Returns false, and changes nothing, unless `next` is newer than the configuration in force.
    bool apply(routing_config next);

    const routing_config& config() const { return config_; }
    bool is_known() const { return config_.version > 0; }
    const service* find_service(std::string_view name) const;
    /// Among the routes of `host`, the one with the longest prefix that begins `path`.
    const route* match(std::string_view host, std::string_view path) const;
    /// The next service of a split by smooth weighted round robin, so that every stretch of requests has the
    /// configured shares.
    const std::string& choose_service(const route& matched);

private:
    routing_config config_;
    /// Positions of routes by host and prefix.
    std::unordered_map<std::string, std::size_t> positions_;
    std::map<std::string, std::vector<int>, std::less<>> split_credit_;
};

/// Removes the port of a Host header and lowers its case.
std::string normalized_host(std::string_view host);

} // namespace briarfold::routes
