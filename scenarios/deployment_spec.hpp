/// What a scenario starts: reduced forms of the deployments of docs/design.md section 1.3.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::scenarios {

struct service_spec
{
    std::string name;
    /// Ids of the backend servers are this prefix and a number from 1.
    std::string id_prefix;
    int backend_servers = 0;
    int slots = 0;
    int connections = 0;
    core::duration latency;
    bool checks_grants = true;
    /// Keys of the load, and requests per second on each.
    int keys = 0;
    int requests_per_s = 0;
};

struct deployment_spec
{
    std::string name;
    std::string customer;
    std::vector<std::string> zones;
    std::vector<service_spec> services;
    int routers = 0;
    /// Traffic between routers, and from each router to the platform, passes through relays.
    bool relays_routers = false;
    /// Traffic to backend servers passes through relays.
    bool relays_backends = false;
};

/// Throws core::error for an unknown name.
deployment_spec make_deployment(const std::string& name);

} // namespace briarfold::scenarios
