#include "edge/backend_link.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

std::string make_answer(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\nContent-Length: 2\r\n\r\n" + id;
}

/// A backend server that answers the first request of its first connection and repeats that answer later;
/// other connections get the right answer.
struct repeating_backend
{
    explicit repeating_backend(asio::io_context& context)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {}

    asio::awaitable<void> serve(bool repeats_while_idle)
    {
        auto first = co_await acceptor.async_accept(asio::use_awaitable);
        co_await read_request(first);
        co_await asio::async_write(first, asio::buffer(make_answer("a1")), asio::use_awaitable);
        if (!repeats_while_idle)
        {
            co_await read_request(first);
        }
        co_await asio::async_write(first, asio::buffer(make_answer("a1")), asio::use_awaitable);
        auto second = co_await acceptor.async_accept(asio::use_awaitable);
        co_await read_request(second);
        co_await asio::async_write(second, asio::buffer(make_answer("a2")), asio::use_awaitable);
    }

    static asio::awaitable<void> read_request(asio::ip::tcp::socket& socket)
    {
        std::string text;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
    }

    asio::ip::tcp::acceptor acceptor;
};

/// A backend server that rejects the first request and runs all later ones. Before the answer to the next
/// request on a connection it sends a copy of its last answer there.
struct rejecting_backend
{
    /// `attempt_id` is the id in its answers; empty for answers without one.
    explicit rejecting_backend(asio::io_context& io_context, const std::string& attempt_id = "a1")
        : context(io_context), acceptor(io_context, {asio::ip::make_address("127.0.0.1"), 0}),
          id_header(attempt_id.empty() ? "" : "X-Attempt: " + attempt_id + "\r\n")
    {}

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string last_answer;
        std::string input;
        while (true)
        {
            boost::system::error_code code;
            const auto size =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, code));
            if (code)
            {
                co_return;
            }
            input.erase(0, size);
            const bool is_first = ++requests == 1;
            const auto answer = is_first
                                    ? "HTTP/1.1 503 Unavailable\r\n" + id_header + "Content-Length: 0\r\n\r\n"
                                    : "HTTP/1.1 200 OK\r\n" + id_header + "Content-Length: 2\r\n\r\na1";
            co_await asio::async_write(socket, asio::buffer(last_answer + answer), asio::use_awaitable);
            last_answer = answer;
        }
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    std::string id_header;
    int requests = 0;
};

edge::protocol make_protocol()
{
    edge::protocol adapter;
    adapter.read_response = [](const http::response& answer) {
        edge::response_head head;
        head.attempt_id = http::find_header(answer.headers, "X-Attempt");
        head.is_signed = answer.status == 200;
        return head;
    };
    return adapter;
}

struct two_exchanges
{
    edge::exchange_result first;
    edge::exchange_result second;
};

two_exchanges exchange_twice(bool repeats_while_idle)
{
    asio::io_context context;
    repeating_backend backend(context);
    const auto adapter = make_protocol();
    two_exchanges results;
    asio::co_spawn(context, backend.serve(repeats_while_idle), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto link = std::make_shared<edge::backend_link>(
                context.get_executor(), http::endpoint{"127.0.0.1", backend.acceptor.local_endpoint().port()},
                adapter);
            results.first = co_await link->exchange({"GET", "/1", {}, ""}, "a1", 1000_ms, nullptr);
            // Time in which the repeated answer arrives on the idle connection.
            asio::steady_timer timer(context, std::chrono::milliseconds(50));
            co_await timer.async_wait(asio::use_awaitable);
            results.second = co_await link->exchange({"GET", "/2", {}, ""}, "a2", 1000_ms, nullptr);
            link->close_idle();
            context.stop();
        },
        asio::detached);
    context.run();
    return results;
}

/// Sends the same message three times to a backend server that rejects the first one.
std::vector<edge::exchange_result> exchange_thrice(const std::string& sent_id, const std::string& echoed_id)
{
    asio::io_context context;
    rejecting_backend backend(context, echoed_id);
    const auto adapter = make_protocol();
    std::vector<edge::exchange_result> results;
    asio::co_spawn(context, backend.accept(), asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto link = std::make_shared<edge::backend_link>(
                context.get_executor(), http::endpoint{"127.0.0.1", backend.acceptor.local_endpoint().port()},
                adapter);
            for (int send = 0; send < 3; ++send)
            {
                results.push_back(co_await link->exchange({"POST", "/1", {}, ""}, sent_id, 1000_ms, nullptr));
            }
            context.stop();
        },
        asio::detached);
    context.run();
    return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_links)

