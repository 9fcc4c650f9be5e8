#include "core/pause.hpp"
#include "http/server.hpp"

#include <boost/algorithm/string/find.hpp>
#include <boost/test/unit_test.hpp>

#include <list>
#include <map>
#include <memory>

using namespace briarfold;
namespace asio = core::asio;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t budget_bytes = std::size_t{100} << 20U;

std::string make_text(const std::string& target, const std::string& headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

/// A server whose handler answers a target when the test releases it, and one connection to it. Targets that
/// begin with /safe run concurrently; the body of a response is its target.
struct pipelined_connection
{
    explicit pipelined_connection(http::server_limits limits = {}) : caller(context)
    {
        hooks.may_run_concurrently = [](const http::request& message) {
            return message.target.starts_with("/safe");
        };
        hooks.on_loss = [this](const http::unanswered_request& request, const std::string&) {
            lost.push_back(request.target);
        };
        hooks.budget = std::make_shared<http::transfer_budget>(budget_bytes);
        server.emplace(context.get_executor(), http::endpoint{"127.0.0.1", 0},
                       http::watched_handler([this](http::request message, const http::endpoint&,
                                                    const std::shared_ptr<core::cancellation>& departure) {
                           return answer(std::move(message), departure);
                       }),
                       limits, hooks);
        caller.connect({asio::ip::make_address("127.0.0.1"), server->port()});
    }

    asio::awaitable<http::response> answer(http::request message,
                                           std::shared_ptr<core::cancellation> departure)
    {
        started.push_back(message.target);
        const auto gate =
            std::make_shared<asio::steady_timer>(context, asio::steady_timer::time_point::max());
        gates[message.target] = gate;
        departure->set_hook([this, target = message.target, gate] {
            departed.push_back(target);
            gate->cancel();
        });
        boost::system::error_code ignored;
        co_await gate->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        departure->set_hook({});
        if (message.target == "/safe-throws")
        {
            throw std::runtime_error("no answer");
        }
        // Appending without a reserve would double the capacity, which counts in the budget.
        std::string body;
        body.reserve(message.target.size() + answer_bytes);
        body.append(message.target).append(answer_bytes, '.');
        co_return http::response(200, {}, std::move(body));
    }

    void send(const std::string& text)
    {
        asio::write(caller, asio::buffer(text));
        run();
    }

    void release(const std::string& target)
    {
        BOOST_REQUIRE_MESSAGE(gates.contains(target), target << " was not started");
        gates[target]->cancel();
        run();
    }

    void run(milliseconds time = milliseconds(40))
    {
        context.restart();
        context.run_for(time);
    }

    /// Everything that was received so far.
    const std::string& receive()
    {
        boost::system::error_code code;
        caller.non_blocking(true);
        asio::read(caller, asio::dynamic_buffer(received), code);
        is_at_end = code == asio::error::eof;
        return received;
    }

    /// Whether the parts were received in this order.
    bool has_received(const std::vector<std::string>& parts)
    {
        std::size_t from = 0;
        receive();
        for (const auto& part : parts)
        {
            from = received.find(part, from);
            if (from == std::string::npos)
            {
                return false;
            }
            from += part.size();
        }
        return true;
    }

    asio::io_context context;
    http::server_hooks hooks;
    std::vector<std::string> started;
    std::vector<std::string> departed;
    std::vector<std::string> lost;
    std::map<std::string, std::shared_ptr<asio::steady_timer>> gates;
    std::size_t answer_bytes = 0;
    std::optional<http::server> server;
    asio::ip::tcp::socket caller;
    std::string received;
    bool is_at_end = false;
};

using names = std::vector<std::string>;

} // namespace

// Guards against requests that wait for each other, and against responses in the order of their completion.
BOOST_AUTO_TEST_CASE(safe_requests_run_concurrently_and_are_answered_in_order)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe2"));
    connection.send(make_text("/safe3"));
    BOOST_TEST(connection.started == names({"/safe1", "/safe2", "/safe3"}), boost::test_tools::per_element());
    connection.release("/safe3");
    connection.release("/safe2");
    BOOST_TEST(connection.receive().empty());
    connection.release("/safe1");
    BOOST_TEST(connection.has_received({"/safe1", "/safe2", "/safe3"}));
    BOOST_TEST(connection.server->in_flight() == 0U);
    // The buffer of the read of the next request counts.
    constexpr std::size_t read_buffer_bytes = 1024;
    BOOST_TEST(connection.hooks.budget->held_bytes() <= read_buffer_bytes);
}

