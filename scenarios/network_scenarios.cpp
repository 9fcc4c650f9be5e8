// Scenarios in which relays between the processes drop or hold bytes.
#include "scenarios/scenario.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>

namespace briarfold::scenarios {

namespace {

/// Longer than the suspicion time and both grants, so that the cut-off router loses all its rows.
constexpr core::duration partition_length{8000};
constexpr core::duration takeover_limit{30000};

std::uint64_t count_in(const nlohmann::json& pairs, const std::string& prefix, const char* field)
{
    std::uint64_t sum = 0;
    for (const auto& pair : pairs)
    {
        if (pair.at("name").get<std::string>().starts_with(prefix))
        {
            sum += pair.at(field).get<std::uint64_t>();
        }
    }
    return sum;
}

/// Cuts the router off from the platform and from all connections and heartbeats of the others. Its own new
/// TCP connections to others pass, which is the harder case: it hears from peers without being heard.
void cut_off(scenario_context& context, const router_handle& router, const std::string& mode)
{
    for (const auto& other : context.system.routers())
    {
        if (other.name != router.name)
        {
            context.system.set_relay(other.name + ".udp", {{"blocked_ports", {router.udp_port}}});
        }
    }
    context.system.set_relay(router.name + ".*", {{"mode", mode}});
}

void run_partition(scenario_context& context)
{
    auto& backend = context.draw_owner();
    auto& router = context.system.controller_of(backend.id);
    const auto name = "partition " + router.name;
    const auto before = context.system.relay_pairs();
    context.begin_fault(name, {router.name}, {});
    cut_off(context, router, context.draw(2) == 0 ? "drop" : "hold");
    wait_until("another router controls " + backend.id, takeover_limit,
               [&] { return context.system.controller_of(backend.id).name != router.name; });
    sleep_for(partition_length);
    const auto during = context.system.relay_pairs();
    const auto stopped =
        count_in(during, router.name + ".", "dropped") + count_in(during, router.name + ".", "bytes_held") -
        count_in(before, router.name + ".", "dropped") - count_in(before, router.name + ".", "bytes_held");
    context.require(stopped > 0, "the relay stopped nothing");
    context.system.set_relay("r*", {{"mode", "pass"}});
    context.end_fault(name, {router.name});
}

void run_silent_connections(scenario_context& context)
{
    auto& backend = context.draw_owner();
    const auto name = "silent connections to " + backend.id;
    const auto before = context.system.relay_pairs();
    context.begin_fault(name, {}, {backend.id});
    context.system.set_relay(backend.id, {{"mode", "hold"}, {"scope", "existing"}});
    wait_until("bytes are held", takeover_limit, [&] {
        return count_in(context.system.relay_pairs(), backend.id, "bytes_held") >
               count_in(before, backend.id, "bytes_held");
    });
    const auto passed = [&] { return count_in(context.system.relay_pairs(), backend.id, "bytes_passed"); };
    const auto passed_before = passed();
    wait_until("new connections carry work", takeover_limit, [&] { return passed() > passed_before; });
    // The keys must be served again, by whatever backend server owns them now.
    constexpr std::int64_t answers_after = 500;
    context.wait_for_answers(answers_after);
    context.end_fault(name, {});
}

} // namespace

std::vector<scenario> network_scenarios()
{
    constexpr double most = 0.6;
    return {
        {"partition-routers", "cuts a controller off from the platform and the other routers", most,
         run_partition, [](deployment_spec& spec) { spec.relays_routers = true; }},
        {"silent-connections", "all open connections to a backend server fall silent, new ones work", most,
         run_silent_connections, [](deployment_spec& spec) { spec.relays_backends = true; }},
    };
}

} // namespace briarfold::scenarios
