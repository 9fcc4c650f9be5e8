// Control cost of one router: bytes by kind of message, CPU for each renewal and heartbeat, and memory of the
// replica and the map, each at several sizes. Times vary with the machine; bytes do not.
#include "bench/control/measure.hpp"
#include "core/key_hash.hpp"
#include "membership/heartbeat_packet.hpp"
#include "membership/membership.hpp"
#include "ownership/internal/backend_client.hpp"
#include "ownership/internal/machine.hpp"
#include "ownership/internal/map_builder.hpp"
#include "ownership/internal/slice_sets.hpp"
#include "ownership/timing.hpp"
#include "replica/peer_source.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

namespace {

using namespace briarfold;
using namespace briarfold::bench;
using core::duration;
using core::time_point;
namespace internal = briarfold::ownership::internal;

constexpr int router_counts[] = {12, 100, 630};
constexpr std::size_t slice_counts[] = {1000, 100000, 1000000};
constexpr int servers_per_router = 3;
constexpr std::size_t slices_per_server = 64;
constexpr double ms_per_s = 1000;
/// IPv4 and UDP headers of one packet.
constexpr double udp_header_bytes = 28;
/// IPv4 and TCP headers (with timestamps) of one segment; an exchange takes a segment and an acknowledgement
/// each way.
constexpr double tcp_exchange_bytes = 4 * 52;

membership::router_info make_router(int index)
{
    membership::router_info info;
    info.instance_id = "router-" + core::to_hex(core::text_hash(std::to_string(index)));
    info.zone = "zone-" + std::to_string(index % 10);
    info.ip = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250);
    info.http_port = 8000;
    info.peer_port = 8001;
    info.udp_port = 8002;
    info.admin_port = 8003;
    return info;
}

ownership::backend_server make_server(int index, int routers, std::vector<ownership::slice> slices)
{
    ownership::backend_server server;
    server.id = "backend-" + std::to_string(index);
    server.service = "fleetdesk";
    server.zone = "zone-" + std::to_string(index % 10);
    server.address = {"10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250), 9000};
    server.intent = ownership::intent::active;
    server.incarnation = "incarnation-" + core::to_hex(static_cast<std::uint64_t>(index));
    server.epoch = ownership::timing::epoch_step;
    const int controller = index / servers_per_router;
    server.controller = make_router(controller).instance_id;
    server.witnesses = {make_router((controller + 1) % routers).instance_id,
                        make_router((controller + 2) % routers).instance_id};
    server.slices = std::move(slices);
    server.slices_version = 1;
    return server;
}

std::vector<store::row> make_rows(int routers, std::size_t slices)
{
    std::vector<store::row> rows;
    const int servers = routers * servers_per_router;
    const auto parts = internal::split_space(slices);
    std::vector<std::vector<ownership::slice>> shares(static_cast<std::size_t>(servers));
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        shares[i % shares.size()].push_back(parts[i]);
    }
    std::int64_t revision = 0;
    for (int i = 0; i < routers; ++i)
    {
        const auto info = make_router(i);
        ++revision;
        rows.emplace_back(membership::row_key(info.instance_id), 1, revision, "op",
                          membership::to_json(info));
    }
    ++revision;
    rows.emplace_back("service/fleetdesk", 1, revision, "op", nlohmann::json{{"name", "fleetdesk"}});
    for (int i = 0; i < servers; ++i)
    {
        const auto server = make_server(i, routers, shares[static_cast<std::size_t>(i)]);
        ++revision;
        rows.emplace_back(internal::row_key(server.id), 1, revision, "op", ownership::to_json(server));
    }
    return rows;
}

store::row_batch make_batch(const std::vector<store::row>& rows)
{
    store::row_batch batch;
    batch.rows = rows;
    batch.revision = rows.back().revision;
    return batch;
}

std::unique_ptr<internal::machine> make_machine(int routers, const std::vector<store::row>& rows,
                                                time_point now)
{
    auto core = std::make_unique<internal::machine>(make_router(0),
                                                    [] { return std::string("op-0000000000000001"); });
    std::vector<membership::router_info> live;
    live.reserve(routers);
    for (int i = 0; i < routers; ++i)
    {
        live.push_back(make_router(i));
    }
    core->on_live(live, now);
    std::ranges::for_each(rows, [&](const store::row& row) { core->on_row(row, now); });
    return core;
}

