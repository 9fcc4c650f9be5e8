#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"

#include <boost/algorithm/string/split.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>
#include <ranges>
#include <thread>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

/// Runs an io_context on one thread for the time of a test.
struct running_context
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    std::thread thread{[this] { context.run(); }};

    ~running_context()
    {
        guard.reset();
        context.stop();
        thread.join();
    }

    template <class Function>
    auto run(Function function)
    {
        return asio::co_spawn(context, std::move(function), asio::use_future).get();
    }
};

asio::awaitable<http::response> echo(http::request message, http::endpoint)
{
    http::response answer{200, {{"X-Method", message.method}}, message.target + "|" + message.body};
    co_return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(connection_carries_several_exchanges)
{
    running_context runner;
    http::server server(runner.context.get_executor(), {"127.0.0.1", 0}, echo);
    const auto last = runner.run([&]() -> asio::awaitable<http::response> {
        http::client_connection connection(co_await asio::this_coro::executor, {"127.0.0.1", server.port()});
        co_await connection.connect(1000_ms);
        co_await connection.exchange({"GET", "/a", {}, ""}, 1000_ms);
        co_return co_await connection.exchange({"POST", "/b", {}, "body"}, 1000_ms);
    });
    BOOST_TEST(last.body == "/b|body");
    BOOST_TEST(http::find_header(last.headers, "x-method") == "POST");
}

// Guards against a connection that is used again after a timed-out exchange: its late answer would reach the
// next caller.
BOOST_AUTO_TEST_CASE(timed_out_connection_is_closed)
{
    running_context runner;
    http::server server(runner.context.get_executor(), {"127.0.0.1", 0},
                        [](http::request, http::endpoint) -> asio::awaitable<http::response> {
                            asio::steady_timer timer(co_await asio::this_coro::executor,
                                                     std::chrono::milliseconds(300));
                            co_await timer.async_wait(asio::use_awaitable);
                            co_return http::response{};
                        });
    runner.run([&]() -> asio::awaitable<void> {
        http::client_connection connection(co_await asio::this_coro::executor, {"127.0.0.1", server.port()});
        co_await connection.connect(1000_ms);
        bool is_timeout = false;
        try
        {
            co_await connection.exchange({"GET", "/", {}, ""}, 50_ms);
        }
        catch (const core::timeout_error&)
        {
            is_timeout = true;
        }
        BOOST_TEST(is_timeout);
        BOOST_TEST(connection.has_sent_bytes());
        BOOST_TEST(!connection.is_open());
    });
}

// Guards against a call that timed out and is delivered when a partition heals, since its connection was
// closed without a reset.
BOOST_AUTO_TEST_CASE(timed_out_exchange_resets_its_connection)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    boost::system::error_code end;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            std::string input;
            co_await asio::async_read(socket, asio::dynamic_buffer(input),
                                      asio::redirect_error(asio::use_awaitable, end));
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http::client_connection connection(context.get_executor(),
                                               {"127.0.0.1", acceptor.local_endpoint().port()});
            co_await connection.connect(1000_ms);
            try
            {
                co_await connection.exchange({"GET", "/", {}, ""}, 50_ms);
                BOOST_ERROR("the exchange did not time out");
            }
            catch (const core::timeout_error&)
            {
                BOOST_CHECK(!connection.is_open());
            }
        },
        asio::detached);
    context.run();
    BOOST_CHECK_EQUAL(end.message(), boost::system::error_code(asio::error::connection_reset).message());
}

namespace {

/// Accepts one connection and writes `beginning` and then `repeated` until the caller closes. Returns the
/// number of bytes written.
asio::awaitable<std::size_t> send_without_end(asio::ip::tcp::acceptor& acceptor, std::string beginning,
                                              std::string repeated)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::size_t written = 0;
    boost::system::error_code code;
    const auto block = std::make_shared<std::string>();
    while (block->size() < 65536)
    {
        *block += repeated;
    }
    co_await asio::async_write(socket, asio::buffer(beginning),
                               asio::redirect_error(asio::use_awaitable, code));
    while (!code)
    {
        written += co_await asio::async_write(socket, asio::buffer(*block),
                                              asio::redirect_error(asio::use_awaitable, code));
    }
    co_return written;
}

/// Makes one exchange with a server that sends bytes without end, and returns how many it could send.
std::size_t exchange_without_end(const std::string& beginning, const std::string& repeated)
{
    running_context runner;
    asio::ip::tcp::acceptor acceptor(runner.context, {asio::ip::make_address("127.0.0.1"), 0});
    auto written =
        asio::co_spawn(runner.context, send_without_end(acceptor, beginning, repeated), asio::use_future);
    bool is_refused = false;
    runner.run([&]() -> asio::awaitable<void> {
        http::answer_limits limits;
        limits.body_bytes = 1000000;
        http::client_connection connection(co_await asio::this_coro::executor,
                                           {"127.0.0.1", acceptor.local_endpoint().port()}, limits);
        co_await connection.connect(1000_ms);
        try
        {
            co_await connection.exchange({"GET", "/", {}, ""}, 20000_ms);
        }
        catch (const core::connection_error&)
        {
            is_refused = !connection.is_open();
        }
    });
    BOOST_TEST(is_refused);
    return written.get();
}

} // namespace

