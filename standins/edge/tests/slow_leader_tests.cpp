#include "standins/edge/tests/process_play.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;
namespace asio = core::asio;

namespace {

constexpr core::duration change_interval{150};
/// Time in which a change has to be in force on every router that works.
constexpr core::duration max_delay{2000};
/// Time for which a router counts as disturbed after a disturbance.
constexpr core::duration contact_time{3000};

/// Configurations that follow one another while the machine of the leader is short of processor time.
class slow_leader_play : public process_play
{
public:
    slow_leader_play(unsigned seed, const std::filesystem::path& folder)
        : process_play(6, 6, folder), seed_(seed), slow_until_(cluster.processes.size())
    {}

    void run()
    {
        constexpr core::duration play_length{24000};
        end_after(play_length);
        start(change_configuration(choices(seed_, 0)));
        start(slow_leaders(choices(seed_, 1)));
        start(freeze_routers(choices(seed_, 2)));
        for (std::size_t i = 0; i < cluster.processes.size(); ++i)
        {
            start(watch(i));
        }
        cluster.start_load(2, play_length.ms);
        cluster.run_for(play_length.ms);
        cluster.write_spans();
    }

    int leaving_servers() const { return static_cast<int>(left_at_.size()); }
    /// Returns the number of requests that reached backend servers long after they said that they leave.
    std::size_t count_late_arrivals() const
    {
        std::size_t count = 0;
        for (const auto& item : cluster.backends)
        {
            const auto left = left_at_.find(item->id());
            if (left != left_at_.end())
            {
                count += static_cast<std::size_t>(
                    std::ranges::count_if(item->arrivals(), [&](const arrival& request) {
                        return request.at > left->second + max_delay;
                    }));
            }
        }
        return count;
    }

    /// Longest time for which a router that was not disturbed missed a change.
    core::duration worst_delay;
    int slow_leaderships = 0;
    int freezes = 0;
    std::size_t answers = 0;
    std::size_t versions() const { return changed_at_.size(); }

private:
    /// Changes the weights of many routes, so that a document takes some milliseconds to read.
    asio::awaitable<void> change_configuration(choices random)
    {
        constexpr int extra_routes = 600;
        constexpr int first_version = 2;
        while (!is_over())
        {
            const auto version = first_version + static_cast<int>(changed_at_.size());
            cluster.put_config(version, "/keyed/", extra_routes);
            changed_at_.push_back(core::clock::now());
            co_await core::pause_for(random.span(change_interval.ms / 2, change_interval.ms * 3 / 2));
        }
    }

    std::size_t find_stored_leader() const
    {
        const auto row = cluster.store.get("briarfold", "leader");
        const auto name = row ? directory::router_from_json(row->at("router")).name : std::string();
        const auto found = std::ranges::find(cluster.names, name);
        return static_cast<std::size_t>(found - cluster.names.begin());
    }

    std::string find_stored_front(const std::string& backend_server) const
    {
        constexpr int parts = 32;
        for (int part = 0; part < parts; ++part)
        {
            const auto row = cluster.store.get("briarfold", "assignment/keyed/" + std::to_string(part));
            const auto servers = row ? row->at("servers") : nlohmann::json::array();
            for (const auto& item : servers)
            {
                if (item.at(0) == backend_server)
                {
                    return item.at(3).get<std::string>();
                }
            }
        }
        return "";
    }

    /// Has a backend server leave whose front is not the slow leader. Two backend servers stay.
    asio::awaitable<void> leave(std::size_t leader, core::duration pause)
    {
        co_await core::pause_for(pause);
        const auto chosen = std::ranges::find_if(cluster.backends, [&](const auto& item) {
            const auto front = find_stored_front(item->id());
            return !left_at_.contains(item->id()) && !front.empty() && front != cluster.names[leader];
        });
        if (chosen != cluster.backends.end() && left_at_.size() + 2 < cluster.backends.size())
        {
            cluster.register_backend(**chosen, true);
            left_at_[(*chosen)->id()] = core::clock::now();
        }
    }

