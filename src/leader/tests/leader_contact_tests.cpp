#include "leader/leader_contact.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using core::duration;
using core::time_point;
using leader::leader_contact;

BOOST_AUTO_TEST_SUITE(leader_contacts)

// Guards against elections against a leader that is only busy: after a start of all routers it answers some
// reports late.
BOOST_AUTO_TEST_CASE(a_slow_answer_is_not_a_loss)
{
    time_point now{1000000};
    leader_contact contact(now);
    for (int report = 0; report < 20; ++report)
    {
        now = now + duration{450};
        report % 2 == 0 ? contact.on_timeout() : contact.on_contact(now);
        BOOST_CHECK(!contact.is_lost(now, {}));
    }
}

// Guards against a dead leader that is kept: its address refuses connections, or it does not answer.
BOOST_AUTO_TEST_CASE(a_dead_leader_is_lost)
{
    time_point now{1000000};
    leader_contact refused(now);
    refused.on_contact(now);
    for (int report = 0; report < leader_contact::max_failures; ++report)
    {
        BOOST_CHECK(!refused.is_lost(now, {}));
        now = now + leader_contact::min_report_interval;
        refused.on_failure();
    }
    BOOST_CHECK(refused.is_lost(now, duration{60000}));
    BOOST_CHECK(!refused.can_vouch(now));
    const leader_contact silent(now);
    BOOST_CHECK(silent.is_lost(now + duration{1101}, {}));
    BOOST_CHECK(!silent.is_lost(now + duration{1101}, duration{600}));
}

// Guards against witnesses that keep a dead leader in office: whoever missed its own last answer cannot
// vouch.
BOOST_AUTO_TEST_CASE(only_routers_in_contact_vouch)
{
    const time_point now{1000000};
    leader_contact contact(now);
    BOOST_CHECK(!contact.can_vouch(now));
    contact.on_contact(now);
    BOOST_CHECK(contact.can_vouch(now + leader_contact::min_report_interval));
    contact.on_timeout();
    BOOST_CHECK(!contact.can_vouch(now + leader_contact::min_report_interval));
    contact.on_contact(now);
    contact.on_leader_named(now);
    BOOST_CHECK(!contact.can_vouch(now));
}

// Guards against a large group that takes the longer interval between its reports for a loss or an outage.
BOOST_AUTO_TEST_CASE(timeouts_grow_with_the_report_interval)
{
    const time_point now{1000000};
    leader_contact contact(now);
    contact.set_report_interval(duration{1200});
    BOOST_CHECK(!contact.is_lost(now + duration{3500}, {}));
    BOOST_CHECK(!contact.may_be_outage(now + duration{2300}));
    BOOST_CHECK(contact.is_connected(now + duration{4700}));
    contact.set_report_interval(duration{0});
    BOOST_CHECK(contact.report_interval() == leader_contact::min_report_interval);
}

BOOST_AUTO_TEST_SUITE_END()
