/// Selection of the front for a backend server among the live routers.
#pragma once

#include "membership/imembership.hpp"
#include "ownership/ownership_types.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace briarfold::routing::internal {

using front_order = std::shared_ptr<const std::vector<membership::router_info>>;

/// Caches the order of routers for each backend server until the set of live routers changes: with 630
/// routers, hashing all of them for each request would cost more than the request itself. Thread-safe.
class front_choice
{
public:
    explicit front_choice(membership::imembership& membership) : membership_(membership) {}

    /// Returns the routers in rendezvous order for the backend server, those of its zone first. The first one
    /// is the preferred front.
    front_order order_for(const ownership::backend_server& server);

private:
    membership::imembership& membership_;
    std::mutex mutex_;
    membership::live_routers live_;
    std::unordered_map<std::string, front_order> orders_;
};

} // namespace briarfold::routing::internal