    /// Lets the leader run for some milliseconds at a time, so that it answers, but late.
    asio::awaitable<void> slow_leaders(choices random)
    {
        constexpr core::duration slow_time{6000};
        constexpr core::duration run_time{6};
        while (!is_over())
        {
            co_await core::pause_for(random.span(500, 2500));
            const auto leader = find_stored_leader();
            if (leader == cluster.processes.size())
            {
                continue;
            }
            ++slow_leaderships;
            const auto end = core::clock::now() + slow_time;
            slow_until_[leader] = end + contact_time;
            start(leave(leader, random.span(200, 1000)));
            auto& process = *cluster.processes[leader];
            while (core::clock::now() < end && !is_over())
            {
                process.pause();
                co_await core::pause_for(random.span(100, 400));
                process.resume();
                co_await core::pause_for(run_time);
            }
            process.resume();
        }
    }

    /// Freezes routers that others ask for the configuration.
    asio::awaitable<void> freeze_routers(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(1000, 3000));
            const auto router = random.index(cluster.processes.size());
            if (router == find_stored_leader() || core::clock::now() < slow_until_[router])
            {
                continue;
            }
            const auto frozen_for = random.span(500, 2000);
            slow_until_[router] = core::clock::now() + frozen_for + contact_time;
            cluster.processes[router]->pause();
            ++freezes;
            co_await core::pause_for(frozen_for);
            cluster.processes[router]->resume();
        }
    }

    /// Asks one router for its version, as a monitoring system does.
    asio::awaitable<void> watch(std::size_t router)
    {
        constexpr core::duration timeout{500};
        const std::string name = "\nbriarfold_edge_configuration_version ";
        while (!is_over())
        {
            const auto asked = core::clock::now();
            try
            {
                const auto answer =
                    co_await http::fetch(cluster.settings[router].metrics, {"GET", "/metrics"}, timeout);
                const auto position = answer.body.find(name);
                if (position != std::string::npos && asked >= slow_until_[router])
                {
                    record(std::stoull(answer.body.substr(position + name.size())), asked);
                }
            }
            catch (const core::error&)
            {
                // A slowed router need not answer.
            }
            co_await core::pause_for(poll_interval);
        }
    }

    void record(std::size_t version, core::time_point asked)
    {
        ++answers;
        const auto next = std::max<std::size_t>(version, 1) - 1;
        if (next < changed_at_.size())
        {
            worst_delay = std::max(worst_delay, asked - changed_at_[next]);
        }
    }

    unsigned seed_;
    /// When each version was acknowledged, from the second one on.
    std::vector<core::time_point> changed_at_;
    std::vector<core::time_point> slow_until_;
    std::map<std::string, core::time_point> left_at_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(slow_leaders)

// Guards against changes, and backend servers that leave, that wait for a leader that answers late.
BOOST_AUTO_TEST_CASE(changes_are_in_force_in_time_while_the_leader_is_slow)
{
    play_seeds(1, [](unsigned seed, const std::filesystem::path& folder) {
        slow_leader_play play(seed, folder);
        BOOST_REQUIRE(play.cluster.await_ready());
        play.run();
        BOOST_TEST_MESSAGE("seed " << seed << ": " << play.slow_leaderships << " slow leaders, "
                                   << play.freezes << " freezes, " << play.leaving_servers()
                                   << " leaving servers, " << play.count_late_arrivals() << " late arrivals, "
                                   << play.versions() << " versions, worst delay " << play.worst_delay.ms
                                   << " ms in " << play.answers << " answers");
        BOOST_CHECK_GE(play.slow_leaderships, 2);
        BOOST_CHECK_GE(play.freezes, 2);
        BOOST_CHECK_GT(play.answers, 1000U);
        BOOST_CHECK_LE(play.worst_delay.ms, max_delay.ms);
        BOOST_CHECK_GT(play.leaving_servers(), 0);
        BOOST_CHECK_EQUAL(play.count_late_arrivals(), 0U);
        check_invariants(play.cluster);
        check_exclusive_ownership(play.cluster);
    });
}

BOOST_AUTO_TEST_SUITE_END()
