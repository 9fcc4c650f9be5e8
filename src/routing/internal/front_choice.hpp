/// The routers that front a backend server, best first.
#pragma once

#include "membership/imembership.hpp"
#include "ownership/ownership_types.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace briarfold::routing::internal {

using front_order = std::shared_ptr<const std::vector<membership::router_info>>;

/// Thread-safe. Keeps the order for each backend server until the live view changes, because hashing all
/// routers for each request would cost more than the request at 630 routers.
class front_choice
{
public:
    explicit front_choice(membership::imembership& membership) : membership_(membership) {}

    /// Rendezvous order for the backend server, routers of its zone first.
    front_order order_for(const ownership::backend_server& server);

private:
    membership::imembership& membership_;
    std::mutex mutex_;
    membership::live_routers live_;
    std::unordered_map<std::string, front_order> orders_;
};

} // namespace briarfold::routing::internal
