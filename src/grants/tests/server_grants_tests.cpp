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
    /// Waits until a renewal is due and makes it.
    grant_call next_renewal(server_grants& grants)
    {
        now = now + renewal_interval;
        return next(grants);
    }
    /// Makes all due grant calls and answers them as accepted.
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

// Guards against two owners: keys with a grant in flight were reported as free when they were withdrawn
// before its answer, and the backend server accepted the grant after another one had received the keys.
BOOST_AUTO_TEST_CASE(keys_with_a_grant_in_flight_are_not_free)
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

// Guards against two owners: a release that was answered only after its keys had been granted again, because
// a new leader did not withdraw them, was taken as the answer to the next release, and the keys went to
// another backend server while the grant was in force.
BOOST_AUTO_TEST_CASE(late_answer_of_an_earlier_release_frees_nothing)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    const auto first_release = next(grants);
    // The next leader does not know of the withdrawal.
    entry.withdrawn.clear();
    entry.token_base = 200;
    grants.update(entry, now);
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    now = now + duration{500};
    grants.on_released(first_release, "token", now);
    BOOST_CHECK(grants.freed(now).empty());
    const auto second_release = next(grants);
    grants.on_released(first_release, "token", now);
    BOOST_CHECK(grants.freed(now).empty());
    grants.on_released(second_release, "token", now);
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against two owners: a renewal does not shorten a longer grant, so keys with an outage grant counted
// as free while the backend server still held them.
BOOST_AUTO_TEST_CASE(a_short_renewal_does_not_end_an_outage_grant)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto start = now;
    grants.on_granted(*grants.next_call(now, true, outage_grant_duration), now);
    now = now + renewal_interval;
    grants.on_granted(next(grants), now);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(start + outage_grant_duration).empty());
    BOOST_CHECK_EQUAL(grants.freed(latest_grant_end(start, outage_grant_duration)).size(), 1U);
}

// Guards against two owners: a higher token fences the earlier front's renewals, but an outage grant that it
// gave before stays in force, also after the new front's shorter grant has ended.
BOOST_AUTO_TEST_CASE(an_accepted_grant_does_not_end_those_of_earlier_fronts)
{
    auto entry = make_entry({{0, 99}});
    entry.prior_grant_remaining = duration{14000};
    server_grants grants(entry, now);
    const auto start = now;
    grants.on_granted(next(grants), now);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(start + outage_grant_duration).empty());
    // The earlier front cannot have granted keys since.
    BOOST_CHECK_EQUAL(grants.freed(latest_grant_end(start, outage_grant_duration)).size(), 1U);
}

// Guards against two owners: after a release that followed a lost grant the keys counted as free at the end
// of that grant, although an earlier front, which the backend server had not been told to reject, could
// renew.
BOOST_AUTO_TEST_CASE(release_without_an_accepted_grant_waits_for_earlier_fronts)
{
    auto entry = make_entry({{0, 99}});
    entry.prior_grant_remaining = duration{12000};
    server_grants grants(entry, now);
    grants.on_lost(next(grants), now);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    now = now + duration{200};
    const auto release = next(grants);
    BOOST_REQUIRE(release.kind == call_kind::release);
    grants.on_released(release, "token", now);
    BOOST_CHECK(grants.freed(now + duration{11000}).empty());
    BOOST_CHECK_EQUAL(grants.freed(now + duration{12000}).size(), 1U);
}

// Guards against two owners: a grant whose answer was lost may be applied at any time until its connection
// was reset, and is then valid for its duration by a clock that may run slow.
BOOST_AUTO_TEST_CASE(a_lost_grant_keeps_its_keys_until_its_latest_end)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto call = next(grants);
    now = now + duration{500};
    grants.on_lost(call, now);
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    const auto latest_end = latest_grant_end(now, grant_duration);
    BOOST_CHECK(grants.freed(latest_end - duration{1}).empty());
    BOOST_CHECK_EQUAL(grants.freed(latest_end).size(), 1U);
}

// Guards against a lost grant that is applied after the release of the same keys.
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

// Guards against two owners when a release is answered while a lost grant may still be applied.
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

