#include "routing/tests/fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::routing::tests;

// Guards against a request that loses its target, body or id when a second router forwards it.
BOOST_AUTO_TEST_CASE(request_passes_through_local_and_remote_front)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    fake_ownership ownership;
    fake_backend backend(executor, "b1", echo);
    router near(executor, ownership, "near");
    router far(executor, ownership, "far");
    ownership.publish({backend.row()}, "b1");
    const auto local = send_async(runner, near, make_request("GET", "r1")).get();
    BOOST_TEST(local.status == 200);
    BOOST_TEST(local.body == "GET /work/svc/item?x=1 body");
    BOOST_TEST(http::find_header(local.headers, "X-Request-Id") == "r1");
    BOOST_TEST(outcome_of(local) == "answered");
    near.membership.set({far.membership.self()});
    const auto remote = send_async(runner, near, make_request("POST", "r2")).get();
    BOOST_TEST(remote.body == "POST /work/svc/item?x=1 body");
    BOOST_TEST(near.counters.forwarded == 1U);
    BOOST_TEST(far.counters.front_requests == 1U);
}

// Guards against invalid input that reaches a backend server, and against a refusal without its step.
BOOST_AUTO_TEST_CASE(invalid_input_is_refused_with_its_step)
{
    running_context runner;
    fake_ownership ownership;
    fake_backend backend(runner.context.get_executor(), "b1", echo);
    routing::routing_hooks hooks;
    hooks.terms = [](const std::string& customer) {
        return customer == "kiosk" ? routing::terms_result(std::make_shared<routing::customer_terms>())
                                   : routing::terms_result(nullptr);
    };
    router target(runner.context.get_executor(), ownership, "a", hooks);
    ownership.publish({backend.row()}, "b1");
    const auto check = [&](const http::request& message, unsigned status, const std::string& step) {
        const auto answer = send_async(runner, target, message).get();
        const auto body = nlohmann::json::parse(answer.body);
        BOOST_TEST(answer.status == status);
        BOOST_TEST(body["step"] == step);
        BOOST_TEST(outcome_of(answer) == "refused-not-run");
    };
    const auto with = [](std::size_t header, const std::string& value) {
        auto message = make_request("GET", "r");
        message.headers[header].value = value;
        return message;
    };
    check(with(0, ""), 400, "customer");
    check(with(0, "stranger"), 403, "contract");
    check(with(1, std::string(257, 'k')), 400, "key");
    check(with(2, "two words"), 400, "request id");
    check(with(3, "0"), 400, "deadline");
    check(with(3, "60001"), 400, "deadline");
    auto wrong_target = make_request("GET", "r");
    wrong_target.target = "//x";
    check(wrong_target, 400, "target");
    auto unknown_service = make_request("GET", "r");
    unknown_service.target = "/other/x";
    check(unknown_service, 404, "lookup");
    BOOST_TEST(backend.attempts == 0);
}

// Guards against a refusal while a key moves to another backend server, which callers would see as downtime.
BOOST_AUTO_TEST_CASE(request_refused_by_non_owner_is_held_until_a_newer_map)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    fake_ownership ownership;
    fake_backend source(executor, "b1", [](http::request message, int) -> asio::awaitable<http::response> {
        co_return refusal_answer(message, "not_owner");
    });
    fake_backend target(executor, "b2", echo);
    router entry(executor, ownership, "a");
    ownership.publish({source.row(), target.row()}, "b1");
    auto answer = send_async(runner, entry, make_request("POST", "r1"));
    BOOST_TEST(wait_until([&] { return source.attempts > 0; }));
    ownership.publish({source.row(), target.row()}, "b2");
    BOOST_TEST(outcome_of(answer.get()) == "answered");
    BOOST_TEST(target.attempts == 1);
}

