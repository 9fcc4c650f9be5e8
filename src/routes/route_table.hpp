/// Finds the route of a request and the service that answers it.
#pragma once

#include "routes/route_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace briarfold::routes {

/// Newest routing configuration, indexed by host and prefix. Its version never decreases. Not thread-safe.
class route_table
{
public:
    /// `phase` is where in its turns each split starts. It has to differ between routers: with the same one,
    /// the first requests of all of them would go to the same service, and each gets few.
    explicit route_table(std::uint32_t phase = 0) : phase_(phase) {}

    /// Replaces the configuration in force and returns true if `next` is newer; otherwise returns false and
    /// changes nothing.
    bool apply(routing_config next);

    const routing_config& config() const { return config_; }
    bool is_known() const { return config_.version > 0; }
    const service* find_service(std::string_view name) const;
    /// Returns the route of `host` with the longest prefix of `path`; null if no route matches.
    const route* match(std::string_view host, std::string_view path) const;
    /// Chooses a service of the route by smooth weighted round robin, so that every run of successive
    /// requests is split in the configured shares.
    const std::string& choose_service(const route& matched);

private:
    static std::size_t take_turn(const route& matched, std::vector<int>& weights);

    std::uint32_t phase_;
    routing_config config_;
    /// Positions in `config_.routes` by host and prefix.
    std::unordered_map<std::string, std::size_t> positions_;
    std::map<std::string, std::vector<int>, std::less<>> split_weights_;
};

/// Returns the value of a Host header in lower case and without its port.
std::string normalized_host(std::string_view host);

} // namespace briarfold::routes
