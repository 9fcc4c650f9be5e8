// Scenarios with operators' orders under load.
#include "core/error.hpp"
#include "core/ids.hpp"
#include "scenarios/http_call.hpp"
#include "scenarios/scenario.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <array>
#include <future>

namespace briarfold::scenarios {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr core::duration order_limit{30000};

/// Sends two orders at the same time through two routers.
std::array<http::response, 2> order_twice(scenario_context& context, const std::string& method,
                                          const std::string& target,
                                          const std::array<nlohmann::json, 2>& bodies)
{
    auto& routers = context.system.routers();
    const auto first = context.draw(routers.size());
    const auto second = (first + 1 + context.draw(routers.size() - 1)) % routers.size();
    auto beside = std::async(std::launch::async,
                             [&] { return context.system.admin(routers[first], method, target, bodies[0]); });
    auto other = context.system.admin(routers[second], method, target, bodies[1]);
    return {beside.get(), std::move(other)};
}

void run_two_operators(scenario_context& context)
{
    constexpr int rounds = 8;
    constexpr double first_rate = 4000;
    const auto path = "/v1/contracts/" + context.system.spec().customer;
    context.begin_fault("two-operators", {}, {});
    for (int round = 0; round < rounds; ++round)
    {
        std::array<nlohmann::json, 2> bodies;
        for (std::size_t i = 0; i < bodies.size(); ++i)
        {
            const auto rate = first_rate + round * 2 + static_cast<double>(i);
            bodies[i] = {{"document", context.system.contract_document(rate)},
                         {"author", "operator-" + std::to_string(i)},
                         {"expected_version", round + 1},
                         {"operation_id", core::make_id("edit")}};
        }
        const auto answers = order_twice(context, "PUT", path, bodies);
        const auto count = [&](unsigned status) {
            return std::ranges::count(answers, status, &http::response::status);
        };
        context.require(count(status_ok) == 1 && count(status_conflict) == 1,
                        "round " + std::to_string(round) + " ended with " +
                            std::to_string(answers[0].status) + " and " + std::to_string(answers[1].status));
    }
    context.end_fault("two-operators", {});
    // The checker judges whether each router applied the versions in time and in order.
    constexpr core::duration contract_bound{5500};
    sleep_for(contract_bound);
}

nlohmann::json make_order(const std::string& author)
{
    return {{"operation_id", core::make_id("order")}, {"author", author}};
}

bool has_no_slices(scenario_context& context, const std::string& id)
{
    return context.system.row_value(id).at("slices").empty();
}

void wait_for_drain(scenario_context& context, const std::string& id)
{
    wait_until(id + " has no slices", order_limit, [&] { return has_no_slices(context, id); });
    context.wait_for_new_owners(id);
}

void run_double_drain(scenario_context& context)
{
    auto& backend = context.draw_owner();
    context.begin_fault("drain " + backend.id, {}, {backend.id});
    const auto answers = order_twice(context, "POST", "/v1/backend-servers/" + backend.id + "/leave",
                                     {make_order("operator-0"), make_order("operator-1")});
    for (const auto& answer : answers)
    {
        context.require(answer.status == status_ok,
                        "a drain ended with " + std::to_string(answer.status) + ": " + answer.body);
    }
    wait_for_drain(context, backend.id);
    context.end_fault("drain " + backend.id, {});
}

/// Waits until every router that runs passed on the order, then for the end of the process.
void stop_backend(scenario_context& context, backend_handle& backend)
{
    const auto answer =
        context.system.admin(context.system.routers().front(), "POST",
                             "/v1/backend-servers/" + backend.id + "/stop", make_order("operator-0"));
    context.require(answer.status == status_ok,
                    "the stop ended with " + std::to_string(answer.status) + ": " + answer.body);
    const bool has_ended = backend.process->wait(order_limit);
    context.require(has_ended, backend.id + " did not end");
    context.require(has_ended && backend.process->exit_status() == 0,
                    backend.id + " did not end with status 0");
}

void run_drain_under_load(scenario_context& context)
{
    auto& backend = context.draw_owner();
    context.begin_fault("drain " + backend.id, {}, {backend.id});
    const auto answer =
        context.system.admin(context.system.routers().front(), "POST",
                             "/v1/backend-servers/" + backend.id + "/leave", make_order("operator-0"));
    context.require(answer.status == status_ok,
                    "the drain ended with " + std::to_string(answer.status) + ": " + answer.body);
    wait_for_drain(context, backend.id);
    stop_backend(context, backend);
    context.end_fault("drain " + backend.id, {});
}

} // namespace

std::vector<scenario> operator_scenarios()
{
    constexpr double nearly_all = 0.95;
    return {
        {"two-operators",
         "two operators edit one contract at the same time",
         nearly_all,
         run_two_operators,
         {}},
        {"double-drain",
         "two operators drain one backend server at the same time",
         nearly_all,
         run_double_drain,
         {}},
        {"drain-under-load", "drains a backend server, then stops it", nearly_all, run_drain_under_load, {}},
    };
}

} // namespace briarfold::scenarios
