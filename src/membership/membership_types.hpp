/// What routers know of each other.
#pragma once

#include <string>
#include <vector>

namespace briarfold::membership {

/// One router process, as in its table row `router/<instance id>`.
struct router_info
{
    std::string instance_id;
    std::string zone;
    std::string ip;
    unsigned short http_port = 0;
    unsigned short peer_port = 0;
    unsigned short udp_port = 0;
    unsigned short admin_port = 0;

    auto operator<=>(const router_info&) const = default;
};

} // namespace briarfold::membership
