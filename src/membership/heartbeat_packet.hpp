/// UDP packets between routers. Layout: docs/design.md section 5.4.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarfold::membership {

enum class packet_kind : std::uint8_t
{
    heartbeat = 1,
    voucher = 2,
    suspect = 3
};

struct heartbeat_packet
{
    packet_kind kind = packet_kind::heartbeat;
    /// Instance id of the sender.
    std::string from;
    /// Sequence number; a voucher carries the one of the heartbeat that it answers. 0 marks a liveness probe.
    std::int64_t seq = 0;
    core::time_point sent;
    /// Table revision up to which the sender's replica is complete.
    std::int64_t revision = 0;
    /// In a voucher, the rows that it does not cover, each with the highest fenced epoch.
    std::map<std::string, std::int64_t> fenced;
    /// In a suspect packet, the instance id of the router that stopped answering.
    std::string instance;

    bool operator==(const heartbeat_packet&) const = default;
};

std::string encode(const heartbeat_packet& packet);
/// Returns the packet, or nothing when the bytes are not a valid packet.
std::optional<heartbeat_packet> decode_packet(std::string_view bytes);

} // namespace briarfold::membership
