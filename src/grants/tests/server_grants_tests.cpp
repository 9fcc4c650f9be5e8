#include "grants/server_grants.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::grants;
using core::duration;
using core::time_point;

namespace {

directory::entry make_entry(keyspace::key_set keys, std::int64_t token_base = 100)
{
    directory::entry entry;
    entry.server.id = "s1";
    entry.server.start_time_ms = 1;
    entry.front = "r1";
    entry.keys = std::move(keys);
    entry.token_base = token_base;
    return entry;
}

struct fixture
{
    time_point now{1000000};

    grant_call next(server_grants& grants)
    {
        const auto call = grants.next_call(now, true, grant_duration);
        BOOST_REQUIRE(call.has_value());
        return *call;
    }
    /// Makes and answers all due grants.
    void grant_all(server_grants& grants)
    {
        while (const auto call = grants.next_call(now, true, grant_duration))
        {
            grants.on_granted(*call, now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_grants_cases, fixture)

// Guards against work that is sent before a grant is accepted or after it may have ended.
BOOST_AUTO_TEST_CASE(sends_only_under_an_accepted_grant)
{
    server_grants grants(make_entry({{0, 99}}), now);
    BOOST_CHECK(!grants.may_send(5, now));
    grants.on_granted(next(grants), now);
    BOOST_CHECK(grants.may_send(5, now));
    BOOST_CHECK(!grants.may_send(100, now));
    BOOST_CHECK(!grants.may_send(5, now + grant_duration));
}

// Guards against two owners: keys whose grant is on its way were reported as free when they were withdrawn
// before the answer, and the backend server accepted the grant after another one had received the keys.
BOOST_AUTO_TEST_CASE(keys_with_a_grant_under_way_are_not_free)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto call = next(grants);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
    now = now + duration{10};
    grants.on_granted(call, now);
    BOOST_CHECK(grants.freed(now).empty());
    const auto release = next(grants);
    BOOST_CHECK(release.kind == call_kind::release);
    grants.on_released(release, "token", now);
    const auto freed = grants.freed(now);
    BOOST_REQUIRE_EQUAL(freed.size(), 1U);
    BOOST_CHECK_EQUAL(freed.front().handover, "token");
}

// Guards against two owners: a grant whose answer was lost may be applied until its connection was reset, and
// holds from its arrival on a clock that may run slow.
BOOST_AUTO_TEST_CASE(a_lost_grant_keeps_its_keys_until_its_bound)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto call = next(grants);
    now = now + duration{500};
    grants.on_lost(call, now);
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    const auto bound = latest_grant_end(now, grant_duration);
    BOOST_CHECK(grants.freed(bound - duration{1}).empty());
    BOOST_CHECK_EQUAL(grants.freed(bound).size(), 1U);
}

// Guards against a late application of a lost grant after the release of the same keys.
BOOST_AUTO_TEST_CASE(a_lost_grant_is_void_only_after_a_higher_token_was_accepted)
{
    server_grants grants(make_entry({{0, 99}}), now);
    const auto first = next(grants);
    now = now + duration{500};
    grants.on_lost(first, now);
    now = now + duration{300};
    const auto second = next(grants);
    BOOST_CHECK_GT(second.token, first.token);
    grants.on_granted(second, now);
    auto entry = make_entry({{0, 99}});
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    const auto release = next(grants);
    grants.on_released(release, "", now);
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against two owners after a release that is answered while a lost grant may still be applied.
BOOST_AUTO_TEST_CASE(a_release_does_not_void_a_lost_grant)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    now = now + renewal_interval;
    const auto renewal = next(grants);
    now = now + duration{500};
    grants.on_lost(renewal, now);
    const auto lost_at = now;
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    const auto release = next(grants);
    now = now + duration{5};
    grants.on_released(release, "token", now);
    BOOST_CHECK(grants.freed(now).empty());
    BOOST_CHECK_EQUAL(grants.freed(latest_grant_end(lost_at, grant_duration)).size(), 1U);
}

// Guards against keys that are free for this front but still held under a grant of the former one.
BOOST_AUTO_TEST_CASE(grants_of_a_former_front_count)
{
    auto entry = make_entry({{0, 99}});
    entry.prior_grant_remaining = duration{7000};
    server_grants grants(entry, now);
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now + duration{6999}).empty());
    BOOST_CHECK_EQUAL(grants.freed(now + duration{7000}).size(), 1U);
}

// Guards against a release that is lost and never repeated.
BOOST_AUTO_TEST_CASE(a_lost_release_is_repeated_and_ends_with_the_grant)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    const auto granted = now;
    entry.withdrawn = {{50, 99}};
    grants.update(entry, now);
    const auto release = next(grants);
    BOOST_CHECK(release.kind == call_kind::release);
    BOOST_CHECK_EQUAL(release.range.first, 50U);
    BOOST_CHECK(grants.may_send(49, now));
    BOOST_CHECK(!grants.may_send(50, now));
    now = now + duration{300};
    grants.on_lost(release, now);
    now = now + duration{300};
    BOOST_CHECK(next(grants).kind == call_kind::release);
    const auto freed = grants.freed(latest_grant_end(granted, grant_duration));
    BOOST_REQUIRE_EQUAL(freed.size(), 1U);
    BOOST_CHECK(freed.front().handover.empty());
}

// Guards against a new life that serves on grants of the former one, and against an equal token for it.
BOOST_AUTO_TEST_CASE(a_new_life_is_granted_anew)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto first = next(grants);
    grants.on_granted(first, now);
    entry.server.start_time_ms = 2;
    grants.update(entry, now);
    BOOST_CHECK(!grants.may_send(5, now));
    const auto second = next(grants);
    BOOST_CHECK_GT(second.token, first.token);
}

// Guards against cold keys: the token of the former holder goes with the first grant.
BOOST_AUTO_TEST_CASE(a_handover_token_goes_with_the_first_grant)
{
    auto entry = make_entry({{0, 99}});
    entry.handovers = {{{10, 19}, "warm"}};
    server_grants grants(entry, now);
    std::map<std::uint32_t, std::string> sent;
    while (const auto call = grants.next_call(now, true, grant_duration))
    {
        sent[call->range.first] = call->handover;
        grants.on_granted(*call, now);
    }
    BOOST_CHECK_EQUAL(sent[10], "warm");
    BOOST_CHECK_EQUAL(sent[0], "");
    BOOST_CHECK_EQUAL(sent[20], "");
    now = now + renewal_interval;
    const auto renewal = next(grants);
    BOOST_CHECK_EQUAL(renewal.range.last, 99U);
    BOOST_CHECK_EQUAL(renewal.handover, "");
}

// Guards against a front without authority that keeps a backend server which another front has taken over.
BOOST_AUTO_TEST_CASE(without_authority_nothing_is_granted)
{
    server_grants grants(make_entry({{0, 99}}), now);
    BOOST_CHECK(!grants.next_call(now, false, grant_duration).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
