/// Late copies of rejections, from servers that reject part of their requests.
#include "review/support/rig.hpp"

#include <random>

using namespace briarfold;
using namespace briarfold::review;

namespace {

constexpr core::duration ready_limit{30000};
/// Both disruptions last 5 s, as the site file says of "extra late"; "shed" may last 8.5 s there.
constexpr core::duration trouble_span{5000};
/// Both come this many times.
constexpr int bouts = 6;
constexpr core::duration rest{4000};
constexpr double requests_per_s = 200;
/// Share of the requests that a server rejects, and share of its answers that it sends a second time.
constexpr double shed_share = 0.15;
constexpr double copied_share = 0.03;
/// Three of five servers send copies.
constexpr std::size_t copying_servers = 3;

int run(const char* folder)
{
    rig cluster(folder);
    cluster.put_config(1, {{"ledger", true}});
    for (int i = 0; i < 5; ++i)
    {
        target_settings settings;
        settings.id = "ledger-" + std::to_string(i);
        settings.service = "ledger";
        cluster.add_server(settings);
    }
    cluster.start_routers(3);
    if (!cluster.await_ready(ready_limit))
    {
        return exit_not_run;
    }
    std::mt19937 random(11);
    std::bernoulli_distribution sheds(shed_share);
    std::bernoulli_distribution copies(copied_share);
    const auto set_trouble = [&](bool is_on) {
        for (std::size_t i = 0; i < cluster.servers.size(); ++i)
        {
            target_trouble trouble;
            if (is_on)
            {
                trouble.sheds = [&] { return sheds(random); };
            }
            if (is_on && i < copying_servers)
            {
                trouble.repeats_late = [&](call_type type, unsigned) {
                    return type == call_type::request && copies(random);
                };
            }
            cluster.servers[i]->set_trouble(std::move(trouble));
        }
    };
    for (int bout = 0; bout < bouts; ++bout)
    {
        cluster.start_load("ledger", false, requests_per_s, trouble_span);
        set_trouble(cluster.has_trouble());
        cluster.run_for(trouble_span);
        set_trouble(false);
        cluster.run_for(rest);
    }
    int copied = 0;
    for (const auto& server : cluster.servers)
    {
        copied += server->late_copies();
    }
    cluster.log.write("late copies sent: " + std::to_string(copied));
    cluster.check_requests();
    return cluster.finish();
}

} // namespace

int main(int, char** argv)
{
    return run_case([&] { return run(argv[1]); });
}
