#include "scenarios/faults.hpp"

#include "core/error.hpp"
#include "scenarios/http_call.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <csignal>

namespace briarfold::scenarios {

namespace {

/// Several times the voucher duration of 700 ms, so that witnesses take over.
constexpr core::duration pause_length{5000};
constexpr core::duration freeze_length{4000};
constexpr core::duration takeover_limit{30000};
constexpr unsigned status_unavailable = 503;

std::vector<std::string> controlled_by(scenario_context& context, const router_handle& router)
{
    std::vector<std::string> ids;
    for (const auto& backend : context.system.backends())
    {
        const std::string controller = context.system.row_value(backend.id).at("controller");
        if (controller.starts_with(router.name + "-"))
        {
            ids.push_back(backend.id);
        }
    }
    return ids;
}

/// The fault takes effect when other routers have taken over all rows of the lost one. Another fault may keep
/// the store from answering meanwhile.
void wait_for_takeover(scenario_context& context, const router_handle& router)
{
    wait_until("the rows of " + router.name + " are taken over", takeover_limit, [&] {
        try
        {
            return controlled_by(context, router).empty();
        }
        catch (const core::error&)
        {
            return false;
        }
    });
}

/// For the report only: empty, which means all, while the store does not answer.
std::vector<std::string> affected_by(scenario_context& context, const router_handle& router)
{
    try
    {
        return controlled_by(context, router);
    }
    catch (const core::error&)
    {
        return {};
    }
}

} // namespace

void kill_process(scenario_context& context, const std::string& name)
{
    auto& routers = context.system.routers();
    const auto router = std::ranges::find(routers, name, &router_handle::name);
    auto& process = router == routers.end() ? *context.system.backend(name).process : *router->process;
    process.kill();
    context.require(process.exit_status() == -SIGKILL, name + " was not ended by the kill");
}

void kill_backend(scenario_context& context, backend_handle& backend)
{
    context.begin_fault("kill " + backend.id, {backend.id}, {backend.id});
    kill_process(context, backend.id);
    context.wait_for_new_owners(backend.id);
}

void freeze_backend(scenario_context& context, backend_handle& backend)
{
    const auto name = "freeze " + backend.id;
    context.begin_fault(name, {backend.id}, {backend.id});
    backend.process->pause();
    context.wait_for_new_owners(backend.id);
    sleep_for(freeze_length);
    backend.process->resume();
    context.end_fault(name, {backend.id});
}

void kill_router(scenario_context& context, router_handle& router)
{
    context.begin_fault("kill " + router.name, {router.name}, affected_by(context, router));
    kill_process(context, router.name);
    wait_for_takeover(context, router);
}

void pause_router(scenario_context& context, router_handle& router)
{
    const auto name = "pause " + router.name;
    context.begin_fault(name, {router.name}, affected_by(context, router));
    router.process->pause();
    sleep_for(pause_length);
    wait_for_takeover(context, router);
    router.process->resume();
    context.end_fault(name, {router.name});
}

void store_pause(scenario_context& context)
{
    constexpr core::duration outage{3000};
    context.begin_fault("store-pause", {"*"}, {});
    context.system.set_platform_fault({{"mode", "down"}, {"duration_ms", outage.ms}});
    const http::request read("GET", "/table/rows?prefix=backend-server/");
    context.require(call(context.system.platform(), read).status == status_unavailable,
                    "the store was not down");
    sleep_for(outage);
    context.end_fault("store-pause", {"*"});
}

} // namespace briarfold::scenarios
