#include "routes/evacuations.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace briarfold;
using namespace briarfold::core::literals;
using routes::evacuations;

namespace {

constexpr core::time_point now{50000};
using names = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations_cases)

// Guards against a router that evacuates a zone again because it hears of the row after its deletion.
BOOST_AUTO_TEST_CASE(the_order_of_arrival_does_not_matter)
{
    std::vector<nlohmann::json> messages = {{{"a", {0, 5, true, 10}}, {"b", {0, 6, true, 10}}},
                                            {{"a", {0, 8, false, 0}}},
                                            {{"b", {0, 3, false, 0}}, {"c", {1, 2, true, 10}}},
                                            {{"c", {0, 9, false, 0}}}};
    std::ranges::sort(messages);
    do
    {
        evacuations known;
        for (const auto& message : messages)
        {
            known.merge(message, now);
        }
        BOOST_CHECK(known.zones() == names({"b", "c"}));
    } while (std::ranges::next_permutation(messages).found);
}

// Guards against a zone that stays evacuated since its deletion was in a part of the feed that was missed,
// and against one that is returned by a read from before its row.
BOOST_AUTO_TEST_CASE(a_full_read_returns_the_zones_without_a_row)
{
    evacuations known;
    BOOST_CHECK(known.record("a", {0, 5}, true, now));
    BOOST_CHECK(known.record("b", {0, 9}, true, now));
    BOOST_CHECK(known.record_absent({}, {0, 7}) == names({"a"}));
    BOOST_CHECK(known.zones() == names({"b"}));
    // A restored store counts on from an earlier number, in a later era.
    BOOST_CHECK(known.record_absent({}, {1, 2}) == names({"b"}));
    BOOST_CHECK(known.zones().empty());
}

// Guards against a router that learns late of an evacuation and serves its keys for the whole time again.
BOOST_AUTO_TEST_CASE(the_time_counts_from_the_first_router_that_learned)
{
    evacuations first;
    first.record("a", {0, 5}, true, now);
    evacuations late;
    const auto message = first.to_message(now + 1500_ms);
    BOOST_CHECK(late.merge(message, now + 1500_ms) == names({"a"}));
    BOOST_CHECK(late.merge(message, now + 1500_ms).empty());
    BOOST_CHECK(late.evacuated_since("a") == now);
    // The row is written again without a deletion in between.
    late.record("a", {0, 7}, true, now + 3000_ms);
    BOOST_CHECK(late.evacuated_since("a") == now);
    BOOST_CHECK(routes::last_keyed_send(now, 5000_ms) == now + 2000_ms);
}

// Guards against a malformed message that changes a part of the state.
BOOST_AUTO_TEST_CASE(malformed_messages_change_nothing)
{
    evacuations known;
    known.record("a", {0, 5}, true, now);
    for (const auto* text : {R"({"a": [0, 9, false, 0], "b": [0]})", R"({"a": [0, "x", false, 0]})",
                             R"({"a": 1})", R"({"a": null})"})
    {
        BOOST_CHECK_THROW(known.merge(nlohmann::json::parse(text), now), nlohmann::json::exception);
        BOOST_CHECK(known.zones() == names({"a"}));
    }
    BOOST_CHECK(!evacuations::is_zone_name(""));
    BOOST_CHECK(!evacuations::is_zone_name("a b"));
    BOOST_CHECK(!evacuations::is_zone_name(std::string(1000, 'a')));
    BOOST_CHECK(evacuations::is_zone_name("zone-a"));
}

BOOST_AUTO_TEST_SUITE_END()
