#include "ownership/internal/voucher_tracker.hpp"
#include "ownership/internal/witness.hpp"
#include "ownership/timing.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::ownership;
using namespace briarfold::ownership::internal;

namespace {

constexpr std::int64_t epoch = timing::epoch_step;

fence_request make_fence(std::vector<std::string> witnesses = {"w1", "w2"})
{
    return {"w1", "fd-1", "c", std::move(witnesses), epoch};
}

backend_server make_row()
{
    backend_server server;
    server.id = "fd-1";
    server.controller = "c";
    server.epoch = epoch;
    server.witnesses = {"w1", "w2"};
    return server;
}

} // namespace

// Guards against a promise that a later heartbeat undoes, or that blocks the controller's later epochs.
BOOST_AUTO_TEST_CASE(promise_is_named_in_every_later_voucher)
{
    witness w("w1");
    w.on_row(make_row(), {100});
    BOOST_TEST(w.on_heartbeat("c", {1000}).empty());
    const auto first = w.on_fence(make_fence(), {1500});
    BOOST_TEST(first.age->ms == 500);
    BOOST_TEST(w.on_heartbeat("c", {1600}).at("fd-1") == epoch);
    BOOST_TEST(w.on_heartbeat("other", {1600}).empty());
    // Heartbeats after the promise do not cover the row, so they do not move the bound.
    BOOST_TEST(w.on_fence(make_fence(), {2000}).age->ms == 1000);

    voucher_tracker tracker;
    actions out;
    tracker.set_witnesses({"w1"}, {2000});
    tracker.tick({2000}, out);
    tracker.on_voucher("w1", std::get<heartbeat_request>(out.front()).seq, w.on_heartbeat("c", {2001}));
    BOOST_TEST(tracker.remaining({"w1"}, "fd-1", epoch, {2010}).ms == 0);
    BOOST_TEST(tracker.remaining({"w1"}, "fd-1", epoch + timing::epoch_step, {2010}).ms > 0);
    BOOST_TEST(tracker.remaining({"w1"}, "fd-2", epoch, {2010}).ms > 0);
}

// Guards against an expiry computed from a list of witnesses that the row no longer had.
BOOST_AUTO_TEST_CASE(unknown_witness_list_yields_age_zero)
{
    witness w("w1");
    w.on_row(make_row(), {100});
    w.on_heartbeat("c", {200});
    BOOST_TEST(w.on_fence(make_fence({"w1", "w3"}), {5000}).age->ms == 0);
    witness restarted("w1");
    BOOST_TEST(restarted.on_fence(make_fence(), {5000}).age->ms == 0);
}

// Guards against a voucher that counts from the arrival of the answer, or from a late answer.
BOOST_AUTO_TEST_CASE(voucher_validity_starts_when_the_heartbeat_is_sent)
{
    voucher_tracker tracker;
    actions out;
    tracker.set_witnesses({"w1"}, {0});
    tracker.tick({1000}, out);
    const auto first = std::get<heartbeat_request>(out.at(0)).seq;
    tracker.tick({1000 + timing::heartbeat_interval.ms}, out);
    const auto second = std::get<heartbeat_request>(out.at(1)).seq;
    tracker.on_voucher("w1", first, {});
    const auto end = 1000 + timing::voucher_duration.ms;
    BOOST_TEST(tracker.remaining({"w1"}, "fd-1", epoch, {end - 1}).ms == 1);
    BOOST_TEST(tracker.remaining({"w1"}, "fd-1", epoch, {end}).ms == 0);
    tracker.on_voucher("w1", second, {{"fd-1", epoch}});
    tracker.on_voucher("w1", first, {});
    BOOST_TEST(tracker.remaining({"w1"}, "fd-1", epoch, {1300}).ms == 0);
    tracker.on_voucher("stranger", second + 1, {});
    BOOST_TEST(tracker.remaining({"stranger"}, "fd-2", epoch, {1300}).ms == 0);
}

// Guards against a witness that was paused itself and then suspects every router it monitors.
BOOST_AUTO_TEST_CASE(paused_witness_does_not_suspect_others)
{
    witness w("w1");
    constexpr std::int64_t step = 10;
    std::int64_t now = 1000;
    w.on_heartbeat("c", {now});
    w.tick({now});
    now += 5000;
    BOOST_TEST(w.tick({now}).empty());
    const auto resumed = now;
    std::vector<std::string> lost;
    while (lost.empty())
    {
        now += step;
        lost = w.tick({now});
    }
    BOOST_TEST(lost.front() == "c");
    BOOST_TEST(now - resumed > timing::suspicion_timeout.ms);
}