// Guards against keys that are reported as free while a grant of the former front may still be valid.
BOOST_AUTO_TEST_CASE(keys_are_not_free_before_the_grants_of_a_former_front_end)
{
    auto entry = make_entry({{0, 99}});
    entry.prior_grant_remaining = duration{7000};
    server_grants grants(entry, now);
    entry.withdrawn = entry.keys;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now + duration{6999}).empty());
    BOOST_CHECK_EQUAL(grants.freed(now + duration{7000}).size(), 1U);
}

// Guards against a lost release that is never retried.
BOOST_AUTO_TEST_CASE(a_lost_release_is_retried_and_the_keys_are_free_after_the_grant)
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

// Guards against two owners: grants that had reached the new process of a restarted backend server before its
// registration did were forgotten, so that withdrawn keys counted as free without a release.
BOOST_AUTO_TEST_CASE(keys_granted_to_a_restarted_backend_server_are_free_only_after_a_release)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.server.start_time_ms = 2;
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
    const auto release = next(grants);
    BOOST_REQUIRE(release.kind == call_kind::release);
    grants.on_released(release, "", now);
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against a new process that is granted keys with the token of its former one: the registry shows the
// restart seconds after the connection for grants was opened anew.
BOOST_AUTO_TEST_CASE(keys_are_granted_with_a_later_token_over_a_connection_opened_anew)
{
    server_grants grants(make_entry({{0, 99}, {200, 299}}), now);
    grants.on_connected();
    const auto call = next(grants);
    BOOST_CHECK_EQUAL(call.token, 100);
    grants.on_granted(call, now);
    grant_all(grants);
    now = now + renewal_interval;
    grants.on_connected();
    const auto first = next(grants);
    const auto second = next(grants);
    BOOST_CHECK_GT(first.token, 100);
    BOOST_CHECK_EQUAL(second.token, first.token);
}

// Guards against grants with equal tokens: thousands of connections use up the tokens of a front.
BOOST_AUTO_TEST_CASE(a_front_says_in_time_that_it_is_short_of_tokens)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    auto last = next(grants);
    grants.on_granted(last, now);
    while (!grants.is_short_of_tokens())
    {
        grants.on_connected();
        const auto call = next_renewal(grants);
        BOOST_REQUIRE_GT(call.token, last.token);
        grants.on_granted(call, now);
        last = call;
    }
    grants.on_connected();
    BOOST_CHECK_GT(next_renewal(grants).token, last.token);
    entry.token_base = last.token + 4096;
    grants.update(entry, now);
    BOOST_CHECK(!grants.is_short_of_tokens());
}

// Guards against a process that is granted keys with the token of its former one after rejections and new
// connections have used up all tokens of its front.
BOOST_AUTO_TEST_CASE(a_front_without_tokens_grants_nothing_until_it_gets_later_ones)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    std::int64_t last = 0;
    constexpr int rejections_until_spent = 12;
    for (int i = 0; i < rejections_until_spent; ++i)
    {
        const auto call = next(grants);
        BOOST_CHECK_GT(call.token, last);
        last = call.token;
        grants.on_superseded(call, now);
        now = now + duration{15000};
    }
    BOOST_CHECK(!grants.next_call(now, true, grant_duration));
    BOOST_CHECK_GT(grants.next_due(now).ms, now.ms);
    BOOST_CHECK(grants.is_short_of_tokens());
    entry.token_base = last + 4096;
    grants.update(entry, now);
    BOOST_CHECK_GT(next(grants).token, last);
}

// Guards against keys that are never renewed: a backend server that closes its connection after each answer
// had the first range granted again and again.
BOOST_AUTO_TEST_CASE(all_ranges_are_renewed_when_each_answer_closes_the_connection)
{
    server_grants grants(make_entry({{0, 99}, {200, 299}, {400, 499}}), now);
    grants.on_connected();
    grant_all(grants);
    for (int i = 0; i < 100; ++i)
    {
        now = now + duration{60};
        if (grants.next_due(now) <= now)
        {
            grants.on_connected();
            grants.on_granted(next(grants), now);
        }
    }
    BOOST_CHECK(grants.may_send(50, now));
    BOOST_CHECK(grants.may_send(250, now));
    BOOST_CHECK(grants.may_send(450, now));
    BOOST_CHECK_LT(next_renewal(grants).token, 120);
}

