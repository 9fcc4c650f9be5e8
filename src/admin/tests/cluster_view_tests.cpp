#include "admin/cluster_view.hpp"
#include "contracts/contract_registry.hpp"
#include "contracts/tests/memory_replica.hpp"

#include <boost/test/unit_test.hpp>

#include <ranges>

using namespace briarfold;
using namespace briarfold::core::literals;

namespace {

/// Peers by port; ports without a method do not answer.
class fake_rpc : public wire::ipeer_rpc
{
public:
    void register_method(std::string, wire::rpc_handler) override {}

    core::asio::awaitable<nlohmann::json> call(http::endpoint peer, std::string method, nlohmann::json,
                                               core::duration) override
    {
        ++in_progress;
        most_in_progress = std::max(most_in_progress, in_progress);
        core::asio::steady_timer timer(co_await core::asio::this_coro::executor,
                                       std::chrono::milliseconds(1));
        co_await timer.async_wait(core::asio::use_awaitable);
        --in_progress;
        if (!answers.contains(peer.port))
        {
            throw core::timeout_error(method, http::to_string(peer), "timeout");
        }
        co_return answers.at(peer.port);
    }

    std::map<unsigned short, nlohmann::json> answers;
    int in_progress = 0;
    int most_in_progress = 0;
};

struct view_fixture
{
    fake_rpc rpc;
    contracts::tests::memory_replica replica;
    contracts::contract_registry contracts{replica};
    trace::span_recorder spans{"r-000", ""};
    admin::cluster_view view{rpc, make_router(0), replica, contracts, spans};

    static membership::router_info make_router(int number)
    {
        membership::router_info info;
        info.instance_id = "r-" +
                           std::string(number < 10    ? "00"
                                       : number < 100 ? "0"
                                                      : "") +
                           std::to_string(number);
        info.zone = "a";
        return info;
    }

    void add_rows(int count)
    {
        store::row_batch batch;
        batch.revision = 1;
        for (const int i : std::views::iota(0, count))
        {
            batch.rows.emplace_back(
                "router/" + make_router(i).instance_id, 1, 1, "op",
                nlohmann::json{{"zone", "a"}, {"ip", "127.0.0.1"}, {"peer_port", 1000 + i}});
        }
        replica.apply(batch);
    }

    std::vector<admin::router_report> ask()
    {
        core::asio::io_context context;
        auto result = core::asio::co_spawn(context, view.ask_all({}, 100_ms), core::asio::use_future);
        context.run();
        return result.get();
    }
};

} // namespace

// Guards against a router that is missing from the status because it does not answer, or because another
// process answers on its port.
BOOST_FIXTURE_TEST_CASE(every_router_with_a_row_is_reported, view_fixture)
{
    add_rows(4);
    auto report = view.own_report({});
    report.instance_id = "r-001";
    rpc.answers[1001] = to_json(report);
    rpc.answers[1002] = to_json(report);
    const auto reports = ask();
    BOOST_REQUIRE(reports.size() == 4U);
    BOOST_TEST(reports[0].is_reachable);
    BOOST_TEST(reports[1].is_reachable);
    BOOST_TEST(!reports[2].is_reachable, "another instance answered");
    BOOST_TEST(!reports[3].is_reachable, "nobody answered");
}

// Guards against hundreds of calls at once at the target size, and against calls that are left out.
BOOST_FIXTURE_TEST_CASE(calls_to_many_routers_are_bounded, view_fixture)
{
    constexpr int routers = 630;
    add_rows(routers);
    BOOST_TEST(ask().size() == static_cast<std::size_t>(routers));
    BOOST_TEST(rpc.most_in_progress <= 32);
    BOOST_TEST(rpc.in_progress == 0);
}
