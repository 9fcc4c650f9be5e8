#include "core/error.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "standins/relay/relay_control.hpp"
#include "standins/relay/tcp_relay.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::standins;
using namespace briarfold::core::literals;

namespace {

namespace asio = core::asio;

asio::awaitable<http::response> greet(http::request, http::endpoint)
{
    http::response answer(200);
    co_return answer;
}

struct fixture
{
    fixture()
    {
        pairs.emplace_back().name = "p";
        pair().listen = {"127.0.0.1", 0};
        pair().target = {"127.0.0.1", target.port()};
        asio::co_spawn(context, relay_tcp(pair()), asio::detached);
        context.poll();
    }

    relay_pair& pair() { return pairs.front(); }

    void set(const nlohmann::json& body)
    {
        const auto answer = answer_control(pairs, {"POST", "/control/pairs/p*", {}, body.dump()});
        BOOST_TEST(answer.status == 200U);
    }

    template <class Result>
    Result run(asio::awaitable<Result> work)
    {
        auto result = asio::co_spawn(context, std::move(work), asio::use_future);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        {
            context.restart();
            context.run_one();
        }
        return result.get();
    }

    bool answers(http::client_connection& connection)
    {
        try
        {
            return run(connection.exchange({"GET", "/", {}, ""}, 300_ms)).status == 200;
        }
        catch (const core::error&)
        {
            return false;
        }
    }

    bool new_connection_answers()
    {
        http::client_connection connection(context.get_executor(), pair().listen);
        run(open(connection));
        return answers(connection);
    }

    static asio::awaitable<bool> open(http::client_connection& connection)
    {
        co_await connection.connect(1000_ms);
        co_return true;
    }

    asio::io_context context;
    http::server target{context.get_executor(), {"127.0.0.1", 0}, greet};
    std::list<relay_pair> pairs;
};

} // namespace

BOOST_AUTO_TEST_CASE(pairs_are_parsed_or_refused)
{
    const auto pair = parse_pair("n,udp,127.0.0.1:1,127.0.0.1:2");
    BOOST_TEST(pair.is_udp);
    BOOST_TEST(pair.target.port == 2);
    BOOST_CHECK_THROW(parse_pair("n,sctp,127.0.0.1:1,127.0.0.1:2"), core::error);
}

// Guards against scenarios whose fault has no effect.
BOOST_AUTO_TEST_CASE(dropped_and_held_bytes_do_not_arrive)
{
    fixture relay;
    BOOST_TEST(relay.new_connection_answers());
    relay.set({{"mode", "hold"}});
    BOOST_TEST(!relay.new_connection_answers());
    BOOST_TEST(relay.pair().bytes_held > 0U);
    relay.set({{"mode", "drop"}});
    BOOST_TEST(!relay.new_connection_answers());
    relay.set({{"mode", "pass"}});
    BOOST_TEST(relay.new_connection_answers());
}

// The fault of a whole pool that goes silent while new connections work.
BOOST_AUTO_TEST_CASE(open_connections_fall_silent_while_new_ones_work)
{
    fixture relay;
    http::client_connection old(relay.context.get_executor(), relay.pair().listen);
    relay.run(fixture::open(old));
    BOOST_TEST(relay.answers(old));
    relay.set({{"mode", "hold"}, {"scope", "existing"}});
    BOOST_TEST(!relay.answers(old));
    BOOST_TEST(relay.new_connection_answers());
}
