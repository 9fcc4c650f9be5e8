// Scenarios that kill, stop and continue processes.
#include "scenarios/faults.hpp"
#include "scenarios/scenario.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <thread>

namespace briarfold::scenarios {

namespace {

void run_demo(scenario_context& context)
{
    constexpr std::int64_t demo_answers = 2000;
    context.wait_for_answers(demo_answers);
}

void run_kill_backend(scenario_context& context)
{
    kill_backend(context, context.draw_owner());
}

void run_freeze_backend(scenario_context& context)
{
    freeze_backend(context, context.draw_owner());
}

void run_kill_router(scenario_context& context)
{
    kill_router(context, context.system.controller_of(context.draw_owner().id));
}

void run_pause_controller(scenario_context& context)
{
    pause_router(context, context.system.controller_of(context.draw_owner().id));
}

void run_lost_together(scenario_context& context)
{
    auto& backend = context.draw_owner();
    auto& controller = context.system.controller_of(backend.id);
    context.begin_fault("controller-and-backend", {controller.name, backend.id}, {backend.id});
    controller.process->kill();
    backend.process->kill();
    context.wait_for_new_owners(backend.id);
}

void run_zone_loss(scenario_context& context)
{
    auto& system = context.system;
    const auto zone = system.spec().zones[context.draw(system.spec().zones.size())];
    std::vector<std::string> targets;
    std::vector<std::string> lost;
    for (const auto& router : system.routers())
    {
        if (router.zone == zone)
        {
            targets.push_back(router.name);
        }
    }
    for (const auto& backend : system.backends())
    {
        if (backend.zone == zone)
        {
            lost.push_back(backend.id);
        }
    }
    targets.insert(targets.end(), lost.begin(), lost.end());
    context.begin_fault("zone-loss " + zone, targets, lost);
    for (const auto& name : targets)
    {
        kill_process(context, name);
    }
    std::ranges::for_each(lost, [&](const std::string& id) { context.wait_for_new_owners(id); });
}

void run_stop_router(scenario_context& context)
{
    constexpr core::duration stop_limit{30000};
    auto& router = context.system.controller_of(context.draw_owner().id);
    context.begin_fault("stop-router", {router.name}, {});
    router.process->terminate();
    const bool has_ended = router.process->wait(stop_limit);
    context.require(has_ended, router.name + " did not end");
    context.require(has_ended && router.process->exit_status() == 0,
                    router.name + " did not end with status 0");
}

void run_unchecked_backend(scenario_context& context)
{
    // The front of an unchecked server is its controller; both a pause and a loss must not give two owners.
    auto& backend = context.draw_owner("", context.system.spec().services.front().name);
    pause_router(context, context.system.controller_of(backend.id));
    kill_backend(context, backend);
}

void uncheck_first_service(deployment_spec& spec)
{
    spec.services.front().checks_grants = false;
}

using action = std::function<void()>;

/// Runs both; the second begins while the first is still being dealt with.
void run_overlapping(scenario_context& context, const action& first, const action& second)
{
    constexpr std::uint64_t longest_delay_ms = 1500;
    std::thread beside([&] {
        try
        {
            first();
        }
        catch (const std::exception& failure)
        {
            context.fail(failure.what());
        }
    });
    try
    {
        sleep_for(core::duration{static_cast<std::int64_t>(context.draw(longest_delay_ms))});
        second();
    }
    catch (const std::exception& failure)
    {
        context.fail(failure.what());
    }
    beside.join();
}

void run_two_faults(scenario_context& context)
{
    // All targets are chosen beforehand and differ, since a killed process cannot be paused.
    auto& killed = context.draw_owner();
    auto& frozen = context.draw_owner(killed.id);
    auto& lost = context.system.controller_of(killed.id);
    auto& routers = context.system.routers();
    const auto lost_index = static_cast<std::size_t>(&lost - routers.data());
    auto& paused = routers[(lost_index + 1 + context.draw(routers.size() - 1)) % routers.size()];
    const std::vector<action> actions = {
        [&] { kill_backend(context, killed); }, [&] { freeze_backend(context, frozen); },
        [&] { kill_router(context, lost); }, [&] { pause_router(context, paused); },
        [&] { store_pause(context); }};
    const auto first = context.draw(actions.size());
    const auto second = (first + 1 + context.draw(actions.size() - 1)) % actions.size();
    run_overlapping(context, actions[first], actions[second]);
}

} // namespace

std::vector<scenario> process_scenarios()
{
    constexpr double nearly_all = 0.95;
    constexpr double most = 0.6;
    return {
        {"demo", "keyed requests through all routers, no fault", nearly_all, run_demo, {}},
        {"kill-backend", "kills a backend server that owns keys", most, run_kill_backend, {}},
        {"freeze-backend",
         "stops a backend server for long, then continues it",
         most,
         run_freeze_backend,
         {}},
        {"kill-router", "kills a router that controls a backend server", most, run_kill_router, {}},
        {"pause-controller",
         "stops a controller for longer than its voucher",
         most,
         run_pause_controller,
         {}},
        {"controller-and-backend-lost-together",
         "kills a backend server and its controller at once",
         most,
         run_lost_together,
         {}},
        {"zone-loss", "kills all routers and backend servers of one zone", most, run_zone_loss, {}},
        {"stop-router-under-load", "ends a router gracefully", nearly_all, run_stop_router, {}},
        {"unchecked-backend", "pauses the controller of, then kills, a server that checks no grants", most,
         run_unchecked_backend, uncheck_first_service},
        {"two-faults", "two faults drawn by the seed, overlapping", most, run_two_faults, {}},
    };
}

} // namespace briarfold::scenarios