membership::heartbeat_packet make_heartbeat(membership::packet_kind kind)
{
    membership::heartbeat_packet packet;
    packet.kind = kind;
    packet.from = make_router(0).instance_id;
    packet.seq = 1000000;
    packet.sent = {1000000000};
    packet.revision = 1000000;
    return packet;
}

internal::grant_request make_renewal()
{
    internal::grant_request request;
    request.server = "backend-0";
    request.epoch = ownership::timing::epoch_step;
    request.nonce = "nonce-0123456789abcdef";
    request.slices_version = 1;
    return request;
}

const std::string renewal_answer =
    R"({"accepted":true,"draining":0,"epoch":256,"incarnation":"incarnation-0123456789abcdef",)"
    R"("next_nonce":"nonce-0123456789abcdef","slices_version":1})";

/// Head of a request or an answer as the HTTP module writes it.
constexpr double http_head_bytes = 115;

void print_bytes()
{
    std::printf("-- bytes a second and router, steady state (deterministic)\n");
    const double beats = ms_per_s / static_cast<double>(ownership::timing::heartbeat_interval.ms) * 2;
    const auto heartbeat =
        static_cast<double>(membership::encode(make_heartbeat(membership::packet_kind::heartbeat)).size());
    const auto voucher =
        static_cast<double>(membership::encode(make_heartbeat(membership::packet_kind::voucher)).size());
    // On average a router witnesses as many routers as witness it.
    const double sent = beats * (heartbeat + voucher + 2 * udp_header_bytes);
    print_value("heartbeat packet", heartbeat, "bytes");
    print_value("voucher packet", voucher, "bytes");
    print_value("heartbeats and vouchers sent", sent, "bytes/s");

    const double renewals = ms_per_s / static_cast<double>(ownership::timing::renewal_interval.ms);
    const auto request =
        static_cast<double>(internal::grant_body(make_renewal(), make_router(0).instance_id).dump().size());
    const double exchange = request + static_cast<double>(renewal_answer.size()) + 2 * http_head_bytes;
    print_value("renewal, request and answer with heads", exchange, "bytes");
    std::vector<point> renewal_points;
    for (const int servers : {1, servers_per_router, 10})
    {
        renewal_points.push_back(
            {static_cast<double>(servers), renewals * servers * (exchange + tcp_exchange_bytes)});
    }
    print_slope("renewals, both directions", "bytes/s", "backend server", renewal_points);

    const auto rows = make_rows(router_counts[0], std::size_t{12} * servers_per_router * slices_per_server);
    const auto row = static_cast<double>(replica::to_json(rows.back()).dump().size());
    print_value("row of a backend server with 64 slices", row, "bytes");
    const nlohmann::json poll = {{"since", 1000000}, {"wait_ms", 1000}};
    const nlohmann::json empty = {
        {"revision", 1000000}, {"age_ms", 100}, {"truncated", false}, {"rows", nlohmann::json::array()}};
    print_value("idle feed of a follower",
                static_cast<double>(poll.dump().size() + empty.dump().size()) + tcp_exchange_bytes,
                "bytes/s");
    constexpr double changes_per_day = 1100;
    constexpr double seconds_per_day = 86400;
    print_value("feed of 1100 changes a day, each one row", changes_per_day * row / seconds_per_day,
                "bytes/s");
}

/// Answers what a tick asked for, as in steady state.
void answer(internal::machine& core, time_point now)
{
    for (const auto& item : core.take_actions())
    {
        if (const auto* heartbeat = std::get_if<internal::heartbeat_request>(&item))
        {
            core.on_voucher(heartbeat->to, heartbeat->seq, {});
            core.on_heartbeat(make_router(1).instance_id, now);
        }
        if (const auto* grant = std::get_if<internal::grant_request>(&item))
        {
            auto reply = internal::parse_reply(renewal_answer);
            reply.incarnation = core.rows().at(grant->server).server.incarnation;
            reply.is_accepted = !grant->nonce.empty();
            reply.slices_version = grant->nonce.empty() ? 2 : grant->slices_version;
            core.on_reply(grant->server, grant->exchange, reply, now);
        }
    }
}