// Guards against the outcome "unknown" for a request whose key has no owner until the deadline.
BOOST_AUTO_TEST_CASE(request_without_owner_is_refused_at_its_deadline)
{
    running_context runner;
    fake_ownership ownership;
    fake_backend backend(runner.context.get_executor(), "b1", echo);
    router entry(runner.context.get_executor(), ownership, "a");
    ownership.publish({backend.row()}, "none");
    const auto answer = send_async(runner, entry, make_request("POST", "r1", 100)).get();
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(outcome_of(answer) == "refused-not-run");
    BOOST_TEST(!http::find_header(answer.headers, "Retry-After").empty());
}

// Guards against a request that fails because its front is unreachable, although another router can be the
// front.
BOOST_AUTO_TEST_CASE(unreachable_front_is_replaced_by_another_router)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    fake_ownership ownership;
    fake_backend backend(executor, "b1", echo);
    router entry(executor, ownership, "a");
    ownership.publish({backend.row()}, "b1");
    auto dead = router::make_info("dead", 1);
    auto order = membership::live_routers();
    entry.membership.set({entry.membership.self(), dead});
    for (int i = 0; i < 8; ++i)
    {
        BOOST_TEST(
            outcome_of(send_async(runner, entry, make_request("POST", "r" + std::to_string(i))).get()) ==
            "answered");
    }
    BOOST_TEST(backend.attempts == 8);
}

// Guards against a refusal by the limits that is ignored, or answered without Retry-After.
BOOST_AUTO_TEST_CASE(limits_refuse_with_retry_after)
{
    running_context runner;
    fake_ownership ownership;
    fake_backend backend(runner.context.get_executor(), "b1", echo);
    routing::routing_hooks hooks;
    hooks.admit = [](const std::string&, const std::string&) {
        routing::admission decision;
        decision.is_admitted = false;
        decision.reason = "rate";
        decision.retry_after = core::duration{1500};
        return decision;
    };
    router entry(runner.context.get_executor(), ownership, "a", hooks);
    ownership.publish({backend.row()}, "b1");
    const auto answer = send_async(runner, entry, make_request("GET", "r1")).get();
    BOOST_TEST(answer.status == 429U);
    BOOST_TEST(http::find_header(answer.headers, "Retry-After") == "2");
    BOOST_TEST(backend.attempts == 0);
}

// Guards against the refusal of a customer below its limit before this router has received its share.
BOOST_AUTO_TEST_CASE(transient_refusal_by_the_limits_is_retried_until_admitted)
{
    running_context runner;
    fake_ownership ownership;
    fake_backend backend(runner.context.get_executor(), "b1", echo);
    routing::routing_hooks hooks;
    hooks.admit = [calls = std::make_shared<std::atomic<int>>(0)](const std::string&, const std::string&) {
        routing::admission decision;
        decision.is_admitted = ++*calls > 2;
        decision.is_transient = true;
        return decision;
    };
    router entry(runner.context.get_executor(), ownership, "a", hooks);
    ownership.publish({backend.row()}, "b1");
    BOOST_TEST(send_async(runner, entry, make_request("GET", "r1")).get().status == 200U);
}

// Guards against a stopping router that drops requests in flight or accepts new ones.
BOOST_AUTO_TEST_CASE(stopping_router_finishes_requests_in_flight)
{
    running_context runner;
    fake_ownership ownership;
    std::promise<void> release;
    auto released = release.get_future().share();
    fake_backend backend(runner.context.get_executor(), "b1",
                         [released](http::request message, int) -> asio::awaitable<http::response> {
                             while (released.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
                             {
                                 co_await pause(2);
                             }
                             co_return echo_answer(message);
                         });
    router entry(runner.context.get_executor(), ownership, "a");
    ownership.publish({backend.row()}, "b1");
    auto first = send_async(runner, entry, make_request("POST", "r1"));
    BOOST_TEST(wait_until([&] { return backend.running == 1; }));
    entry.entry_role.begin_stop();
    entry.front_role.begin_stop();
    BOOST_TEST(outcome_of(send_async(runner, entry, make_request("POST", "r2")).get()) == "refused-not-run");
    release.set_value();
    BOOST_TEST(outcome_of(first.get()) == "answered");
    BOOST_TEST(wait_until([&] { return entry.entry_role.in_flight() == 0; }));
}
