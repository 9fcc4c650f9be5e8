#include "http/internal/response_order.hpp"

#include <boost/test/unit_test.hpp>

using briarfold::http::internal::pipeline_limits;
using briarfold::http::internal::response_order;

namespace {

constexpr pipeline_limits limits{3, 1000};

} // namespace

// Guards against responses that are written in the order in which they become ready.
BOOST_AUTO_TEST_CASE(responses_keep_the_order_of_their_requests)
{
    response_order order;
    const auto first = order.start(true, false, 10);
    const auto second = order.start(true, false, 10);
    order.complete(second, 5);
    BOOST_TEST(!order.begin_write(false));
    order.complete(first, 5);
    BOOST_TEST(order.begin_write(false)->id == first);
    BOOST_TEST(!order.begin_write(false));
    order.end_write();
    BOOST_TEST(order.begin_write(false)->id == second);
    order.end_write();
    BOOST_TEST(order.is_empty());
    BOOST_TEST(order.bytes() == 0U);
}

// Guards against an unsafe request that is forwarded behind unanswered ones, and against reading behind it.
BOOST_AUTO_TEST_CASE(unsafe_request_runs_alone)
{
    response_order order;
    const auto safe = order.start(true, false, 10);
    BOOST_TEST(order.may_read(limits, false));
    BOOST_TEST(order.may_start(true, false));
    BOOST_TEST(!order.may_start(false, false));
    order.complete(safe, 0);
    order.begin_write(false);
    BOOST_TEST(!order.may_start(false, false));
    order.end_write();
    BOOST_TEST(order.may_start(false, false));
    order.start(false, false, 10);
    BOOST_TEST(!order.may_read(limits, false));
    BOOST_TEST(!order.may_start(true, false));
}

// Guards against a client that sends without end and reads nothing.
BOOST_AUTO_TEST_CASE(reading_stops_at_the_limits)
{
    response_order by_bytes;
    BOOST_TEST(by_bytes.may_read({0, 0}, false));
    const auto first = by_bytes.start(true, false, 600);
    BOOST_TEST(by_bytes.may_read(limits, false));
    by_bytes.complete(first, 400);
    BOOST_TEST(!by_bytes.may_read(limits, false));
    response_order by_number;
    by_number.start(true, false, 1);
    by_number.start(true, false, 1);
    BOOST_TEST(by_number.may_read(limits, false));
    by_number.start(true, false, 1);
    BOOST_TEST(!by_number.may_read(limits, false));
}

// Guards against a request that is forwarded behind a closing response, and against a closing response before
// a request that was forwarded.
BOOST_AUTO_TEST_CASE(only_the_last_started_request_closes)
{
    response_order order;
    const auto first = order.start(true, false, 1);
    const auto second = order.start(true, false, 1);
    order.complete(first, 1);
    order.complete(second, 1);
    BOOST_TEST(!order.may_read(limits, true));
    BOOST_TEST(!order.may_start(true, true));
    BOOST_TEST(!order.begin_write(true)->closes);
    order.end_write();
    BOOST_TEST(order.begin_write(true)->closes);
    BOOST_TEST(order.is_closing());
    order.end_write();
    BOOST_TEST(!order.may_start(true, false));
    BOOST_TEST(!order.may_read(limits, false));
}

// Guards against reading behind a request that closes its connection.
BOOST_AUTO_TEST_CASE(nothing_follows_a_request_that_closes)
{
    response_order order;
    const auto last = order.start(true, true, 1);
    BOOST_TEST(!order.may_read(limits, false));
    BOOST_TEST(!order.may_start(true, false));
    order.complete(last, 1);
    BOOST_TEST(order.begin_write(false)->closes);
}