void print_cpu()
{
    std::printf("-- CPU (times, machine dependent)\n");
    const auto packet = make_heartbeat(membership::packet_kind::heartbeat);
    std::size_t total = 0;
    const auto codec =
        cpu_us([&] { total += membership::decode_packet(membership::encode(packet))->from.size(); });
    print_value("encode and decode a heartbeat", codec, "us");
    const auto renewal = cpu_us([&] {
        total += internal::grant_body(make_renewal(), "router-0123456789abcdef").dump().size();
        total += internal::parse_reply(renewal_answer).next_nonce.size();
    });
    print_value("bodies of a renewal", renewal, "us");

    std::vector<point> ticks;
    std::vector<point> beats;
    std::vector<point> changes;
    for (const int routers : router_counts)
    {
        const auto rows =
            make_rows(routers, static_cast<std::size_t>(routers) * servers_per_router * slices_per_server);
        time_point now{1000000};
        const auto core = make_machine(routers, rows, now);
        ticks.push_back({static_cast<double>(routers), cpu_us([&] {
                             now = now + duration{10};
                             core->tick(now);
                             answer(*core, now);
                         })});
        beats.push_back({static_cast<double>(routers), cpu_us([&] {
                             total += core->on_heartbeat(make_router(1).instance_id, now).size();
                         })});
        replica::replica copy;
        copy.apply_all(make_batch(rows));
        auto changed = rows.back();
        changes.push_back({static_cast<double>(routers), cpu_us([&] {
                               ++changed.revision;
                               ++changed.version;
                               store::row_batch batch;
                               batch.revision = changed.revision;
                               batch.rows.push_back(changed);
                               copy.apply(batch);
                           })});
    }
    print_slope("tick with renewals and heartbeats, 100 a second", "us", "router", ticks);
    print_slope("heartbeat in the state machine", "us", "router", beats);
    print_slope("one changed row in the replica", "us", "router", changes);
    if (total == 0)
    {
        std::printf("nothing was measured\n");
    }
}

void print_memory()
{
    std::printf("-- memory of replica and protocol (heap, 3 backend servers a router, 64 slices each)\n");
    std::vector<point> copies;
    std::vector<point> cores;
    for (const int routers : router_counts)
    {
        const auto rows =
            make_rows(routers, static_cast<std::size_t>(routers) * servers_per_router * slices_per_server);
        const auto before = heap_bytes();
        replica::replica copy;
        copy.apply_all(make_batch(rows));
        const auto between = heap_bytes();
        const auto core = make_machine(routers, rows, {1000000});
        copies.push_back({static_cast<double>(routers), static_cast<double>(between - before)});
        cores.push_back({static_cast<double>(routers), static_cast<double>(heap_bytes() - between)});
    }
    print_slope("replica", "bytes", "router", copies);
    print_slope("rows of the protocol", "bytes", "router", cores);
}

void print_map()
{
    std::printf("-- map by number of slices (100 routers, 300 backend servers)\n");
    constexpr int routers = 100;
    std::vector<point> memory;
    std::vector<point> rebuilds;
    std::vector<point> lookups;
    std::uint64_t hash = 1;
    std::size_t found = 0;
    for (const auto count : slice_counts)
    {
        const auto rows = make_rows(routers, count);
        const auto before = heap_bytes();
        internal::map_builder builder;
        builder.apply(rows, rows.back().revision);
        memory.push_back({static_cast<double>(count), static_cast<double>(heap_bytes() - before)});
        const auto map = builder.current();
        lookups.push_back({static_cast<double>(count), cpu_us([&] {
                               hash = core::text_hash(std::to_string(hash));
                               found += map->owner("fleetdesk", hash) ? 1 : 0;
                           })});
        // A move changes the slices of a row.
        auto changed = rows.back();
        auto slices = changed.value["slices"];
        auto shorter = slices;
        shorter.erase(shorter.begin());
        bool is_short = false;
        rebuilds.push_back({static_cast<double>(count), cpu_us([&] {
                                is_short = !is_short;
                                ++changed.revision;
                                changed.value["slices"] = is_short ? shorter : slices;
                                builder.apply({changed}, changed.revision);
                            })});
    }
    print_slope("map", "bytes", "slice", memory);
    print_slope("lookup, with hashing of a number", "us", "slice", lookups);
    print_slope("map after changed slices of one row", "us", "slice", rebuilds);
    if (found == 0)
    {
        std::printf("no lookup found an owner\n");
    }
}

} // namespace

int main()
{
    print_bytes();
    print_memory();
    print_cpu();
    print_map();
    return 0;
}
