/// Addresses and identity of a router.
#pragma once

#include <string>
#include <vector>

namespace briarfold::membership {

/// Router process, as stored in the table row `router/<instance id>`.
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
