#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

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
