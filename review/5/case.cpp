/// Routers are stopped one after the other, the leader first, while the store does not answer.
#include "review/support/rig.hpp"

#include <map>
#include <vector>

using namespace briarfold;
using namespace briarfold::review;

namespace {

constexpr core::duration ready_limit{30000};
/// Outage of the store.
constexpr core::duration outage{8000};
/// Times of the stop signals after the start of the outage.
constexpr core::duration leader_stops_at{20};
constexpr core::duration front_stops_at{2700};
constexpr core::duration entry_stops_at{5900};
/// New connections reach a stopped router until the balancer has missed two answers to its probes.
constexpr core::duration balancer_delay{1900};
constexpr core::duration restart_delay{300};
constexpr core::duration rest{6000};
constexpr double requests_per_s = 40;

int run(const char* folder)
{
    rig cluster(folder);
    cluster.put_config(1, {{"desk", false}});
    for (int i = 0; i < 6; ++i)
    {
        target_settings settings;
        settings.id = "desk-" + std::to_string(i);
        settings.service = "desk";
        settings.is_keyed = false;
        settings.work = core::duration{700};
        settings.slots = 12;
        cluster.add_server(settings);
    }
    cluster.start_routers(4);
    if (!cluster.await_ready(ready_limit))
    {
        return exit_not_run;
    }
    auto& leader = cluster.find_leader();
    std::vector<router*> others;
    for (auto& item : cluster.routers)
    {
        if (&item != &leader)
        {
            others.push_back(&item);
        }
    }
    const auto start = core::clock::now();
    std::map<std::string, core::time_point> ended;
    const auto run_until = [&](core::duration offset) {
        while (core::clock::now() < start + offset)
        {
            cluster.run_for(core::duration{10});
            const auto now = core::clock::now();
            for (auto& item : cluster.routers)
            {
                // A process that has ended is started again.
                if (!item.process->is_running() && ended.try_emplace(item.name, now).second)
                {
                    cluster.log.write("router " + item.name + " has ended");
                }
                if (ended.contains(item.name) && now - ended.at(item.name) > restart_delay)
                {
                    ended.erase(item.name);
                    cluster.start_router(item);
                }
            }
        }
    };
    const auto stop = [&](router& item) {
        cluster.log.write("router " + item.name + " gets SIGTERM");
        item.process->terminate();
    };
    if (cluster.has_trouble())
    {
        cluster.log.write("the store is silent");
        cluster.store.set_mode(standins::store_mode::silent);
    }
    run_until(leader_stops_at);
    stop(leader);
    run_until(front_stops_at);
    stop(*others[0]);
    run_until(entry_stops_at);
    stop(*others[1]);
    const auto stopped_at = core::clock::now();
    const auto entry = static_cast<std::size_t>(others[1] - cluster.routers.data());
    cluster.start_load("desk", false, requests_per_s, balancer_delay, 0, 65535, entry);
    run_until(outage);
    if (cluster.has_trouble())
    {
        cluster.log.write("the store answers again");
        cluster.store.set_mode(standins::store_mode::serving);
    }
    run_until(outage + rest);
    cluster.check_requests();
    cluster.check_lost(others[1]->name, stopped_at);
    return cluster.finish();
}

} // namespace

int main(int, char** argv)
{
    return run_case([&] { return run(argv[1]); });
}