// Guards against a backend server that sends bytes without end, as a head, as a body of each framing, or as
// interim answers: the router's memory grew until the request's timeout, and the slot stayed taken until
// then.
BOOST_AUTO_TEST_CASE(answers_without_end_are_cut_off)
{
    // Bytes that fit into the socket buffers of both sides can be written although nobody reads them.
    constexpr std::size_t max_written = 16000000;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    BOOST_TEST(exchange_without_end(head, "X-Filler: more\r\n") < max_written);
    BOOST_TEST(exchange_without_end("", "no answer at all ") < max_written);
    BOOST_TEST(exchange_without_end(head + "\r\n", "body until the connection ends ") < max_written);
    BOOST_TEST(exchange_without_end(head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nchunk\r\n") <
               max_written);
    BOOST_TEST(exchange_without_end(head + "Content-Length: 99999999999\r\n\r\n", "counted ") < max_written);
    BOOST_TEST(exchange_without_end("", "HTTP/1.1 100 Continue\r\n\r\n") < max_written);
}

namespace {

enum class ending
{
    closed,
    reset
};

/// Answers the requests of one connection: each but the last with `earlier`, the last with `text`, after
/// which the connection ends.
asio::awaitable<void> answer_and_end(asio::ip::tcp::acceptor& acceptor, std::vector<std::string> earlier,
                                     std::string text, ending kind)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string input;
    earlier.push_back(text);
    for (const auto& answer : earlier)
    {
        const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                                          asio::use_awaitable);
        input.erase(0, size);
        co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
    }
    if (kind == ending::reset)
    {
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
}

/// Sends as many requests as `earlier` has answers and one more, and returns the last answer; nullopt if it
/// is not whole.
std::optional<http::response> read_answer(const std::string& method, const std::vector<std::string>& earlier,
                                          const std::string& text, ending kind)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::optional<http::response> answer;
    asio::co_spawn(context, answer_and_end(acceptor, earlier, text, kind), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http::client_connection connection(context.get_executor(),
                                               {"127.0.0.1", acceptor.local_endpoint().port()});
            co_await connection.connect(1000_ms);
            for (std::size_t i = 0; i < earlier.size(); ++i)
            {
                co_await connection.exchange({method, "/", {}, ""}, 1000_ms);
            }
            try
            {
                answer = co_await connection.exchange({method, "/", {}, ""}, 1000_ms);
            }
            catch (const core::error&)
            {
                BOOST_CHECK(!connection.is_open());
            }
        },
        asio::detached);
    context.run();
    return answer;
}

/// Checks that no part of `text` from its beginning counts as an answer, up to `first_whole` bytes.
void check_parts(const std::string& method, const std::vector<std::string>& earlier, const std::string& text,
                 std::size_t first_whole)
{
    for (std::size_t size = 0; size < first_whole; ++size)
    {
        for (const auto kind : {ending::closed, ending::reset})
        {
            const auto answer = read_answer(method, earlier, text.substr(0, size), kind);
            BOOST_CHECK_MESSAGE(!answer, method << " got " << (answer ? answer->status : 0) << " with "
                                                << (answer ? answer->body.size() : 0) << " bytes after "
                                                << size << " of " << text.size());
        }
    }
    BOOST_CHECK(read_answer(method, earlier, text, ending::closed).has_value());
}

} // namespace

// Guards against an answer that ends in the middle of its head, a chunk or its body and is handed on as a
// whole one with an empty or short body.
BOOST_AUTO_TEST_CASE(part_of_an_answer_is_no_answer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n";
    const auto counted = head + "Content-Length: 5\r\n\r\nwhole";
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
    const auto interim = "HTTP/1.1 100 Continue\r\n\r\n" + counted;
    check_parts("GET", {}, counted, counted.size());
    check_parts("POST", {counted}, counted, counted.size());
    check_parts("GET", {}, chunked, chunked.size());
    check_parts("GET", {chunked}, chunked, chunked.size());
    check_parts("GET", {}, interim, interim.size());
    const auto only_head = head + "Content-Length: 5\r\n\r\n";
    check_parts("HEAD", {}, only_head, only_head.size());
}

