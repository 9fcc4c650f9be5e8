#include "standins/relay/tcp_relay.hpp"

#include <array>
#include <memory>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t chunk_bytes = 65536;
/// How soon a changed mode is noticed.
constexpr std::chrono::milliseconds mode_check_interval{10};

struct link
{
    link(tcp::socket accepted, const asio::any_io_executor& executor, std::uint64_t count)
        : caller(std::move(accepted)), target(executor), number(count)
    {}

    void close()
    {
        error_code ignored;
        caller.close(ignored);
        target.close(ignored);
    }

    tcp::socket caller;
    tcp::socket target;
    std::uint64_t number;
};

asio::awaitable<void> wait(std::chrono::milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Waits until bytes may pass. Returns false when the connection is dropped.
asio::awaitable<bool> pass_fault(const relay_pair& pair, const link& connection)
{
    while (pair.holds(connection.number))
    {
        co_await wait(mode_check_interval);
        if (!connection.caller.is_open())
        {
            co_return false;
        }
    }
    if (pair.mode == relay_mode::delay)
    {
        co_await wait(std::chrono::milliseconds(pair.delay.ms));
    }
    co_return pair.mode != relay_mode::drop;
}

asio::awaitable<void> pump(relay_pair& pair, std::shared_ptr<link> connection, bool is_to_target)
{
    auto& from = is_to_target ? connection->caller : connection->target;
    auto& to = is_to_target ? connection->target : connection->caller;
    const auto buffer = std::make_unique<std::array<char, chunk_bytes>>();
    try
    {
        for (;;)
        {
            const auto size = co_await from.async_read_some(asio::buffer(*buffer), asio::use_awaitable);
            if (pair.holds(connection->number))
            {
                pair.bytes_held += size;
            }
            const bool passes = co_await pass_fault(pair, *connection);
            if (!passes)
            {
                ++pair.dropped;
                break;
            }
            co_await asio::async_write(to, asio::buffer(buffer->data(), size), asio::use_awaitable);
            pair.bytes_passed += size;
        }
    }
    catch (const boost::system::system_error&)
    {
        // One side closed; the other is closed below.
    }
    connection->close();
}

/// Closes the connection as soon as the pair drops.
asio::awaitable<void> watch(relay_pair& pair, std::shared_ptr<link> connection)
{
    while (connection->caller.is_open())
    {
        if (pair.mode == relay_mode::drop)
        {
            ++pair.dropped;
            connection->close();
        }
        co_await wait(mode_check_interval);
    }
}

asio::awaitable<void> open(relay_pair& pair, std::shared_ptr<link> connection)
{
    const auto executor = co_await asio::this_coro::executor;
    const tcp::endpoint remote(asio::ip::make_address(pair.target.address), pair.target.port);
    error_code code;
    co_await connection->target.async_connect(remote, asio::redirect_error(asio::use_awaitable, code));
    if (code)
    {
        connection->close();
        co_return;
    }
    error_code ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    connection->target.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(executor, pump(pair, connection, true), asio::detached);
    asio::co_spawn(executor, pump(pair, connection, false), asio::detached);
    asio::co_spawn(executor, watch(pair, connection), asio::detached);
}

} // namespace

asio::awaitable<void> relay_tcp(relay_pair& pair)
{
    const auto executor = co_await asio::this_coro::executor;
    const tcp::endpoint local(asio::ip::make_address(pair.listen.address), pair.listen.port);
    tcp::acceptor acceptor(executor, local);
    pair.listen.port = acceptor.local_endpoint().port();
    for (;;)
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        if (pair.mode == relay_mode::drop)
        {
            ++pair.dropped;
            continue;
        }
        const auto connection = std::make_shared<link>(std::move(socket), executor, pair.connections++);
        asio::co_spawn(executor, open(pair, connection), asio::detached);
    }
}

} // namespace briarfold::standins