// Guards against keys that wait for the end of earlier grants: the connection for grants is opened anew while
// their release is in flight.
BOOST_AUTO_TEST_CASE(released_keys_are_free_when_the_connection_was_opened_anew_meanwhile)
{
    auto entry = make_entry({{0, 99}, {200, 299}});
    entry.prior_grant_remaining = duration{14000};
    server_grants grants(entry, now);
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    const auto release = next(grants);
    BOOST_REQUIRE(release.kind == call_kind::release);
    grants.on_connected();
    grants.on_released(release, "", now);
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against keys that wait for the next renewal although their backend server says that it does not hold
// them, as after a restart.
BOOST_AUTO_TEST_CASE(a_missing_key_is_granted_at_once)
{
    server_grants grants(make_entry({{0, 99}, {200, 299}}), now);
    grant_all(grants);
    now = now + duration{200};
    grants.on_key_missing(250, now);
    const auto call = next(grants);
    BOOST_CHECK(call.range.contains(250));
    grants.on_granted(call, now);
    BOOST_CHECK(!grants.next_call(now, true, grant_duration));
}

// Guards against keys of a process that has ended which stay without service until its grants would have
// ended.
BOOST_AUTO_TEST_CASE(keys_of_an_ended_process_are_free_once_they_are_withdrawn)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    grants.on_lost(next_renewal(grants), now);
    grants.on_ended(now);
    BOOST_CHECK(!grants.may_send(5, now));
    BOOST_CHECK(grants.freed(now).empty());
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    BOOST_CHECK(!grants.next_call(now + duration{1000}, true, grant_duration));
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against two owners: the end of a process at the registered address was taken for the end of one that
// was granted keys at another address before.
BOOST_AUTO_TEST_CASE(the_end_of_a_process_ends_no_grants_at_another_address)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.server.address = {"10.0.0.9", 8000};
    ++entry.revision;
    grants.update(entry, now);
    grants.on_ended(now);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now + duration{3900}).empty());
    BOOST_CHECK_EQUAL(grants.freed(now + duration{4300}).size(), 1U);
}

// Guards against two owners: a grant that was in flight when the backend server was registered at another
// address counted as one at the new address, whose release freed the keys.
BOOST_AUTO_TEST_CASE(a_release_ends_no_grant_that_was_in_flight_to_an_earlier_address)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto former = next(grants);
    now = now + duration{10};
    entry.server.address = {"10.0.0.9", 8000};
    grants.update(entry, now);
    now = now + duration{490};
    grants.on_lost(former, now);
    const auto lost = now;
    now = now + duration{150};
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    const auto release = next(grants);
    BOOST_REQUIRE(release.kind == call_kind::release);
    grants.on_released(release, "", now);
    BOOST_CHECK(grants.freed(now).empty());
    BOOST_CHECK(grants.freed(former.sent + grant_duration).empty());
    BOOST_CHECK_EQUAL(grants.freed(latest_grant_end(lost, grant_duration)).size(), 1U);
}

// Guards against two owners: a former front that another leader still confirms may hold the keys at a later
// process of the backend server.
BOOST_AUTO_TEST_CASE(the_end_of_a_process_ends_no_grants_of_earlier_fronts)
{
    auto entry = make_entry({{0, 99}});
    entry.prior_grant_remaining = duration{14000};
    server_grants grants(entry, now);
    grant_all(grants);
    grants.on_ended(now);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    entry.prior_grant_remaining = duration{14000};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
}

// Guards against keys that are freed although the next process accepted them again before they were
// withdrawn.
BOOST_AUTO_TEST_CASE(keys_granted_after_the_end_of_a_process_are_free_only_after_a_release)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    grants.on_ended(now);
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
    BOOST_CHECK(next(grants).kind == call_kind::release);
}

