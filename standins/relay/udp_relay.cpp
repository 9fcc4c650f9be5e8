#include "standins/relay/udp_relay.hpp"

#include <array>
#include <map>
#include <memory>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t datagram_bytes = 65536;

/// Whether a datagram passes now; counts those that do not. Held datagrams are never delivered later, as a
/// late heartbeat would be discarded anyway.
bool passes(relay_pair& pair, unsigned short source_port, std::size_t size)
{
    if (pair.mode == relay_mode::hold)
    {
        pair.bytes_held += size;
        return false;
    }
    if (pair.mode == relay_mode::drop || pair.blocked_ports.contains(source_port))
    {
        ++pair.dropped;
        return false;
    }
    pair.bytes_passed += size;
    return true;
}

asio::awaitable<void> deliver(std::shared_ptr<udp::socket> socket, std::string data, udp::endpoint to,
                              core::duration delay)
{
    if (delay.ms > 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(delay.ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
    error_code ignored;
    co_await socket->async_send_to(asio::buffer(data), to,
                                   asio::redirect_error(asio::use_awaitable, ignored));
}

core::duration delay_of(const relay_pair& pair)
{
    return pair.mode == relay_mode::delay ? pair.delay : core::duration{};
}

/// Passes the target's datagrams back to one sender.
asio::awaitable<void> pass_back(relay_pair& pair, std::shared_ptr<udp::socket> listening,
                                std::shared_ptr<udp::socket> outgoing, udp::endpoint sender)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto buffer = std::make_unique<std::array<char, datagram_bytes>>();
    for (;;)
    {
        udp::endpoint from;
        error_code code;
        const auto size = co_await outgoing->async_receive_from(
            asio::buffer(*buffer), from, asio::redirect_error(asio::use_awaitable, code));
        if (!code && passes(pair, sender.port(), size))
        {
            std::string data(buffer->data(), size);
            asio::co_spawn(executor, deliver(listening, std::move(data), sender, delay_of(pair)),
                           asio::detached);
        }
    }
}

} // namespace

asio::awaitable<void> relay_udp(relay_pair& pair)
{
    const auto executor = co_await asio::this_coro::executor;
    const udp::endpoint local(asio::ip::make_address(pair.listen.address), pair.listen.port);
    const udp::endpoint target(asio::ip::make_address(pair.target.address), pair.target.port);
    const auto listening = std::make_shared<udp::socket>(executor, local);
    pair.listen.port = listening->local_endpoint().port();
    std::map<udp::endpoint, std::shared_ptr<udp::socket>> outgoing;
    const auto buffer = std::make_unique<std::array<char, datagram_bytes>>();
    for (;;)
    {
        udp::endpoint sender;
        error_code code;
        const auto size = co_await listening->async_receive_from(
            asio::buffer(*buffer), sender, asio::redirect_error(asio::use_awaitable, code));
        if (code || !passes(pair, sender.port(), size))
        {
            continue;
        }
        auto& socket = outgoing[sender];
        if (!socket)
        {
            const udp::endpoint any(udp::v4(), 0);
            socket = std::make_shared<udp::socket>(executor, any);
            asio::co_spawn(executor, pass_back(pair, listening, socket, sender), asio::detached);
        }
        std::string data(buffer->data(), size);
        asio::co_spawn(executor, deliver(socket, std::move(data), target, delay_of(pair)), asio::detached);
    }
}

} // namespace briarfold::standins
