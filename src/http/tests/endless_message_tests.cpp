#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t limit_bytes = 1000000;
/// A peer that is never stopped ends by itself after this many bytes.
constexpr std::size_t most_sent_bytes = 100000000;
/// Bytes that fit into the socket buffers of both sides can be written although nobody reads them.
constexpr std::size_t accepted_bytes = 16000000;

const std::string answer_head = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = answer_head + "Transfer-Encoding: chunked\r\n\r\n";

/// What a faulty peer sends: a beginning, and bytes that are repeated. They leave in the same write, so that
/// the reader gets the end of the head together with the first bytes that follow.
struct endless_message
{
    std::string beginning;
    std::string repeated;
};

/// Sends the message until the peer closes. Returns the number of bytes written.
asio::awaitable<std::size_t> send_without_end(asio::ip::tcp::socket& socket, endless_message message)
{
    constexpr std::size_t block_bytes = 65536;
    std::string block;
    while (block.size() < block_bytes)
    {
        block += message.repeated;
    }
    std::size_t written = 0;
    error_code code;
    std::string next = message.beginning + block;
    while (!code && written < most_sent_bytes)
    {
        written += co_await asio::async_write(socket, asio::buffer(next),
                                              asio::redirect_error(asio::use_awaitable, code));
        next = block;
    }
    co_return written;
}

struct exchange_report
{
    std::size_t sent_bytes = 0;
    bool is_answered = false;
    bool is_timeout = false;
    core::duration elapsed;
};

/// Makes one exchange with a server that sends the message.
exchange_report exchange_with(const endless_message& message, core::duration timeout,
                              std::size_t body_bytes = limit_bytes)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    exchange_report report;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            report.sent_bytes = co_await send_without_end(socket, message);
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http::answer_limits limits;
            limits.body_bytes = body_bytes;
            http::client_connection connection(context.get_executor(),
                                               {"127.0.0.1", acceptor.local_endpoint().port()}, limits);
            co_await connection.connect(1000_ms);
            const auto start = core::clock::now();
            try
            {
                co_await connection.exchange({"GET", "/", {}, ""}, timeout);
                report.is_answered = true;
            }
            catch (const core::timeout_error&)
            {
                report.is_timeout = true;
            }
            catch (const core::connection_error&)
            {
                BOOST_TEST(!connection.is_open());
            }
            report.elapsed = core::clock::now() - start;
        },
        asio::detached);
    context.run();
    return report;
}

void check_answer_is_cut_off(const endless_message& message)
{
    const auto report = exchange_with(message, 2000_ms);
    BOOST_TEST(!report.is_answered);
    BOOST_TEST(!report.is_timeout);
    BOOST_TEST(report.sent_bytes < accepted_bytes);
}

/// Sends the message to a server and returns how many bytes it took before it closed the connection.
std::size_t send_to_server(const endless_message& message)
{
    asio::io_context context;
    int handled = 0;
    http::server server(context.get_executor(), {"127.0.0.1", 0},
                        [&handled](http::request, http::endpoint) -> asio::awaitable<http::response> {
                            ++handled;
                            co_return http::response();
                        },
                        {.head_bytes = 16384, .body_bytes = limit_bytes});
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    std::size_t sent = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            sent = co_await send_without_end(caller, message);
            context.stop();
        },
        asio::detached);
    context.run_for(std::chrono::seconds(4));
    BOOST_TEST(handled == 0);
    return sent;
}

} // namespace

// Guards against a backend server that sends a chunk extension without end: the router kept it all and ran
// out of memory.
BOOST_AUTO_TEST_CASE(chunk_extension_without_end_is_cut_off)
{
    check_answer_is_cut_off({chunked_head + "1;", "extension"});
}

// Guards against a trailer without end, which the router kept whole.
BOOST_AUTO_TEST_CASE(trailer_without_end_is_cut_off)
{
    check_answer_is_cut_off({chunked_head + "1\r\nx\r\n0\r\n", "A: b\r\n"});
}

// Guards against the loss of the limit of a body when its first bytes come together with the head.
BOOST_AUTO_TEST_CASE(length_above_the_limit_is_cut_off)
{
    constexpr int exchanges = 12;
    for (int i = 0; i < exchanges; ++i)
    {
        check_answer_is_cut_off({answer_head + "Content-Length: 50000000\r\n\r\n", "counted "});
    }
}

// Guards against answers of which hardly a byte is content and that cost the router's thread much time.
BOOST_AUTO_TEST_CASE(chunks_of_one_byte_without_end_are_cut_off)
{
    check_answer_is_cut_off({chunked_head, "1\r\nx\r\n"});
}

BOOST_AUTO_TEST_CASE(other_answers_without_end_are_cut_off)
{
    check_answer_is_cut_off({answer_head, "X-Filler: more\r\n"});
    check_answer_is_cut_off({answer_head + "X-Filler: ", "one line "});
    check_answer_is_cut_off({"", "no answer at all "});
    check_answer_is_cut_off({"", "\r\n"});
    check_answer_is_cut_off({answer_head + "\r\n", "body until the connection ends "});
    check_answer_is_cut_off({"", "HTTP/1.1 100 Continue\r\n\r\n"});
    check_answer_is_cut_off({chunked_head, "5\r\nchunk\r\n"});
}