// Guards against an unsafe request that runs beside others, in front of them or behind them.
BOOST_AUTO_TEST_CASE(unsafe_request_runs_alone_on_its_connection)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/once") + make_text("/safe2"));
    BOOST_TEST(connection.started == names({"/safe1"}), boost::test_tools::per_element());
    connection.release("/safe1");
    BOOST_TEST(connection.started == names({"/safe1", "/once"}), boost::test_tools::per_element());
    connection.release("/once");
    connection.release("/safe2");
    BOOST_TEST(connection.has_received({"/safe1", "/once", "/safe2"}));
}

// Guards against a request that is forwarded behind a response that closes the connection.
BOOST_AUTO_TEST_CASE(nothing_runs_behind_a_closing_response)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe2", "Connection: close\r\n") + make_text("/safe3"));
    connection.release("/safe2");
    connection.release("/safe1");
    BOOST_TEST(connection.started == names({"/safe1", "/safe2"}), boost::test_tools::per_element());
    BOOST_TEST(connection.has_received({"/safe1", "Connection: close", "/safe2"}));
    BOOST_TEST(connection.is_at_end);
}

// Guards against a stop that leaves a forwarded request without its response, or that forwards more.
BOOST_AUTO_TEST_CASE(stop_answers_what_was_started_only)
{
    for (const bool is_drain : {true, false})
    {
        pipelined_connection connection;
        connection.send(make_text("/safe1") + make_text("/safe2") + make_text("/once"));
        is_drain ? connection.server->begin_drain() : connection.server->begin_stop();
        connection.send(make_text("/safe3"));
        connection.release("/safe2");
        connection.release("/safe1");
        BOOST_TEST(connection.started == names({"/safe1", "/safe2"}), boost::test_tools::per_element());
        BOOST_TEST(connection.has_received({"/safe1", "Connection: close", "/safe2"}));
        BOOST_TEST(connection.is_at_end);
    }
}

// Guards against requests whose client has left and that occupy slots until their deadlines.
BOOST_AUTO_TEST_CASE(departure_cancels_all_requests)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe2"));
    connection.caller.close();
    connection.run();
    BOOST_TEST(connection.departed == names({"/safe1", "/safe2"}), boost::test_tools::per_element());
    connection.run();
    BOOST_TEST(connection.server->connections() == 0U);
    BOOST_TEST(connection.server->in_flight() == 0U);
}

// Guards against a departure that is hidden by unread bytes of further requests.
BOOST_AUTO_TEST_CASE(departure_behind_unread_requests_is_noticed)
{
    pipelined_connection connection;
    connection.send(make_text("/once"));
    connection.send(make_text("/safe1"));
    connection.caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    connection.run(milliseconds(200));
    BOOST_TEST(connection.departed == names({"/once"}), boost::test_tools::per_element());
}

// Guards against a loss that is reported for one of several requests only.
BOOST_AUTO_TEST_CASE(each_unanswered_request_is_reported)
{
    pipelined_connection connection;
    connection.answer_bytes = 8000000;
    connection.send(make_text("/safe1") + make_text("/safe2") + make_text("/safe3"));
    connection.release("/safe2");
    connection.caller.set_option(asio::socket_base::linger(true, 0));
    connection.caller.close();
    connection.run(milliseconds(200));
    std::ranges::sort(connection.lost);
    BOOST_TEST(connection.lost == names({"/safe1", "/safe2", "/safe3"}), boost::test_tools::per_element());
    BOOST_TEST(connection.server->connections() == 0U);
    BOOST_TEST(connection.hooks.budget->held_bytes() == 0U);
}

// Guards against a malformed request that takes the responses of valid ones with it.
BOOST_AUTO_TEST_CASE(parse_error_is_answered_behind_valid_requests)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe2") + "no request at all\r\n\r\n");
    BOOST_TEST(connection.receive().empty());
    connection.release("/safe2");
    connection.release("/safe1");
    BOOST_TEST(connection.has_received({"/safe1", "/safe2", "HTTP/1.1 400", "Connection: close"}));
    BOOST_TEST(connection.is_at_end);
}

// Guards against an exception that ends the connection or moves another response to its place.
BOOST_AUTO_TEST_CASE(handler_that_throws_is_answered_in_its_place)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe-throws") + make_text("/safe2"));
    connection.release("/safe-throws");
    connection.release("/safe2");
    connection.release("/safe1");
    BOOST_TEST(connection.has_received({"200 OK", "/safe1", "HTTP/1.1 500", "200 OK", "/safe2"}));
}

// Guards against a response to HEAD that carries a body, which would be read as the next response, or that
// states the length of its missing body as 0.
BOOST_AUTO_TEST_CASE(response_to_head_states_its_length_without_a_body)
{
    pipelined_connection connection;
    connection.send("HEAD /safe1 HTTP/1.1\r\nHost: a\r\n\r\n" + make_text("/safe22"));
    connection.release("/safe22");
    connection.release("/safe1");
    BOOST_TEST(connection.has_received({"Content-Length: 6\r\n\r\nHTTP/1.1 200", "/safe22"}));
}

