#include "routing/tests/fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::routing::tests;

namespace {

struct fixture
{
    explicit fixture(fake_backend::behaviour work)
        : backend(runner.context.get_executor(), "b1", std::move(work)),
          target(runner.context.get_executor(), ownership, "a")
    {
        publish(backend.row());
    }

    void publish(const ownership::backend_server& row) { ownership.publish({row}, row.id); }
    http::response send(const http::request& message) { return send_async(runner, target, message).get(); }

    running_context runner;
    fake_ownership ownership;
    fake_backend backend;
    router target;
};

/// Answers after 60 s, later than the deadlines of the tests.
asio::awaitable<http::response> never_answer(http::request, int)
{
    co_await pause(60000);
    co_return http::response();
}

} // namespace

// Guards against more requests in flight than the backend server has slots, and against queued requests that
// are never granted a slot.
BOOST_AUTO_TEST_CASE(slots_are_never_exceeded)
{
    fixture f([](http::request message, int) -> asio::awaitable<http::response> {
        co_await pause(2);
        co_return echo_answer(message);
    });
    std::vector<std::future<http::response>> answers;
    constexpr int requests = 100;
    answers.reserve(requests);
    for (int i = 0; i < requests; ++i)
    {
        answers.push_back(send_async(f.runner, f.target, make_request("POST", "r" + std::to_string(i))));
    }
    for (int i = 0; i < requests; ++i)
    {
        const auto answer = answers[i].get();
        BOOST_TEST(outcome_of(answer) == "answered");
        BOOST_TEST(http::find_header(answer.headers, "X-Request-Id") == "r" + std::to_string(i));
    }
    BOOST_TEST(f.backend.max_running == f.backend.slots);
}

// Guards against an unbounded queue, and against another outcome than "refused-not-run" when it is full.
BOOST_AUTO_TEST_CASE(full_queue_refuses_requests_as_not_run)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    fixture f([released](http::request message, int) -> asio::awaitable<http::response> {
        while (released.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        {
            co_await pause(2);
        }
        co_return echo_answer(message);
    });
    std::vector<std::future<http::response>> answers;
    constexpr int requests = 200;
    answers.reserve(requests);
    for (int i = 0; i < requests; ++i)
    {
        answers.push_back(send_async(f.runner, f.target, make_request("POST", "r" + std::to_string(i))));
    }
    constexpr int queued = 4 * 32;
    BOOST_TEST(wait_until([&] { return f.target.counters.queue_rejections == requests - queued - 4U; }));
    release.set_value();
    int refused = 0;
    for (auto& answer : answers)
    {
        refused += outcome_of(answer.get()) == "refused-not-run" ? 1 : 0;
    }
    BOOST_TEST(refused == requests - queued - 4);
    BOOST_TEST(f.backend.attempts == queued + 4);
}

// Guards against passing the answer to another request to a caller (guarantee G3).
BOOST_AUTO_TEST_CASE(answer_with_another_request_id_is_rejected)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        auto answer = echo_answer(message);
        if (attempt == 1)
        {
            answer.headers[0].value = "another";
        }
        co_return answer;
    });
    const auto first = f.send(make_request("POST", "r1"));
    BOOST_TEST(first.status == 502U);
    BOOST_TEST(outcome_of(first) == "unknown");
    BOOST_TEST(f.target.counters.id_mismatches == 1U);
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r2"))) == "answered");
    BOOST_TEST(f.target.counters.connections_opened == 2U);
}

// Guards against a second run of a request (guarantee G5): a late copy of its refusal was taken for the
// answer to its next send.
BOOST_AUTO_TEST_CASE(refused_request_is_sent_again_on_another_connection)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        co_return attempt == 1 ? refusal_answer(message, "shed") : echo_answer(message);
    });
    const auto first = f.send(make_request("POST", "r1"));
    const auto second = outcome_of(first) == "answered" ? first : f.send(make_request("POST", "r1"));
    BOOST_TEST(outcome_of(second) == "answered");
    BOOST_TEST(f.backend.attempts == 2);
    BOOST_TEST(f.target.counters.connections_opened == 2U);
}