// Guards against an exchange that lasts for as long as its peer sends, whatever its timeout.
BOOST_AUTO_TEST_CASE(exchange_ends_at_its_timeout_while_bytes_keep_coming)
{
    const auto report = exchange_with({chunked_head, "1\r\nx\r\n"}, 200_ms, std::size_t{1} << 30U);
    BOOST_TEST(report.is_timeout);
    BOOST_TEST(report.elapsed.ms < 600);
}

// Guards against a client that sends a request without end, which the router kept whole.
BOOST_AUTO_TEST_CASE(requests_without_end_are_cut_off)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    BOOST_TEST(send_to_server({chunked + "1;", "extension"}) < accepted_bytes);
    BOOST_TEST(send_to_server({chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"}) < accepted_bytes);
    BOOST_TEST(send_to_server({chunked, "1\r\nx\r\n"}) < accepted_bytes);
    BOOST_TEST(send_to_server({head + "Content-Length: 50000000\r\n\r\n", "counted "}) < accepted_bytes);
    BOOST_TEST(send_to_server({head, "X-Filler: more\r\n"}) < accepted_bytes);
    BOOST_TEST(send_to_server({"", "\r\n"}) < accepted_bytes);
}

// Guards against a process whose messages together exceed its memory although each keeps its own limit.
BOOST_AUTO_TEST_CASE(exchange_with_the_largest_answer_fails_when_memory_is_full)
{
    constexpr std::size_t large_bytes = 900000;
    constexpr std::size_t small_bytes = 300000;
    asio::io_context context;
    const auto budget = std::make_shared<http::transfer_budget>(limit_bytes);
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<std::optional<http::response>> answers(2);
    const auto serve = [&](std::size_t length, std::size_t sent) -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        const auto text =
            answer_head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        co_await core::pause_for(500_ms);
    };
    const auto exchange = [&](std::size_t number) -> asio::awaitable<void> {
        http::client_connection connection(context.get_executor(),
                                           {"127.0.0.1", acceptor.local_endpoint().port()}, {}, budget);
        co_await connection.connect(1000_ms);
        try
        {
            answers[number] = co_await connection.exchange({"GET", "/", {}, ""}, 400_ms);
        }
        catch (const core::connection_error&)
        {
            BOOST_TEST(!connection.is_open());
        }
    };
    const auto run = [&]() -> asio::awaitable<void> {
        asio::co_spawn(context, serve(large_bytes + 1, large_bytes), asio::detached);
        asio::co_spawn(context, exchange(0), asio::detached);
        co_await core::pause_for(100_ms);
        BOOST_TEST(budget->held_bytes() >= large_bytes);
        asio::co_spawn(context, serve(small_bytes, small_bytes), asio::detached);
        co_await exchange(1);
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(!answers[0]);
    BOOST_REQUIRE(answers[1]);
    BOOST_TEST(answers[1]->body.size() == small_bytes);
    BOOST_TEST(budget->held_bytes() == 0U);
}

// Guards against clients whose bodies together exceed the memory of the process. The one that is given up
// learns that its request does not run.
BOOST_AUTO_TEST_CASE(largest_request_is_refused_when_memory_is_full)
{
    constexpr std::size_t large_bytes = 900000;
    asio::io_context context;
    http::server_hooks hooks;
    hooks.budget = std::make_shared<http::transfer_budget>(limit_bytes);
    http::server server(
        context.get_executor(), {"127.0.0.1", 0},
        http::handler([](http::request message, http::endpoint) -> asio::awaitable<http::response> {
            co_return http::response(200, {}, std::to_string(message.body.size()));
        }),
        http::server_limits(), hooks);
    std::string large_answer;
    std::string small_answer;
    const auto run = [&]() -> asio::awaitable<void> {
        const http::endpoint peer("127.0.0.1", server.port());
        asio::ip::tcp::socket large(context);
        co_await large.async_connect({asio::ip::make_address("127.0.0.1"), server.port()},
                                     asio::use_awaitable);
        const auto text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(large_bytes + 1) +
                          "\r\n\r\n" + std::string(large_bytes, 'x');
        co_await asio::async_write(large, asio::buffer(text), asio::use_awaitable);
        co_await core::pause_for(50_ms);
        http::request small("POST", "/", {}, std::string(300000, 'x'));
        small_answer = (co_await http::fetch(peer, std::move(small), 1000_ms)).body;
        co_await asio::async_read_until(large, asio::dynamic_buffer(large_answer), "\r\n\r\n",
                                        asio::use_awaitable);
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run_for(std::chrono::seconds(3));
    BOOST_TEST(small_answer == "300000");
    BOOST_TEST(large_answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(large_answer.find("Retry-After: 1") != std::string::npos);
}