// Guards against an answer without a length that is cut off by a reset, or in its head, and counts as whole.
BOOST_AUTO_TEST_CASE(answer_without_a_length_ends_with_its_connection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n\r\n";
    const auto text = head + "whole";
    check_parts("GET", {}, text, head.size());
    BOOST_CHECK(!read_answer("GET", {}, text, ending::reset));
    const auto answer = read_answer("GET", {}, text, ending::closed);
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, "whole");
}

// Guards against a faulty server whose bytes are handed on as an answer although their status is none, or
// belongs to another protocol.
BOOST_AUTO_TEST_CASE(answer_without_a_final_status_is_no_answer)
{
    for (const auto* const status : {"000 Nothing", "001 Low", "099 Low", "101 Switching Protocols",
                                     "600 High", "999 High", "0 Short", "20 Short"})
    {
        const auto text =
            "HTTP/1.1 " + std::string(status) + "\r\nX-Attempt: a1\r\nContent-Length: 0\r\n\r\n";
        const auto answer = read_answer("GET", {}, text, ending::closed);
        BOOST_CHECK_MESSAGE(!answer, status << " got " << (answer ? answer->status : 0));
    }
    for (const auto* const status : {"200 OK", "299 Last", "404 Not Found", "599 Last"})
    {
        const auto text = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        BOOST_CHECK(read_answer("GET", {}, text, ending::closed).has_value());
    }
}

// Guards against an answer that is handed on without its body, and whose body is read as the next answer.
BOOST_AUTO_TEST_CASE(answer_with_a_body_that_its_status_forbids_is_no_answer)
{
    const std::string body = "Content-Length: 5\r\n\r\nwhole";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const auto& rest : {body, chunks})
    {
        BOOST_CHECK(!read_answer("GET", {}, "HTTP/1.1 204 No Content\r\n" + rest, ending::closed));
        BOOST_CHECK(!read_answer("GET", {}, "HTTP/1.1 304 Not Modified\r\n" + rest, ending::closed));
    }
    const std::string empty = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    BOOST_CHECK(read_answer("GET", {}, empty, ending::closed).has_value());
    // Here the length is that of the answer that is not sent again.
    const std::string unchanged = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
    BOOST_CHECK(read_answer("GET", {}, unchanged, ending::closed).has_value());
}

// Guards against a request that was read and handled, and whose connection was closed as idle before its
// coroutine went on. Closes at every step of an exchange.
BOOST_AUTO_TEST_CASE(closing_idle_connections_answers_requests_already_read)
{
    constexpr int most_steps = 60;
    for (const int steps : std::views::iota(0, most_steps))
    {
        asio::io_context context;
        int handled = 0;
        http::server server(
            context.get_executor(), {"127.0.0.1", 0},
            [&handled](http::request message, http::endpoint caller) -> asio::awaitable<http::response> {
                ++handled;
                return echo(std::move(message), std::move(caller));
            });
        asio::io_context caller_context;
        asio::ip::tcp::socket caller(caller_context);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        const std::string get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(caller, asio::buffer(get + get));
        for (int step = 0; step < steps; ++step)
        {
            context.poll_one();
        }
        server.close_idle();
        context.run_for(std::chrono::milliseconds(5));
        std::string answers;
        boost::system::error_code code;
        caller.non_blocking(true);
        asio::read(caller, asio::dynamic_buffer(answers), code);
        std::vector<std::string> found;
        const auto answered =
            static_cast<int>(boost::algorithm::find_all(found, answers, "HTTP/1.1 200").size());
        BOOST_TEST(answered == handled, "closed after " << steps << " steps: " << answered << " of "
                                                        << handled << " handled requests were answered");
    }
}

