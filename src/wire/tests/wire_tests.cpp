#include "wire/internal/codec.hpp"
#include "wire/peer_network.hpp"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

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

constexpr core::duration long_timeout{20000};

wire::forward_request make_request(const std::string& body)
{
    wire::forward_request request;
    request.customer = "kiosk";
    request.service = "courseline";
    request.key = "key\x01\xff";
    request.method = "POST";
    request.target = "/unlock?x=1";
    request.headers = {{"Content-Type", "text/plain"}};
    request.body = body;
    request.request_id = "r-1";
    request.deadline = long_timeout;
    request.is_idempotent = true;
    request.traceparent = "00-1-2-01";
    request.tried_servers = {"s1", "s2"};
    request.is_retry = true;
    return request;
}

wire::forward_result make_echo(const wire::forward_request& request)
{
    wire::forward_result result;
    result.outcome = wire::outcome::answered;
    result.status = 200;
    result.headers = {{"X-Request-Id", request.request_id}};
    result.body = request.body;
    result.retry_after = 7_ms;
    result.may_send_again = request.tried_servers == std::vector<std::string>{"s1", "s2"};
    return result;
}

/// Accepts connections and never answers.
asio::awaitable<void> hold_connections(asio::ip::tcp::acceptor& acceptor,
                                       std::vector<std::shared_ptr<asio::ip::tcp::socket>>& held)
{
    for (;;)
    {
        held.push_back(
            std::make_shared<asio::ip::tcp::socket>(co_await acceptor.async_accept(asio::use_awaitable)));
    }
}

} // namespace

// Guards against a field that the encoder writes and the decoder drops or reorders.
BOOST_AUTO_TEST_CASE(frames_received_byte_by_byte_decode_unchanged)
{
    std::string bytes;
    const auto request = make_request("body");
    wire::internal::append_forward(bytes, 5, request);
    wire::internal::append_result(bytes, 6, make_echo(request));
    wire::internal::append_text(bytes, wire::internal::frame_type::rpc_call, 7, "{}");
    wire::internal::frame_reader reader;
    std::vector<wire::internal::frame> frames;
    for (const char byte : bytes)
    {
        *reader.prepare(1) = byte;
        reader.commit(1);
        if (auto frame = reader.next())
        {
            frames.push_back(std::move(*frame));
        }
    }
    BOOST_REQUIRE(frames.size() == 3);
    BOOST_TEST((frames[0].request == request));
    BOOST_TEST((frames[1].result == make_echo(request)));
    BOOST_TEST(frames[2].text == "{}");
}

// Guards against a crash or an unbounded buffer when a peer sends malformed frames.
BOOST_AUTO_TEST_CASE(malformed_frames_are_refused)
{
    for (const std::string& bytes : {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\x01\xc1", 5),
                                     std::string("\0\0\0\x03\x92\x02\x01", 7), std::string("\0\0\0\0", 4)})
    {
        wire::internal::frame_reader reader;
        std::copy(bytes.begin(), bytes.end(), reader.prepare(bytes.size()));
        reader.commit(bytes.size());
        BOOST_CHECK_THROW(reader.next(), core::connection_error);
    }
}

// Guards against answers assigned to the wrong call on the shared connection.
BOOST_AUTO_TEST_CASE(concurrent_forwards_get_their_own_results)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    wire::peer_network server(executor, {{"127.0.0.1", 0}, "token", "a"});
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "token", "b"});
    server.on_forward([](wire::forward_request request,
                         std::shared_ptr<core::cancellation>) -> asio::awaitable<wire::forward_result> {
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 std::chrono::milliseconds(request.body.back() % 5));
        co_await timer.async_wait(asio::use_awaitable);
        co_return make_echo(request);
    });
    std::vector<std::future<wire::forward_result>> results;
    constexpr int calls = 200;
    results.reserve(calls);
    for (int i = 0; i < calls; ++i)
    {
        results.push_back(asio::co_spawn(
            executor, client.forward({"127.0.0.1", server.port()}, make_request(std::to_string(i)), nullptr),
            asio::use_future));
    }
    for (int i = 0; i < calls; ++i)
    {
        const auto result = results[i].get();
        BOOST_TEST(result.body == std::to_string(i));
        BOOST_TEST(result.may_send_again);
    }
}

// Guards against running requests of a peer without the token.
BOOST_AUTO_TEST_CASE(wrong_token_is_refused)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    wire::peer_network server(executor, {{"127.0.0.1", 0}, "token", "a"});
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "other", "b"});
    bool was_called = false;
    server.on_forward([&](wire::forward_request request,
                          std::shared_ptr<core::cancellation>) -> asio::awaitable<wire::forward_result> {
        was_called = true;
        co_return make_echo(request);
    });
    auto result = asio::co_spawn(
        executor, client.forward({"127.0.0.1", server.port()}, make_request("x"), nullptr), asio::use_future);
    BOOST_CHECK_THROW(result.get(), wire::link_error);
    BOOST_TEST(!was_called);
}

// Guards against reporting a failed connect as if the request might have run.
BOOST_AUTO_TEST_CASE(refused_connection_counts_as_not_sent)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    unsigned short closed_port = 0;
    {
        wire::peer_network server(executor, {{"127.0.0.1", 0}, "token", "a"});
        closed_port = server.port();
        runner.run([&]() -> asio::awaitable<void> { co_return; });
    }
    runner.run([&]() -> asio::awaitable<void> { co_return; });
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "token", "b"});
    auto result = asio::co_spawn(
        executor, client.forward({"127.0.0.1", closed_port}, make_request("x"), nullptr), asio::use_future);
    BOOST_CHECK_EXCEPTION(result.get(), wire::link_error,
                          [](const wire::link_error& failure) { return !failure.is_sent(); });
}