// Guards against a second copy of an answer, sent while the connection was idle, that the next caller gets.
BOOST_AUTO_TEST_CASE(connection_with_bytes_nobody_asked_for_is_not_used_again)
{
    const auto results = exchange_twice(true);
    BOOST_CHECK(results.first.outcome == edge::exchange_outcome::answered);
    BOOST_CHECK(results.second.outcome == edge::exchange_outcome::answered);
    BOOST_CHECK_EQUAL(results.second.answer.body, "a2");
    BOOST_CHECK(results.second.is_new_connection);
}

// Guards against a second copy of an answer that arrives when the next request is already sent.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_request_is_no_answer)
{
    const auto results = exchange_twice(false);
    BOOST_CHECK(results.first.outcome == edge::exchange_outcome::answered);
    BOOST_CHECK(results.second.outcome == edge::exchange_outcome::mismatched);
}

// Guards against a request that runs twice: a late copy of the rejection of its first send was taken for the
// answer to its second one.
BOOST_AUTO_TEST_CASE(rejected_attempt_is_sent_again_on_another_connection)
{
    const auto results = exchange_thrice("a1", "a1");
    BOOST_CHECK_EQUAL(results.at(0).answer.status, 503U);
    BOOST_CHECK_EQUAL(results.at(1).answer.status, 200U);
    BOOST_CHECK(results.at(1).is_new_connection);
    // The connection with the signed success carries later requests.
    BOOST_CHECK(!results.at(2).is_new_connection);
}

// Guards against an answer that does not say to which request it belongs and is taken for one that says that
// the request has not run.
BOOST_AUTO_TEST_CASE(answer_without_an_id_is_no_answer_to_a_request_with_one)
{
    const auto results = exchange_thrice("a1", "");
    BOOST_CHECK(results.at(0).outcome == edge::exchange_outcome::mismatched);
    BOOST_CHECK(results.at(1).outcome == edge::exchange_outcome::mismatched);
}

// Guards against a client that leaves when its request has just been answered, and so breaks off the next
// request on the connection.
BOOST_AUTO_TEST_CASE(cancelling_an_ended_exchange_leaves_the_connection_open)
{
    asio::io_context context;
    repeating_backend backend(context);
    const auto adapter = make_protocol();
    const auto handle = std::make_shared<edge::exchange_handle>();
    edge::exchange_result second;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto socket = co_await backend.acceptor.async_accept(asio::use_awaitable);
            co_await repeating_backend::read_request(socket);
            co_await asio::async_write(socket, asio::buffer(make_answer("a1")), asio::use_awaitable);
            co_await repeating_backend::read_request(socket);
            handle->cancel();
            co_await asio::async_write(socket, asio::buffer(make_answer("a2")), asio::use_awaitable);
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto link = std::make_shared<edge::backend_link>(
                context.get_executor(), http::endpoint{"127.0.0.1", backend.acceptor.local_endpoint().port()},
                adapter);
            co_await link->exchange({"GET", "/1", {}, ""}, "a1", 1000_ms, handle);
            second = co_await link->exchange({"GET", "/2", {}, ""}, "a2", 1000_ms, nullptr);
            context.stop();
        },
        asio::detached);
    context.run();
    BOOST_CHECK(!second.is_new_connection);
    BOOST_CHECK(second.outcome == edge::exchange_outcome::answered);
}

// Guards against a grant that counts as superseded because of a late copy of an earlier rejection: its keys
// would go to another backend server while this one holds them.
BOOST_AUTO_TEST_CASE(rejected_call_without_an_id_ends_its_connection)
{
    const auto results = exchange_thrice("", "");
    BOOST_CHECK_EQUAL(results.at(0).answer.status, 503U);
    BOOST_CHECK_EQUAL(results.at(1).answer.status, 200U);
    BOOST_CHECK(results.at(1).is_new_connection);
    BOOST_CHECK(!results.at(2).is_new_connection);
}

BOOST_AUTO_TEST_SUITE_END()