// Guards against a response that is cut off when the request read behind it is given up for lack of memory.
BOOST_AUTO_TEST_CASE(request_given_up_leaves_the_response_before_it_whole)
{
    constexpr std::size_t piece_bytes = 100000;
    constexpr std::size_t body_bytes = 160 * piece_bytes;
    http::server_limits limits;
    limits.body_bytes = 2 * body_bytes;
    pipelined_connection connection(limits);
    // More than the socket buffers hold, so that it is still being written; less than the body, as the
    // largest message is given up.
    connection.answer_bytes = 12000000;
    connection.send(make_text("/safe1"));
    connection.release("/safe1");
    connection.send("POST /safe2 HTTP/1.1\r\nHost: a\r\nContent-Length: 17000000\r\n\r\n");
    for (std::size_t sent = 0; sent < body_bytes; sent += piece_bytes)
    {
        asio::write(connection.caller, asio::buffer(std::string(piece_bytes, 'b')));
        connection.run(milliseconds(5));
    }
    const auto held = connection.hooks.budget->held_bytes();
    BOOST_TEST(held > connection.answer_bytes + body_bytes);
    // Smaller messages fill the budget and cannot be given up themselves.
    std::list<http::held_message> others;
    for (std::size_t total = held; total <= budget_bytes; total += body_bytes / 2)
    {
        BOOST_TEST(others.emplace_back(connection.hooks.budget).resize(body_bytes / 2));
    }
    BOOST_TEST(connection.hooks.budget->given_up() == 1U);
    for (int i = 0; i < 50; ++i)
    {
        connection.receive();
        connection.run(milliseconds(10));
    }
    BOOST_TEST(connection.has_received({"200 OK", "/safe1", "HTTP/1.1 503", "Connection: close"}));
    BOOST_TEST(connection.received.size() > connection.answer_bytes);
    BOOST_TEST(connection.started == names({"/safe1"}), boost::test_tools::per_element());
}

// Guards against a client that sends requests without end and reads no response.
BOOST_AUTO_TEST_CASE(client_that_reads_nothing_is_bounded)
{
    http::server_limits limits;
    limits.pipelined_requests = 4;
    limits.pipelined_bytes = 100000;
    pipelined_connection connection(limits);
    connection.answer_bytes = 8000000;
    for (int i = 0; i < 20; ++i)
    {
        connection.send(make_text("/safe" + std::to_string(i)));
    }
    BOOST_TEST(connection.started.size() == limits.pipelined_requests);
    connection.release("/safe0");
    connection.run();
    BOOST_TEST(connection.started.size() == limits.pipelined_requests);
    BOOST_TEST(connection.hooks.budget->held_bytes() < 2 * connection.answer_bytes);
}

// Guards against requests that stay without a response when the process ends.
BOOST_AUTO_TEST_CASE(unfinished_requests_are_all_answered_before_the_end)
{
    pipelined_connection connection;
    connection.send(make_text("/safe1") + make_text("/safe2") + make_text("/safe3"));
    connection.release("/safe2");
    constexpr unsigned status_gateway_timeout = 504;
    connection.server->answer_unfinished(http::response(status_gateway_timeout));
    connection.run();
    BOOST_TEST(connection.has_received(
        {"HTTP/1.1 504", "HTTP/1.1 200", "/safe2", "HTTP/1.1 504", "Connection: close"}));
    BOOST_TEST(connection.is_at_end);
}

// Guards against concurrent processing at servers whose handlers do not state that they allow it.
BOOST_AUTO_TEST_CASE(without_the_hook_requests_run_one_after_the_other)
{
    asio::io_context context;
    int running = 0;
    int most = 0;
    http::server server(
        context.get_executor(), {"127.0.0.1", 0},
        http::handler([&](http::request message, http::endpoint) -> asio::awaitable<http::response> {
            most = std::max(most, ++running);
            co_await core::pause_for(core::duration{5});
            --running;
            co_return http::response(200, {}, message.target);
        }));
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(make_text("/safe1") + make_text("/safe2")));
    context.run_for(milliseconds(60));
    std::string answers;
    boost::system::error_code code;
    caller.non_blocking(true);
    asio::read(caller, asio::dynamic_buffer(answers), code);
    BOOST_TEST(most == 1);
    BOOST_TEST(answers.find("/safe1") < answers.find("/safe2"));
    BOOST_TEST(answers.find("/safe2") != std::string::npos);
}
