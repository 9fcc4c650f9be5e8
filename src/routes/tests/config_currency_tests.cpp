#include "routes/config_currency.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::core::literals;

namespace {

constexpr core::duration max_delay{2000};
constexpr core::time_point start{50000};

} // namespace

BOOST_AUTO_TEST_SUITE(config_currency_cases)

// Guards against a router that follows a slow leader and never looks for a newer configuration itself.
BOOST_AUTO_TEST_CASE(a_configuration_is_checked_before_a_change_is_overdue)
{
    routes::config_currency currency(max_delay, start);
    BOOST_CHECK(currency.next_check() > start + 1200_ms);
    BOOST_CHECK(currency.next_check() <= start + 1400_ms);
    BOOST_CHECK(currency.is_current(currency.next_check()));
    BOOST_CHECK(!currency.is_current(start + 1800_ms));
}

// Guards against needless reads of the store while the leader confirms the configuration.
BOOST_AUTO_TEST_CASE(a_confirmation_delays_the_next_check)
{
    routes::config_currency currency(max_delay, start);
    const auto first = currency.next_check();
    currency.on_confirmed(start + 500_ms);
    BOOST_CHECK(currency.next_check() == first + 500_ms);
    // An answer that was delayed does not make the configuration older.
    currency.on_confirmed(start + 100_ms);
    BOOST_CHECK(currency.next_check() == first + 500_ms);
    BOOST_CHECK_EQUAL(currency.age(start + 900_ms).ms, 400);
}

// Guards against routers that flood a store that fails.
BOOST_AUTO_TEST_CASE(failed_checks_are_repeated_less_and_less_often)
{
    routes::config_currency currency(max_delay, start);
    auto now = currency.next_check();
    core::duration former;
    for (int i = 0; i < 8; ++i)
    {
        currency.on_check_failed(now);
        BOOST_CHECK(!currency.may_check(now));
        const auto delay = currency.next_check() - now;
        BOOST_CHECK(delay >= former);
        former = delay;
        now = currency.next_check();
        BOOST_CHECK(currency.may_check(now));
    }
    BOOST_CHECK(former >= 2000_ms);
    BOOST_CHECK(currency.is_long_unconfirmed(now));
    currency.on_confirmed(now);
    BOOST_CHECK(currency.next_check() < now + 1500_ms);
    BOOST_CHECK(!currency.is_long_unconfirmed(now));
}

BOOST_AUTO_TEST_SUITE_END()