// Guards against work for a caller that closed its connection before its request was read.
BOOST_AUTO_TEST_CASE(departure_before_the_read_is_known_to_the_handler)
{
    asio::io_context context;
    std::optional<bool> was_departed;
    http::server server(
        context.get_executor(), {"127.0.0.1", 0},
        http::watched_handler([&was_departed](http::request message, http::endpoint caller,
                                              const std::shared_ptr<core::cancellation>& departure)
                                  -> asio::awaitable<http::response> {
            was_departed = departure->is_cancelled();
            return echo(std::move(message), std::move(caller));
        }));
    asio::io_context caller_context;
    asio::ip::tcp::socket caller(caller_context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: a\r\n\r\n")));
    caller.close();
    context.run_for(std::chrono::milliseconds(50));
    BOOST_REQUIRE(was_departed.has_value());
    BOOST_TEST(*was_departed);
}

// Guards against a connection that stays open without an answer: an exception other than a failed write left
// its coroutine, and a stop waited for it until the end of the grace time.
BOOST_AUTO_TEST_CASE(connection_whose_answer_cannot_be_written_is_closed)
{
    asio::io_context context;
    std::optional<http::unanswered_request> lost;
    http::server_hooks hooks;
    hooks.on_loss = [&lost](const http::unanswered_request& request, const std::string&) { lost = request; };
    http::server server(context.get_executor(), {"127.0.0.1", 0},
                        http::handler([](http::request, http::endpoint) -> asio::awaitable<http::response> {
                            constexpr unsigned no_status = 1000;
                            co_return http::response(no_status);
                        }),
                        http::server_limits(), hooks);
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: a\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(server.connections() == 0U);
    BOOST_TEST(server.in_flight() == 0U);
    BOOST_REQUIRE(lost);
    BOOST_TEST(lost->target == "/a");
}

// Guards against the loss of an answer that is on its way: a connection that is closed with unread bytes of
// the caller is reset.
BOOST_AUTO_TEST_CASE(last_answer_arrives_although_the_caller_sent_more)
{
    constexpr std::size_t answer_bytes = 3000000;
    asio::io_context context;
    http::server server(context.get_executor(), {"127.0.0.1", 0},
                        http::handler([](http::request, http::endpoint) -> asio::awaitable<http::response> {
                            co_return http::response(200, {}, std::string(answer_bytes, 'a'));
                        }));
    asio::io_context caller_context;
    asio::ip::tcp::socket caller(caller_context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(20));
    asio::write(caller, asio::buffer(std::string("\r\n")));
    std::thread runner([&context] { context.run_for(std::chrono::milliseconds(1500)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::string input;
    boost::system::error_code code;
    asio::read(caller, asio::dynamic_buffer(input), code);
    runner.join();
    BOOST_TEST(input.size() > answer_bytes);
}

// Guards against a request that was read together with the one before it and got no answer during a stop.
BOOST_AUTO_TEST_CASE(requests_read_together_are_both_answered_while_draining)
{
    asio::io_context context;
    http::server server(context.get_executor(), {"127.0.0.1", 0}, echo);
    server.begin_drain();
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const std::string get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(caller, asio::buffer(get + get));
    context.run_for(std::chrono::milliseconds(50));
    std::string answers;
    boost::system::error_code code;
    caller.non_blocking(true);
    asio::read(caller, asio::dynamic_buffer(answers), code);
    std::vector<std::string> found;
    BOOST_TEST(boost::algorithm::find_all(found, answers, "HTTP/1.1 200").size() == 2U);
    BOOST_TEST(boost::algorithm::find_all(found, answers, "Connection: close").size() == 1U);
}

// Guards against connections that a stop cuts off without an answer at the end of its grace time.
BOOST_AUTO_TEST_CASE(unfinished_requests_are_answered_before_the_end)
{
    asio::io_context context;
    http::server server(context.get_executor(), {"127.0.0.1", 0},
                        http::handler([](http::request, http::endpoint) -> asio::awaitable<http::response> {
                            co_await core::pause_for(60000_ms);
                            co_return http::response();
                        }));
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: a\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(50));
    constexpr unsigned status_gateway_timeout = 504;
    server.answer_unfinished(http::response(status_gateway_timeout));
    context.run_for(std::chrono::milliseconds(50));
    std::string answer;
    boost::system::error_code code;
    asio::read(caller, asio::dynamic_buffer(answer), code);
    BOOST_TEST(answer.starts_with("HTTP/1.1 504"));
    BOOST_TEST(answer.ends_with("\r\n\r\n"));
    BOOST_TEST(code == asio::error::eof);
}

// Guards against oversized input reaching a handler.
BOOST_AUTO_TEST_CASE(oversized_input_is_refused)
{
    running_context runner;
    http::server server(runner.context.get_executor(), {"127.0.0.1", 0}, echo,
                        {.head_bytes = 1024, .body_bytes = 64});
    const auto fetch = [&](http::request message) {
        return runner.run([&]() -> asio::awaitable<http::response> {
            return http::fetch({"127.0.0.1", server.port()}, message, 1000_ms);
        });
    };
    BOOST_TEST(fetch({"POST", "/", {}, std::string(65, 'x')}).status == 413);
    BOOST_TEST(fetch({"GET", "/", {{"X-Long", std::string(2000, 'x')}}, ""}).status == 431);
    BOOST_TEST(fetch({"POST", "/", {}, std::string(64, 'x')}).status == 200);
}

BOOST_AUTO_TEST_CASE(endpoint_text)
{
    BOOST_TEST(http::to_string(http::parse_endpoint("127.0.0.1:80")) == "127.0.0.1:80");
    BOOST_TEST(http::to_string(http::parse_endpoint("[::1]:80")) == "[::1]:80");
    BOOST_CHECK_THROW(http::parse_endpoint("localhost:80"), core::error);
    BOOST_CHECK_THROW(http::parse_endpoint("127.0.0.1:70000"), core::error);
    BOOST_CHECK_THROW(http::parse_endpoint("127.0.0.1"), core::error);
}
