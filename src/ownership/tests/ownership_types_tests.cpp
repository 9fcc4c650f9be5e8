#include "core/error.hpp"
#include "ownership/ownership_types.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::ownership;

// Guards against a row losing a field between two routers.
BOOST_AUTO_TEST_CASE(row_round_trip)
{
    backend_server server;
    server.id = "fd-01";
    server.service = "fleetdesk";
    server.address = {"127.0.0.1", 9000};
    server.zone = "a";
    server.slots = 6;
    server.connections = 130;
    server.checks_grants = false;
    server.intent = intent::leaving;
    server.incarnation = "inc-1";
    server.epoch = 512;
    server.controller = "router-1";
    server.witnesses = {"router-2", "router-3"};
    server.predecessors = {{"router-0", {"router-1", "router-2"}, 256}};
    server.slices = {{0, 15}, {16, 16}, {17, ~std::uint64_t{0}}};
    server.slices_version = 4;
    BOOST_TEST((parse_backend_server(to_json(server)) == server));
}

BOOST_AUTO_TEST_CASE(malformed_values_are_refused)
{
    BOOST_CHECK_THROW(parse_slice("0000000000000002-0000000000000001"), briarfold::core::error);
    BOOST_CHECK_THROW(parse_slice("2-1"), briarfold::core::error);
    BOOST_CHECK_THROW(parse_intent("gone"), briarfold::core::error);
    BOOST_CHECK_THROW(parse_backend_server({{"id", "x"}}), briarfold::core::error);
}
