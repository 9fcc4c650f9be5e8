#include "leader/leadership_confirmation.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::leader;
using core::duration;
using core::time_point;

namespace {

constexpr duration minute{60000};

} // namespace

// Guards against a cut-off leader that confirms itself for ever: the routers that it took for lost were no
// longer in its directory, so all that were left followed it.
BOOST_AUTO_TEST_CASE(a_leader_without_the_store_and_without_a_router_stops_confirming)
{
    const time_point start{1000000};
    const leadership_confirmation confirmation(start);
    const auto loss = start + duration{1300};
    const auto limit = start + leadership_confirmation::max_storeless_time;
    BOOST_CHECK(confirmation.undisputed_at(loss, loss, true, true) == loss);
    BOOST_CHECK(confirmation.undisputed_at(start + minute, loss, true, true) == limit);
    BOOST_CHECK(confirmation.undisputed_at(start + minute, time_point(), false, true) == limit);
}

// Guards against an outage of the store that ends the service although no router is missing.
BOOST_AUTO_TEST_CASE(a_leader_that_all_routers_follow_goes_on_without_the_store)
{
    const time_point start{1000000};
    leadership_confirmation confirmation(start);
    const auto former_loss = start + duration{500};
    confirmation.on_confirmed(start + duration{1000});
    const auto now = start + minute;
    BOOST_CHECK(confirmation.undisputed_at(now, former_loss, true, true) == now);
}