// Guards against two owners: a grant or a release that was in flight when the registration of a restart came
// no longer counted, and the keys were free while the new process could still hold them or work on them.
BOOST_AUTO_TEST_CASE(calls_in_flight_during_a_restart_free_no_keys)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto grant = next(grants);
    entry.server.start_time_ms = 2;
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
    grants.on_lost(grant, now);
    BOOST_CHECK(grants.freed(now).empty());
    now = now + duration{150};
    const auto release = next(grants);
    BOOST_REQUIRE(release.kind == call_kind::release);
    BOOST_CHECK_GT(release.token, grant.token);
    entry.server.start_time_ms = 3;
    grants.update(entry, now);
    grants.on_released(release, "", now);
    BOOST_CHECK(grants.freed(now).empty());
    BOOST_CHECK_EQUAL(grants.freed(latest_grant_end(now, grant_duration)).size(), 1U);
}

// Guards against two owners: a former front that is cut off from the leader went on trying after the backend
// server had rejected it, and got the keys when that one restarted and knew no tokens any more.
BOOST_AUTO_TEST_CASE(a_superseded_front_grants_nothing_until_it_is_assigned_anew)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    now = now + renewal_interval;
    grants.on_superseded(next(grants), now);
    BOOST_CHECK(!grants.may_send(5, now));
    now = now + max_storeless_time;
    BOOST_CHECK(!grants.next_call(now, true, grant_duration));
    BOOST_CHECK(grants.next_due(now) > now);
    entry.token_base = 200;
    grants.update(entry, now);
    BOOST_CHECK_GE(next(grants).token, 200);
}

// Guards against keys without service: the rejection of a call from before this front was assigned anew.
BOOST_AUTO_TEST_CASE(a_rejection_of_an_earlier_assignment_does_not_stop_grants)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    const auto earlier = next(grants);
    entry.token_base = 200;
    entry.front_token = 200;
    grants.update(entry, now);
    grants.on_superseded(earlier, now);
    now = now + duration{150};
    BOOST_CHECK_GE(next(grants).token, 200);
}

// Guards against keys that stay without service after a rejection that nobody repeats.
BOOST_AUTO_TEST_CASE(a_superseded_front_tries_again_when_no_earlier_leader_can_confirm_it)
{
    server_grants grants(make_entry({{0, 99}}), now);
    const auto rejected = next(grants);
    grants.on_superseded(rejected, now);
    now = now + max_storeless_time + max_confirmation_age;
    BOOST_CHECK_GT(next(grants).token, rejected.token);
}

// Guards against a restarted backend server that is served under the grants of its former process or gets a
// grant with the same token.
BOOST_AUTO_TEST_CASE(a_restarted_backend_server_gets_a_new_grant)
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

// Guards against cold keys after a move: the first grant must carry the handover token of the former holder.
BOOST_AUTO_TEST_CASE(the_first_grant_carries_the_handover_token)
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

// Guards against a front that keeps granting keys of a backend server that another front has taken over.
BOOST_AUTO_TEST_CASE(a_front_that_must_not_grant_makes_no_grant_call)
{
    server_grants grants(make_entry({{0, 99}}), now);
    BOOST_CHECK(!grants.next_call(now, false, grant_duration).has_value());
}

// Guards against two owners: a front that kept its role across a change of leader counted only its own
// grants, while a cut-off leader had been the front in between and still held the keys at the backend server.
BOOST_AUTO_TEST_CASE(a_front_of_two_terms_waits_for_the_fronts_in_between)
{
    auto entry = make_entry({{0, 99}});
    entry.front_token = 100;
    server_grants grants(entry, now);
    grant_all(grants);
    const duration prior_remaining{13800};
    entry.token_base = 300;
    entry.front_token = 300;
    entry.prior_grant_remaining = prior_remaining;
    entry.withdrawn = {{0, 99}};
    const auto learned = now;
    grants.update(entry, now);
    constexpr int lost_calls = 8;
    for (int i = 0; i < lost_calls; ++i)
    {
        grants.on_lost(next(grants), now);
        now = now + duration{300};
    }
    BOOST_CHECK(grants.freed(learned + prior_remaining - duration{1}).empty());
    BOOST_CHECK_EQUAL(grants.freed(learned + prior_remaining).size(), 1U);
}

