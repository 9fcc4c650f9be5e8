#include "limits/limiter.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::core::literals;

namespace {

/// Delivers calls to the limiter of `peer` in the same process.
class direct_rpc : public wire::ipeer_rpc
{
public:
    void register_method(std::string, wire::rpc_handler handler) override { own = std::move(handler); }

    core::asio::awaitable<nlohmann::json> call(http::endpoint, std::string method, nlohmann::json parameters,
                                               core::duration) override
    {
        if (peer == nullptr || is_disconnected)
        {
            throw core::timeout_error(method, "peer", "timeout");
        }
        co_return co_await peer->own("other", parameters);
    }

    wire::rpc_handler own;
    direct_rpc* peer = nullptr;
    bool is_disconnected = false;
};

class fixed_membership : public membership::imembership
{
public:
    explicit fixed_membership(const std::string& own) { self_.instance_id = own; }

    const membership::router_info& self() const override { return self_; }
    membership::live_routers live() const override
    {
        membership::router_info a;
        a.instance_id = "a";
        membership::router_info b;
        b.instance_id = "b";
        return std::make_shared<const std::vector<membership::router_info>>(std::vector{a, b});
    }
    void report_unreachable(const std::string&) override {}
    void on_change(std::function<void(const membership::live_routers&)>) override {}

private:
    membership::router_info self_;
};

contracts::contract_version make_contract()
{
    return {contracts::contract::parse({{"customer", "reception"},
                                        {"services", {"accueil"}},
                                        {"requests_per_s", 100},
                                        {"burst", 20},
                                        {"concurrency", 20},
                                        {"slot_share", 0.5},
                                        {"retry_budget", 0.5}},
                                       "test"),
            {1, "ada", 0, "op"},
            1};
}

struct router
{
    explicit router(const std::string& name) : membership(name) {}

    direct_rpc rpc;
    fixed_membership membership;
    metrics::registry metrics;
    std::shared_ptr<limits::limiter> limiter =
        std::make_shared<limits::limiter>(rpc, membership, metrics, [](const std::string& customer) {
            return customer == "reception" ? std::optional(limits::shared_limits{100, 20, 20}) : std::nullopt;
        });
};

struct pair_fixture
{
    router a{"a"};
    router b{"b"};
    contracts::contract_version contract = make_contract();

    pair_fixture()
    {
        a.rpc.peer = &b.rpc;
        b.rpc.peer = &a.rpc;
    }

    /// Runs both routers and sends requests to `entry` until `done` holds or ten seconds have passed.
    bool run_until(router& entry, const std::function<bool()>& done)
    {
        core::asio::io_context context;
        for (auto* item : {&a, &b})
        {
            core::asio::co_spawn(context, item->limiter->run(), core::asio::detached);
        }
        const auto end = core::clock::now() + 10000_ms;
        while (!done() && core::clock::now() < end)
        {
            entry.limiter->admit(contract);
            context.run_for(std::chrono::milliseconds(2));
        }
        return done();
    }
};

std::uint64_t sent(router& item)
{
    return item.metrics.counter("briarfold_limit_share_requests_total", "").value();
}

std::uint64_t failed(router& item)
{
    return item.metrics.counter("briarfold_limit_share_failures_total", "").value();
}

} // namespace

// Guards against a coordinator that does not grant shares, and against a router that never gets one, over the
// JSON messages.
BOOST_FIXTURE_TEST_CASE(shares_come_from_the_coordinator, pair_fixture)
{
    BOOST_TEST(run_until(a, [this] { return sent(a) >= 2; }));
    BOOST_TEST(run_until(b, [this] { return sent(b) >= 2; }));
    BOOST_TEST(failed(a) + failed(b) == 0U);
}

// Guards against traffic that stops when the coordinator is lost.
BOOST_FIXTURE_TEST_CASE(lost_coordinator_is_counted_and_does_not_stop_traffic, pair_fixture)
{
    a.rpc.is_disconnected = true;
    b.rpc.is_disconnected = true;
    int admitted = 0;
    BOOST_TEST(run_until(a, [this] { return sent(a) >= 2; }));
    BOOST_TEST(run_until(b, [this] { return sent(b) >= 2; }));
    BOOST_TEST(failed(a) + failed(b) >= 2U);
    BOOST_TEST(run_until(a, [&] { return (admitted += a.limiter->admit(contract) ? 1 : 0) >= 3; }));
}

// Guards against a permit whose destruction does not release the request in flight, and against a crash when
// a permit outlives its limiter.
BOOST_FIXTURE_TEST_CASE(destroyed_permits_release_concurrency, pair_fixture)
{
    limits::admission refused;
    std::vector<limits::admission> held;
    while (true)
    {
        auto one = a.limiter->admit(contract);
        if (!one)
        {
            refused = one;
            break;
        }
        held.push_back(std::move(one));
    }
    BOOST_TEST((refused.refused_by == limits::limit_kind::concurrency));
    BOOST_TEST(refused.retry_after.ms > 0);
    held.pop_back();
    BOOST_TEST(static_cast<bool>(a.limiter->admit(contract)));
    a.limiter.reset();
    held.clear();
}

BOOST_FIXTURE_TEST_CASE(retry_budget_follows_the_contract, pair_fixture)
{
    BOOST_TEST(a.limiter->take_retry(contract));
    BOOST_TEST(!a.limiter->take_retry(contract));
    a.limiter->admit(contract);
    a.limiter->admit(contract);
    BOOST_TEST(a.limiter->take_retry(contract));
}