// Guards against a call that waits for its whole deadline on a silent connection.
BOOST_AUTO_TEST_CASE(silent_connection_is_detected_before_the_deadline)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    asio::ip::tcp::acceptor acceptor(runner.context, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> held;
    asio::co_spawn(executor, hold_connections(acceptor, held), asio::detached);
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "token", "b"});
    auto result = asio::co_spawn(
        executor, client.forward({"127.0.0.1", acceptor.local_endpoint().port()}, make_request("x"), nullptr),
        asio::use_future);
    BOOST_CHECK_EXCEPTION(result.get(), wire::link_error,
                          [](const wire::link_error& failure) { return failure.is_sent(); });
}

// Guards against a front that goes on with a cancelled request.
BOOST_AUTO_TEST_CASE(cancel_reaches_the_handler)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    wire::peer_network server(executor, {{"127.0.0.1", 0}, "token", "a"});
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "token", "b"});
    const auto cancel = std::make_shared<core::cancellation>();
    server.on_forward([&](wire::forward_request request,
                          std::shared_ptr<core::cancellation> flag) -> asio::awaitable<wire::forward_result> {
        asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::hours(1));
        flag->set_hook([&timer] { timer.cancel(); });
        cancel->cancel();
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return make_echo(request);
    });
    auto result = asio::co_spawn(
        executor, client.forward({"127.0.0.1", server.port()}, make_request("x"), cancel), asio::use_future);
    BOOST_TEST(result.get().body == "x");
}

// Guards against lost arguments, results, caller ids and errors in the JSON-RPC connectors.
BOOST_AUTO_TEST_CASE(rpc_carries_results_and_errors)
{
    running_context runner;
    const auto executor = runner.context.get_executor();
    wire::peer_network server(executor, {{"127.0.0.1", 0}, "token", "a"});
    wire::peer_network client(executor, {{"127.0.0.1", 0}, "token", "b"});
    server.register_method("fence",
                           [](std::string from, nlohmann::json arguments) -> asio::awaitable<nlohmann::json> {
                               if (arguments["epoch"] == 0)
                               {
                                   throw core::error("fence", "", "no epoch");
                               }
                               nlohmann::json result = {{"from", from}, {"epoch", arguments["epoch"]}};
                               co_return result;
                           });
    const http::endpoint peer("127.0.0.1", server.port());
    const auto call = [&](const char* method, const nlohmann::json& arguments, core::duration timeout) {
        return asio::co_spawn(executor, client.call(peer, method, arguments, timeout), asio::use_future)
            .get();
    };
    const auto result = call("fence", {{"epoch", 256}}, long_timeout);
    BOOST_TEST(result["from"] == "b");
    BOOST_TEST(result["epoch"] == 256);
    BOOST_CHECK_THROW(call("fence", {{"epoch", 0}}, long_timeout), wire::rpc_error);
    BOOST_CHECK_THROW(call("absent", nlohmann::json::object(), long_timeout), wire::rpc_error);
    server.register_method("slow", [](std::string, nlohmann::json) -> asio::awaitable<nlohmann::json> {
        asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(1));
        co_await timer.async_wait(asio::use_awaitable);
        co_return nlohmann::json::object();
    });
    BOOST_CHECK_THROW(call("slow", nlohmann::json::object(), 50_ms), core::timeout_error);
}

// Guards against answers that pile up in memory for a router that does not read them, and against a stop that
// does not wait for the last results.
BOOST_AUTO_TEST_CASE(results_for_a_peer_that_does_not_read_are_bounded)
{
    constexpr std::size_t body_bytes = 1000000;
    constexpr std::uint64_t requests = 60;
    asio::io_context context;
    wire::peer_network network(context.get_executor(), {{"127.0.0.1", 0}, "token", "front"});
    network.on_forward([](wire::forward_request request,
                          std::shared_ptr<core::cancellation>) -> asio::awaitable<wire::forward_result> {
        request.body = std::string(body_bytes, 'x');
        co_return make_echo(request);
    });
    asio::ip::tcp::socket peer(context);
    peer.connect({asio::ip::make_address("127.0.0.1"), network.port()});
    std::string frames;
    wire::internal::append_hello(frames, "token", "entry");
    for (std::uint64_t id = 1; id <= requests; ++id)
    {
        wire::internal::append_forward(frames, id, make_request(""));
    }
    asio::write(peer, asio::buffer(frames));
    context.run_for(std::chrono::milliseconds(500));
    BOOST_TEST(network.unsent_results() > 0U);
    std::size_t answered = 0;
    std::size_t failed = 0;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            wire::internal::frame_reader reader;
            while (answered + failed < requests)
            {
                constexpr std::size_t read_bytes = 65536;
                char* const space = reader.prepare(read_bytes);
                reader.commit(co_await peer.async_read_some(asio::buffer(space, reader.capacity()),
                                                            asio::use_awaitable));
                while (const auto message = reader.next())
                {
                    const bool is_whole = message->result.body.size() == body_bytes;
                    const bool is_unknown = message->result.outcome == wire::outcome::unknown;
                    answered += is_whole ? 1 : 0;
                    failed += is_unknown ? 1 : 0;
                }
            }
            context.stop();
        },
        asio::detached);
    context.restart();
    context.run_for(std::chrono::seconds(10));
    BOOST_TEST(answered + failed == requests);
    BOOST_TEST(failed > 0U);
    BOOST_TEST(network.unsent_results() == 0U);
}
