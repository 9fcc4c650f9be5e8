#include "http/internal/connection_limit.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using http::internal::connection_wait;

namespace {

const http::internal::wait_limits limits{{15000}, {3000}, {60000}};

} // namespace

// Guards against a crowd of idle or incomplete connections that closes the connection of a processed request.
BOOST_AUTO_TEST_CASE(incomplete_requests_are_closed_before_idle_connections)
{
    const connection_wait processing{0, false, {}};
    const connection_wait writing{10, true, {}};
    const connection_wait idle{20, false, {}};
    const connection_wait incomplete{30, false, {35, 0}};
    const connection_wait later{40, false, {41, 42}};
    using http::internal::choose_connection_to_close;
    BOOST_TEST(*choose_connection_to_close({processing, writing, later, idle, incomplete}) == 4U);
    BOOST_TEST(*choose_connection_to_close({processing, writing, idle}) == 2U);
    BOOST_TEST(!choose_connection_to_close({processing, writing}).has_value());
    BOOST_TEST(!choose_connection_to_close({}).has_value());
}

// Guards against requests that arrive slowly without end, and against the loss of a slow one that is legal.
BOOST_AUTO_TEST_CASE(each_part_of_a_request_has_its_own_timeout)
{
    using http::internal::is_overdue;
    BOOST_TEST(!is_overdue({0, false, {}}, limits, {100000}));
    BOOST_TEST(!is_overdue({1, false, {}}, limits, {15001}));
    BOOST_TEST(is_overdue({1, false, {}}, limits, {15002}));
    BOOST_TEST(!is_overdue({1, false, {14000, 0}}, limits, {17000}));
    BOOST_TEST(is_overdue({1, false, {14000, 0}}, limits, {17001}));
    BOOST_TEST(!is_overdue({1, false, {14000, 15000}}, limits, {75000}));
    BOOST_TEST(is_overdue({1, false, {14000, 15000}}, limits, {75001}));
}
