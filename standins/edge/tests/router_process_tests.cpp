#include "standins/edge/tests/process_play.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;
namespace asio = core::asio;

namespace {

constexpr core::duration store_delay{300};
constexpr core::duration play_length{24000};

/// Routers that restart beside a slow store while keys move.
class restart_play : public process_play
{
public:
    restart_play(unsigned seed, const std::filesystem::path& folder)
        : process_play(6, 12, folder), seed_(seed)
    {
        std::ranges::transform(cluster.backends, std::back_inserter(serving_),
                               [](const auto& item) { return item.get(); });
    }

    /// Routers are killed with odd seeds; backend servers crash with every second pair of seeds.
    void run()
    {
        end_after(play_length);
        for (const auto& item : cluster.backends)
        {
            prepare(*item);
        }
        start(slow_store(choices(seed_, 0)));
        start(stop_routers(choices(seed_, 1)));
        start(replace_backends(choices(seed_, 2)));
        start(send_to_hot_keys(choices(seed_, 5)));
        if (seed_ % 2 == 1)
        {
            start(kill_routers(choices(seed_, 3)));
        }
        if (seed_ / 2 % 2 == 1)
        {
            start(crash_backends(choices(seed_, 4)));
        }
        cluster.start_load(6, play_length.ms);
        constexpr core::duration rest{5000};
        cluster.run_for((play_length + rest).ms);
        cluster.write_spans();
    }

    int crashes = 0;

private:
    /// Lets releases take different times, so that keys are freed one after the other.
    void prepare(keyed_backend& item)
    {
        constexpr int kinds = 3;
        constexpr core::duration step{70};
        const auto kind = ++prepared_ % kinds;
        item.set_work_duration(core::duration{20} + step * kind);
        item.on_release([this] { is_released_ = true; });
    }

    /// Takes 300 ms a call on average; answers overtake each other.
    asio::awaitable<void> slow_store(choices random)
    {
        while (!is_over())
        {
            const auto before = random.span(0, store_delay.ms);
            cluster.store.set_delay(before, random.span(0, store_delay.ms));
            co_await core::pause_for(random.span(200, 2000));
        }
        cluster.store.set_delay({}, {});
    }

    /// Stops two routers at a time in turn, soon after keys are released.
    asio::awaitable<void> stop_routers(choices random)
    {
        std::size_t router = 0;
        while (!is_over())
        {
            co_await core::pause_for(random.span(200, 1000));
            is_released_ = false;
            while (!is_released_ && !is_over())
            {
                co_await core::pause_for(poll_interval);
            }
            for (int i = 0; i < 2; ++i)
            {
                co_await core::pause_for(random.span(0, 50));
                stop_router(router, random.span(50, 600));
                router = (router + 1) % cluster.processes.size();
            }
        }
    }

    asio::awaitable<void> kill_routers(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(300, 2000));
            bool is_writing = false;
            cluster.store.on_transaction([&is_writing] { is_writing = true; });
            while (!is_writing && !is_over())
            {
                co_await core::pause_for(poll_interval);
            }
            cluster.store.on_transaction({});
            co_await core::pause_for(random.span(0, store_delay.ms));
            const auto router = random.index(cluster.processes.size());
            const auto pause = random.span(50, 900);
            co_await kill_router(router, pause);
        }
    }

    keyed_backend& take_serving(choices& random)
    {
        const auto position = serving_.begin() + static_cast<std::ptrdiff_t>(random.index(serving_.size()));
        auto& item = **position;
        serving_.erase(position);
        return item;
    }

    /// Adds a backend server whenever another one drains.
    asio::awaitable<void> replace_backends(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(1000, 3000));
            auto& leaving = take_serving(random);
            cluster.register_backend(leaving, true);
            start(leave(leaving, random.span(2000, 6000)));
            co_await core::pause_for(random.span(50, 400));
            auto& next = cluster.add_backend();
            prepare(next);
            cluster.register_backend(next);
            serving_.push_back(&next);
        }
    }

    asio::awaitable<void> leave(keyed_backend& item, core::duration pause)
    {
        co_await core::pause_for(pause);
        cluster.store.remove("servers", item.id());
        item.crash();
    }

    /// Crashes backend servers, which start again at their address and are registered later.
    asio::awaitable<void> crash_backends(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(500, 3000));
            auto& former = take_serving(random);
            const bool keeps_id = random.index(2) == 0;
            const auto pause = random.span(50, 900);
            const auto registry_delay = random.span(100, 4500);
            former.crash();
            ++crashes;
            co_await core::pause_for(pause);
            const auto id = former.id() + (keeps_id ? "" : "-next");
            cluster.start_backend(id, former.address(), "a");
            prepare(*cluster.backends.back());
            start(register_late(former, *cluster.backends.back(), registry_delay));
        }
    }

    asio::awaitable<void> register_late(keyed_backend& former, keyed_backend& next, core::duration delay)
    {
        co_await core::pause_for(delay);
        if (former.id() != next.id())
        {
            cluster.store.remove("servers", former.id());
        }
        cluster.register_backend(next);
        serving_.push_back(&next);
    }

    /// Makes the load uneven, so that keys move between backend servers that stay.
    asio::awaitable<void> send_to_hot_keys(choices random)
    {
        constexpr core::duration hot_interval{8};
        constexpr std::size_t requests_per_range = 80;
        constexpr std::size_t hot_keys = 8192;
        std::size_t first = 0;
        for (std::size_t sent = 0; !is_over(); ++sent)
        {
            if (sent % requests_per_range == 0)
            {
                first = random.index(keyspace::key_count - hot_keys);
            }
            const auto key = static_cast<std::uint32_t>(first + random.index(hot_keys));
            const auto router = random.index(cluster.settings.size());
            const auto attempt = "hot-" + std::to_string(sent);
            start(send(cluster.settings[router].frontend, edge_cluster::make_request(attempt, false, key),
                       {attempt}));
            co_await core::pause_for(hot_interval);
        }
    }

    unsigned seed_;
    bool is_released_ = false;
    int prepared_ = 0;
    std::vector<keyed_backend*> serving_;
};

/// Returns the number of pairs of spans in which a backend server had keys that another one got later.
int count_successions(const edge_cluster& cluster)
{
    int pairs = 0;
    for_each_shared_span(cluster, [&pairs](const auto&, const auto& a, const auto&, const auto& b) {
        pairs += a.until <= b.from ? 1 : 0;
    });
    return pairs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_processes)

// Guards against keys that two backend servers hold, or that move with a lower token, when routers stop or
// die while the answers to their writes of assignments are on their way.
BOOST_AUTO_TEST_CASE(keys_keep_one_owner_while_routers_restart_beside_a_slow_store)
{
    play_seeds(3, [](unsigned seed, const std::filesystem::path& folder) {
        restart_play play(seed, folder);
        BOOST_REQUIRE(play.cluster.await_ready());
        play.run();
        BOOST_TEST_MESSAGE("seed " << seed << ": " << play.stops << " stops, " << play.kills << " kills, "
                                   << play.crashes << " crashes, " << count_successions(play.cluster)
                                   << " successions, " << play.cluster.count(200) << " of "
                                   << play.cluster.records.size() << " requests served");
        BOOST_CHECK_GT(play.stops, 5);
        BOOST_CHECK_GT(count_successions(play.cluster), 10);
        BOOST_CHECK_GT(success_ratio(play.cluster), 0.25);
        check_invariants(play.cluster);
        check_exclusive_ownership(play.cluster);
        check_rising_tokens(play.cluster);
    });
}

BOOST_AUTO_TEST_SUITE_END()
