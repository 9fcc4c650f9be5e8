#include "membership/heartbeat_service.hpp"
#include "membership/relay.hpp"
#include "replica/replica.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace briarfold;
using namespace briarfold::membership;
namespace asio = core::asio;

namespace {

router_info make_router(const std::string& id, const std::string& zone, unsigned short udp_port = 0)
{
    router_info info;
    info.instance_id = id;
    info.zone = zone;
    info.ip = "127.0.0.1";
    info.udp_port = udp_port;
    return info;
}

void add_rows(replica::replica& rows, const std::vector<router_info>& routers)
{
    store::row_batch batch;
    for (const auto& router : routers)
    {
        ++batch.revision;
        batch.rows.emplace_back(row_key(router.instance_id), 1, batch.revision, "", to_json(router));
    }
    rows.apply(batch);
}

bool contains(const live_routers& live, const std::string& id)
{
    return std::ranges::find(*live, id, &router_info::instance_id) != live->end();
}

/// Store whose calls all fail.
class unavailable_store : public store::itable_store
{
public:
    asio::awaitable<store::commit_result> commit(std::string, std::vector<store::row_write>,
                                                 core::duration) override
    {
        throw store::store_error("commit", "", "no store");
    }
    asio::awaitable<std::optional<store::row>> read(std::string, core::duration) override
    {
        throw store::store_error("read", "", "no store");
    }
    asio::awaitable<store::row_batch> read_prefix(std::string, core::duration) override
    {
        throw store::store_error("read", "", "no store");
    }
    asio::awaitable<store::row_batch> changes(std::int64_t, core::duration) override
    {
        throw store::store_error("changes", "", "no store");
    }
};

/// Router with a UDP socket and a thread of its own.
struct node
{
    node(const std::string& id, const std::string& zone)
        : channel(context.get_executor(), {"127.0.0.1", 0}),
          members(make_router(id, zone, channel.port()), rows),
          service(context.get_executor(), channel, members, rows, store)
    {}
    ~node() { halt(); }

    void start()
    {
        service.start();
        asio::co_spawn(context, service.run(), asio::detached);
        worker = std::jthread([this] { context.run(); });
    }
    void halt()
    {
        context.stop();
        worker = {};
    }

    asio::io_context context;
    replica::replica rows;
    unavailable_store store;
    udp_channel channel;
    briarfold::membership::membership members;
    heartbeat_service service;
    std::jthread worker;
};

bool wait_until(const std::function<bool()>& condition)
{
    constexpr core::duration limit{20000};
    const auto deadline = core::clock::now() + limit;
    while (!condition() && core::clock::now() < deadline)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

} // namespace

// Guards against a suspected router that never returns to the live view, and against a router that suspects
// itself.
BOOST_AUTO_TEST_CASE(suspicion_ends_when_the_router_is_reachable)
{
    replica::replica rows;
    briarfold::membership::membership members(make_router("a", "z1"), rows);
    add_rows(rows, {make_router("a", "z1"), make_router("b", "z2")});
    int changes = 0;
    members.on_change([&](const live_routers&) { ++changes; });
    members.report_unreachable("b");
    members.report_unreachable("a");
    BOOST_TEST(!contains(members.live(), "b"));
    BOOST_TEST(contains(members.live(), "a"));
    BOOST_TEST(members.others()->size() == 1u);
    members.report_reachable("b");
    BOOST_TEST(contains(members.live(), "b"));
    BOOST_TEST(changes == 2);
}

// Guards against truncated packets and packets of other programs that stop the receiver.
BOOST_AUTO_TEST_CASE(packets_round_trip_and_invalid_bytes_are_rejected)
{
    heartbeat_packet packet;
    packet.kind = packet_kind::voucher;
    packet.from = "router-1";
    packet.seq = 7;
    packet.sent = {123};
    packet.revision = 9;
    packet.fenced = {{"fd-1", 512}};
    const auto bytes = encode(packet);
    BOOST_CHECK(decode_packet(bytes) == packet);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        BOOST_TEST(!decode_packet(std::string_view(bytes).substr(0, size)).has_value());
    }
    BOOST_TEST(!decode_packet("\xff\xff\xff\xff\xff").has_value());
}

// Guards against a zone in which several routers follow the store, or none.
BOOST_AUTO_TEST_CASE(one_relay_per_zone_follows_the_store)
{
    std::vector<router_info> routers;
    routers.reserve(9);
    for (int i = 0; i < 9; ++i)
    {
        routers.push_back(make_router("r" + std::to_string(i), "z" + std::to_string(i % 3)));
    }
    const auto count = std::ranges::count_if(
        routers, [&](const router_info& router) { return upstreams_of(router, routers).is_store_first; });
    BOOST_TEST(count == 3);
    const auto follower = std::ranges::find_if(
        routers, [&](const router_info& router) { return !upstreams_of(router, routers).is_store_first; });
    BOOST_TEST(upstreams_of(*follower, routers).peers.front().zone == follower->zone);
}

// Guards against a live router that leaves the live view because one other router cannot reach it, and
// against a dead router that stays in it.
BOOST_AUTO_TEST_CASE(suspected_routers_are_probed_before_removal)
{
    node a("a", "z1");
    node b("b", "z2");
    node c("c", "z3");
    const std::vector<router_info> all{a.members.self(), b.members.self(), c.members.self()};
    for (auto* item : {&a, &b, &c})
    {
        add_rows(item->rows, all);
        item->start();
    }
    c.halt();
    a.service.suspect("b");
    a.service.suspect("c");
    BOOST_TEST(
        wait_until([&] { return !contains(a.members.live(), "c") && !contains(b.members.live(), "c"); }));
    BOOST_TEST(contains(a.members.live(), "b"));
    BOOST_TEST(contains(b.members.live(), "b"));
}

// Guards against a router that is cut off from its peers and the store but still accepts requests.
BOOST_AUTO_TEST_CASE(cut_off_hook_reports_loss_and_recovery)
{
    node a("a", "z1");
    add_rows(a.rows, {a.members.self(), make_router("b", "z2", 1)});
    std::atomic<bool> is_reported_cut_off{false};
    a.service.on_cut_off([&](bool is_cut_off) { is_reported_cut_off = is_cut_off; });
    a.start();
    BOOST_TEST(!a.service.is_cut_off());
    BOOST_TEST(wait_until([&] { return is_reported_cut_off && a.service.is_cut_off(); }));
    a.rows.confirm(core::clock::now() + core::duration{1000});
    BOOST_TEST(wait_until([&] { return !is_reported_cut_off; }));
}
