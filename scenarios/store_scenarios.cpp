// Scenarios in which the platform's table service fails.
#include "scenarios/faults.hpp"
#include "scenarios/http_call.hpp"
#include "scenarios/scenario.hpp"
#include "scenarios/waiting.hpp"

namespace briarfold::scenarios {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr double first_rate = 6000;

nlohmann::json edit_of(const scenario_context& context, double rate, std::int64_t expected,
                       const std::string& operation)
{
    return {{"document", context.system.contract_document(rate)},
            {"author", "scenario"},
            {"expected_version", expected},
            {"operation_id", operation}};
}

std::int64_t contract_version(const scenario_context& context)
{
    const auto path = "/table/rows?key=contract/" + context.system.spec().customer;
    const auto answer = call(context.system.platform(), {"GET", path, {}, ""});
    return nlohmann::json::parse(answer.body).at("version");
}

http::response edit(scenario_context& context, const nlohmann::json& body)
{
    return context.system.admin(context.system.routers().front(), "PUT",
                                "/v1/contracts/" + context.system.spec().customer, body);
}

void run_outage(scenario_context& context)
{
    // By hand longer than any lease or timer of the routers; in CI still several grant durations.
    const core::duration length{context.is_long ? 75000 : 8000};
    context.begin_fault("store-outage", {"*"}, {});
    context.system.set_platform_fault({{"mode", "down"}});
    const auto before = context.load.counts();
    const http::request read("GET", "/table/rows?prefix=backend-server/");
    context.require(call(context.system.platform(), read).status == status_unavailable,
                    "the store was not down");
    const auto refused = edit(context, edit_of(context, first_rate, 1, "during-outage"));
    context.require(refused.status != status_ok, "an edit was accepted while the store was down");
    sleep_for(length);
    const auto during = context.load.counts();
    // No key may be taken from a live backend server by an outage of any length.
    context.require(during.refused == before.refused && during.unknown == before.unknown,
                    std::to_string(during.refused - before.refused) + " refused and " +
                        std::to_string(during.unknown - before.unknown) + " unknown during the outage");
    context.require(during.answered > before.answered, "nothing was answered during the outage");
    context.system.set_platform_fault({{"mode", "up"}});
    context.end_fault("store-outage", {"*"});
    constexpr core::duration edit_limit{30000};
    wait_until("an edit is accepted after the outage", edit_limit, [&] {
        return edit(context, edit_of(context, first_rate, contract_version(context), "after-outage"))
                   .status == status_ok;
    });
}

void run_slow(scenario_context& context)
{
    constexpr core::duration delay{1500};
    context.begin_fault("store-slow", {"*"}, {});
    context.system.set_platform_fault({{"mode", "slow"}, {"delay_ms", delay.ms}});
    const auto begin = core::clock::now();
    call(context.system.platform(), {"GET", "/table/rows?prefix=router/", {}, ""});
    context.require(core::clock::now() - begin >= delay, "the store was not slow");
    // A loss while the store is slow needs its transactions to commit in spite of the delay.
    kill_backend(context, context.draw_owner());
    context.system.set_platform_fault({{"mode", "up"}});
    context.end_fault("store-slow", {"*"});
}

void run_lost_answer(scenario_context& context)
{
    constexpr int lost_answers = 2;
    context.begin_fault("store-lost-answer", {"*"}, {});
    auto& backend = context.draw_owner();
    auto& controller = context.system.controller_of(backend.id);
    const auto version = contract_version(context);
    context.system.set_platform_fault({{"lose_answers", 1}});
    const auto body = edit_of(context, first_rate, version, "lost-answer");
    const auto answer = edit(context, body);
    context.require(contract_version(context) == version + 1, "the edit with the lost answer did not commit");
    // The admin API reads the row back; when its time was over it says so, and the repetition is harmless.
    context.require(answer.status == status_ok || edit(context, body).status == status_ok,
                    "the edit with the lost answer was reported as failed");
    context.require(contract_version(context) == version + 1, "the edit was applied twice");
    context.system.set_platform_fault({{"lose_answers", lost_answers}});
    kill_router(context, controller);
    kill_backend(context, backend);
    context.system.set_platform_fault({{"mode", "up"}});
    context.end_fault("store-lost-answer", {"*"});
}

} // namespace

std::vector<scenario> store_scenarios()
{
    constexpr double nearly_all = 0.95;
    constexpr double most = 0.6;
    return {
        {"store-outage", "the table service is down, a minute or more by hand", nearly_all, run_outage, {}},
        {"store-slow", "the table service is slow while a backend server is lost", most, run_slow, {}},
        {"store-lost-answer", "answers to committed writes are lost", most, run_lost_answer, {}},
    };
}

} // namespace briarfold::scenarios