// Guards against keys without service for the longest grant when the leader changes while a backend server
// drains: a grant with the new token makes the release count at once.
BOOST_AUTO_TEST_CASE(keys_withdrawn_in_a_new_term_are_fenced_and_then_released)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.token_base = 300;
    entry.front_token = 300;
    entry.prior_grant_remaining = duration{13800};
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    const auto fence = next(grants);
    BOOST_CHECK(fence.kind == call_kind::grant);
    BOOST_CHECK_GE(fence.token, 300);
    grants.on_granted(fence, now);
    BOOST_CHECK(!grants.may_send(5, now));
    const auto release = next(grants);
    BOOST_CHECK(release.kind == call_kind::release);
    grants.on_released(release, "warm", now);
    BOOST_CHECK_EQUAL(grants.freed(now).size(), 1U);
}

// Guards against two owners: keys that a front first learned of in a new term of office counted as free of
// earlier grants, while another front had granted them to this backend server in between.
BOOST_AUTO_TEST_CASE(keys_first_seen_in_a_new_term_wait_for_the_fronts_in_between)
{
    auto entry = make_entry({{0, 99}});
    entry.front_token = 100;
    server_grants grants(entry, now);
    grant_all(grants);
    const duration prior_remaining{13800};
    entry.keys = {{0, 199}};
    entry.token_base = 300;
    entry.front_token = 300;
    entry.prior_grant_remaining = prior_remaining;
    entry.withdrawn = {{100, 199}};
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(now).empty());
    BOOST_CHECK(grants.freed(now + prior_remaining - duration{1}).empty());
}

// Guards against two owners: a grant whose answer was lost may have been applied, and a shorter grant with a
// higher token does not shorten it.
BOOST_AUTO_TEST_CASE(a_shorter_grant_does_not_end_a_lost_outage_grant)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    now = now + renewal_interval;
    const auto outage_grant = grants.next_call(now, true, outage_grant_duration);
    BOOST_REQUIRE(outage_grant.has_value());
    const auto applied = now;
    now = now + duration{500};
    grants.on_lost(*outage_grant, now);
    now = now + duration{200};
    grants.on_granted(next(grants), now);
    entry.withdrawn = {{0, 99}};
    ++entry.revision;
    grants.update(entry, now);
    BOOST_CHECK(grants.freed(applied + outage_grant_duration - duration{1}).empty());
}

// Guards against two owners: keys were granted again while their release was on its way, and its answer then
// freed them.
BOOST_AUTO_TEST_CASE(keys_are_not_granted_while_their_release_is_in_flight)
{
    auto entry = make_entry({{0, 99}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.withdrawn = {{0, 99}};
    grants.update(entry, now);
    BOOST_REQUIRE(next(grants).kind == call_kind::release);
    entry.token_base = 300;
    entry.front_token = 300;
    entry.prior_grant_remaining = duration{13800};
    grants.update(entry, now);
    BOOST_CHECK(!grants.next_call(now, true, grant_duration).has_value());
}

// Guards against a log that cannot tell why keys were given on.
BOOST_AUTO_TEST_CASE(free_keys_say_what_shows_it)
{
    auto entry = make_entry({{0, 99}, {200, 299}});
    server_grants grants(entry, now);
    grant_all(grants);
    entry.withdrawn = entry.keys;
    ++entry.revision;
    grants.update(entry, now);
    grants.on_released(next(grants), "", now);
    grants.on_lost(next(grants), now);
    auto freed = grants.freed(now);
    BOOST_REQUIRE_EQUAL(freed.size(), 1U);
    BOOST_CHECK(freed.front().proof == free_proof::release);
    now = latest_grant_end(now, grant_duration);
    freed = grants.freed(now);
    BOOST_REQUIRE_EQUAL(freed.size(), 2U);
    BOOST_CHECK(freed.back().proof == free_proof::grant_end);
    grants.on_ended(now);
    BOOST_CHECK(grants.freed(now).back().proof == free_proof::process_end);
}

BOOST_AUTO_TEST_SUITE_END()
