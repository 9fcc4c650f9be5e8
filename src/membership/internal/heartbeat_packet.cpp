#include "membership/heartbeat_packet.hpp"

#include <msgpack.hpp>

#include <sstream>
#include <tuple>

namespace briarfold::membership {

namespace {

using layout = std::tuple<int, std::string, std::int64_t, std::int64_t, std::int64_t,
                          std::map<std::string, std::int64_t>, std::string>;

} // namespace

std::string encode(const heartbeat_packet& packet)
{
    std::stringstream buffer;
    msgpack::pack(buffer, layout(static_cast<int>(packet.kind), packet.from, packet.seq, packet.sent.ms,
                                 packet.revision, packet.fenced, packet.instance));
    return buffer.str();
}

std::optional<heartbeat_packet> decode_packet(std::string_view bytes)
{
    try
    {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto fields = handle.get().as<layout>();
        const auto kind = std::get<0>(fields);
        if (kind < static_cast<int>(packet_kind::heartbeat) || kind > static_cast<int>(packet_kind::suspect))
        {
            return std::nullopt;
        }
        heartbeat_packet packet;
        packet.kind = static_cast<packet_kind>(kind);
        packet.from = std::get<1>(fields);
        packet.seq = std::get<2>(fields);
        packet.sent = {std::get<3>(fields)};
        packet.revision = std::get<4>(fields);
        packet.fenced = std::get<5>(fields);
        packet.instance = std::get<6>(fields);
        return packet;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace briarfold::membership