// Guards against a second run of a non-idempotent request (guarantee G5), and against a missing retry of an
// idempotent one.
BOOST_AUTO_TEST_CASE(only_idempotent_requests_are_sent_again)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        auto answer = echo_answer(message);
        if (attempt <= 2)
        {
            answer.headers[0].value = "another";
        }
        co_return answer;
    });
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r1"))) == "unknown");
    BOOST_TEST(f.backend.attempts == 1);
    BOOST_TEST(outcome_of(f.send(make_request("PUT", "r2"))) == "answered");
    BOOST_TEST(f.backend.attempts == 3);
}

// Guards against the outcome "refused-not-run" for a request whose earlier attempt may have run (guarantee
// G4).
BOOST_AUTO_TEST_CASE(refusal_after_a_lost_attempt_is_unknown)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        auto answer = attempt == 1 ? echo_answer(message) : refusal_answer(message, "expired");
        answer.headers[0].value = attempt == 1 ? "another" : answer.headers[0].value;
        co_return answer;
    });
    BOOST_TEST(outcome_of(f.send(make_request("PUT", "r1"))) == "unknown");
    BOOST_TEST(f.backend.attempts == 2);
}

// Guards against retries that multiply the load on a backend server that fails every request.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
    fixture f([](http::request message, int) -> asio::awaitable<http::response> {
        auto answer = echo_answer(message);
        answer.headers[0].value = "another";
        co_return answer;
    });
    constexpr int requests = 50;
    for (int i = 0; i < requests; ++i)
    {
        f.send(make_request("PUT", "r" + std::to_string(i)));
    }
    // The initial 10 tokens of the retry budget, and a tenth of the requests.
    BOOST_TEST(f.backend.attempts <= requests + 10 + requests / 10);
    BOOST_TEST(f.target.counters.retries_over_budget > 0U);
}

// Guards against a wrong outcome after the deadline, and against reuse of the connection (guarantee G3).
BOOST_AUTO_TEST_CASE(passed_deadline_is_unknown_unless_cancelled_before_start)
{
    fixture f(never_answer);
    f.backend.set_state("r1", "running");
    f.backend.set_state("r2", "cancelled_before_start");
    const auto first = f.send(make_request("POST", "r1", 100));
    BOOST_TEST(first.status == 504U);
    BOOST_TEST(outcome_of(first) == "unknown");
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r2", 100))) == "refused-not-run");
    BOOST_TEST(f.target.counters.connections_opened == 2U);
}

// Guards against a slot that is released while an overdue request still runs.
BOOST_AUTO_TEST_CASE(overdue_request_keeps_its_slot)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        co_await pause(attempt == 1 ? 60000 : 0);
        co_return echo_answer(message);
    });
    auto row = f.backend.row();
    row.slots = 1;
    f.publish(row);
    f.backend.set_state("r1", "running");
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r1", 100))) == "unknown");
    auto second = send_async(f.runner, f.target, make_request("POST", "r2"));
    const int before = f.backend.cancels;
    BOOST_TEST(wait_until([&] { return f.backend.cancels > before + 1; }));
    BOOST_TEST(f.backend.attempts == 1);
    f.backend.set_state("r1", "finished");
    BOOST_TEST(outcome_of(second.get()) == "answered");
}

// Guards against a deadline that starts again at each hop.
BOOST_AUTO_TEST_CASE(backend_server_receives_the_time_left)
{
    fixture f([](http::request message, int) -> asio::awaitable<http::response> {
        co_await pause(60);
        co_return echo_answer(message);
    });
    auto row = f.backend.row();
    row.slots = 1;
    f.publish(row);
    auto first = send_async(f.runner, f.target, make_request("POST", "r1", 5000));
    BOOST_TEST(wait_until([&] { return f.backend.running == 1; }));
    auto second = send_async(f.runner, f.target, make_request("POST", "r2", 5000));
    second.get();
    // The time that r2 waited for the slot of r1 is subtracted.
    BOOST_TEST(f.backend.last_deadline_ms < 5000);
}

