#include "dispatch/front_choice.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::dispatch;
using briarfold::core::duration;
using briarfold::core::time_point;

namespace {

constexpr int slots = 16;
const std::vector<front_option> fronts = {{"far", slots, false, false}, {"near", slots, true, false}};

} // namespace

BOOST_AUTO_TEST_SUITE(front_choice_cases)

// Guards against traffic between zones while the own zone has room, and against requests that wait there
// while another zone has room.
BOOST_AUTO_TEST_CASE(requests_leave_their_zone_only_when_it_is_almost_full)
{
    front_choice choice;
    const time_point now{1000};
    for (const double load : {0.0, 0.3, 0.5})
    {
        choice.on_sent("near");
        choice.on_result("near", load, now);
        BOOST_CHECK_EQUAL(choice.choose(fronts, {}, now)->name, "near");
    }
    choice.on_sent("near");
    choice.on_result("near", 0.9, now);
    BOOST_CHECK_EQUAL(choice.choose(fronts, {}, now)->name, "far");
    // An old report says nothing about the present load.
    BOOST_CHECK_EQUAL(choice.choose(fronts, {}, now + duration{2000})->name, "near");
}

// Load pattern: bursts that fill single fronts for a moment while the service has room. Guards against
// rejections in that state. Each front in turn is full for 100 ms; a request every 5 ms.
BOOST_AUTO_TEST_CASE(a_burst_at_one_front_is_passed_to_others)
{
    const std::vector<front_option> options = {
        {"f0", slots, true, false}, {"f1", slots, true, false}, {"f2", slots, false, false}};
    front_choice choice;
    int rejected = 0;
    int hops = 0;
    constexpr int requests = 600;
    for (int i = 0; i < requests; ++i)
    {
        const time_point now{1000 + i * 5};
        const auto full = "f" + std::to_string((now.ms / 100) % 3);
        std::set<std::string> rejected_by;
        while (true)
        {
            const auto* const chosen = choice.choose(options, rejected_by, now);
            choice.on_sent(chosen->name);
            choice.on_result(chosen->name, -1, now);
            ++hops;
            if (chosen->name != full)
            {
                break;
            }
            choice.on_full(chosen->name, duration{100}, now);
            rejected_by.insert(chosen->name);
            if (!choice.has_room(options, rejected_by, now))
            {
                ++rejected;
                break;
            }
        }
    }
    BOOST_CHECK_EQUAL(rejected, 0);
    // A front that is known to be full is not asked by each further request.
    BOOST_CHECK_LT(hops, requests + requests / 10);
}

// Guards against requests for a front that ends while others are there, and against none when it is the last.
BOOST_AUTO_TEST_CASE(a_stopping_front_is_the_last_resort)
{
    const front_choice choice;
    const std::vector<front_option> options = {{"ending", slots, true, true}, {"far", slots, false, false}};
    BOOST_CHECK_EQUAL(choice.choose(options, {}, time_point{1})->name, "far");
    BOOST_CHECK_EQUAL(choice.choose(options, {"far"}, time_point{1})->name, "ending");
    BOOST_CHECK(!choice.has_room(options, {"far"}, time_point{1}));
    BOOST_CHECK(choice.choose({}, {}, time_point{1}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