// Guards against treating the connection of a slow request as silent, and against waiting on a silent one.
BOOST_AUTO_TEST_CASE(silent_connection_is_distinguished_from_slow_service)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        const bool is_slow = http::find_header(message.headers, "X-Request-Id") == "slow";
        co_await pause(is_slow ? 1200 : attempt == 2 ? 60000 : 0);
        co_return echo_answer(message);
    });
    f.backend.set_state("slow", "running");
    BOOST_TEST(outcome_of(f.send(make_request("POST", "slow", 20000))) == "answered");
    BOOST_TEST(f.target.counters.silent_connections == 0U);
    // The backend server reports the second attempt as unknown, as if it had never arrived.
    BOOST_TEST(outcome_of(f.send(make_request("PUT", "lost", 20000))) == "answered");
    BOOST_TEST(f.target.counters.silent_connections == 1U);
    BOOST_TEST(f.backend.attempts == 3);
}

// Guards against failing a non-idempotent request that a probe cancelled before its start and that may be
// sent again, and against a second run of it: the backend server still reports the cancelled attempt while
// the new one runs.
BOOST_AUTO_TEST_CASE(request_cancelled_by_a_probe_is_sent_again_once)
{
    fixture f([](http::request message, int attempt) -> asio::awaitable<http::response> {
        co_await pause(attempt == 1 ? 60000 : 1300);
        co_return echo_answer(message);
    });
    f.backend.set_state("r1", "cancelled_before_start");
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r1", 20000))) == "answered");
    BOOST_TEST(f.backend.attempts == 2);
}

// Guards against new requests to a backend server that is leaving (guarantee G6) or lost.
BOOST_AUTO_TEST_CASE(leaving_or_lost_backend_server_gets_no_new_requests)
{
    fixture f(echo);
    auto row = f.backend.row();
    row.intent = ownership::intent::leaving;
    f.publish(row);
    BOOST_TEST(
        wait_until([&] { return outcome_of(f.send(make_request("POST", "r", 50))) == "refused-not-run"; }));
    const int before = f.backend.attempts;
    f.send(make_request("POST", "r", 50));
    BOOST_TEST(f.backend.attempts == before);
    row.intent = ownership::intent::active;
    f.publish(row);
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r"))) == "answered");
    row.intent = ownership::intent::lost;
    f.publish(row);
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r", 50))) == "refused-not-run");
}

// Guards against requests to a backend server that does not check grants, sent without authority or with a
// deadline longer than a new owner waits.
BOOST_AUTO_TEST_CASE(backend_server_without_grant_checks_gets_requests_only_with_authority)
{
    fixture f(echo);
    auto row = f.backend.row();
    row.checks_grants = false;
    row.controller = "a";
    f.publish(row);
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r1", 100))) == "refused-not-run");
    BOOST_TEST(f.backend.attempts == 0);
    f.ownership.authority_ms = 400;
    BOOST_TEST(outcome_of(f.send(make_request("POST", "r2", 60000))) == "answered");
    BOOST_TEST(f.backend.last_deadline_ms <= 2000);
}

// Guards against a cancelled request that keeps its place in the queue, and against a missing cancel request
// to the backend server.
BOOST_AUTO_TEST_CASE(cancellation_removes_queued_request_and_is_forwarded_to_backend_server)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    fixture f([released](http::request message, int) -> asio::awaitable<http::response> {
        while (released.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        {
            co_await pause(2);
        }
        co_return echo_answer(message);
    });
    auto row = f.backend.row();
    row.slots = 1;
    f.publish(row);
    const auto first_cancel = std::make_shared<core::cancellation>();
    const auto second_cancel = std::make_shared<core::cancellation>();
    auto first = send_async(f.runner, f.target, make_request("POST", "r1"), first_cancel);
    BOOST_TEST(wait_until([&] { return f.backend.running == 1; }));
    auto second = send_async(f.runner, f.target, make_request("POST", "r2"), second_cancel);
    BOOST_TEST(wait_until([&] { return f.target.counters.queue_waits == 1U; }));
    second_cancel->cancel();
    BOOST_TEST(outcome_of(second.get()) == "refused-not-run");
    first_cancel->cancel();
    BOOST_TEST(wait_until([&] { return f.backend.cancels == 1; }));
    release.set_value();
    BOOST_TEST(outcome_of(first.get()) == "answered");
}
