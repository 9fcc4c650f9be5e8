#include "membership/udp_channel.hpp"

#include "core/error.hpp"

namespace briarfold::membership {

namespace asio = core::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t max_packet_bytes = 65536;

} // namespace

struct udp_channel::state : std::enable_shared_from_this<udp_channel::state>
{
    explicit state(const asio::any_io_executor& executor)
        : strand(asio::make_strand(executor)), socket(strand)
    {}

    asio::awaitable<void> receive()
    {
        const auto self = shared_from_this();
        while (socket.is_open())
        {
            error_code code;
            asio::ip::udp::endpoint remote;
            const auto size = co_await socket.async_receive_from(
                asio::buffer(buffer), remote, asio::redirect_error(asio::use_awaitable, code));
            if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor)
            {
                co_return;
            }
            const auto packet = code ? std::nullopt : decode_packet({buffer.data(), size});
            if (packet)
            {
                const http::endpoint from(remote.address().to_string(), remote.port());
                on_packet(*packet, from);
            }
        }
    }

    asio::any_io_executor strand;
    asio::ip::udp::socket socket;
    unsigned short port = 0;
    std::array<char, max_packet_bytes> buffer{};
    receiver on_packet;
};

udp_channel::udp_channel(const asio::any_io_executor& executor, const http::endpoint& local)
    : state_(std::make_shared<state>(executor))
{
    try
    {
        const asio::ip::udp::endpoint address(asio::ip::make_address(local.address), local.port);
        state_->socket.open(address.protocol());
        state_->socket.bind(address);
        state_->socket.non_blocking(true);
        state_->port = state_->socket.local_endpoint().port();
    }
    catch (const boost::system::system_error& failure)
    {
        throw core::connection_error("bind udp", http::to_string(local), failure.code().message());
    }
}

udp_channel::~udp_channel()
{
    close();
}

unsigned short udp_channel::port() const
{
    return state_->port;
}

void udp_channel::start(receiver on_packet)
{
    state_->on_packet = std::move(on_packet);
    asio::co_spawn(
        state_->strand, [self = state_] { return self->receive(); }, asio::detached);
}

void udp_channel::send(const heartbeat_packet& packet, const http::endpoint& to)
{
    asio::post(state_->strand, [self = state_, bytes = encode(packet), to] {
        error_code code;
        const auto address = asio::ip::make_address(to.address, code);
        if (!code && self->socket.is_open())
        {
            self->socket.send_to(asio::buffer(bytes), {address, to.port}, 0, code);
        }
    });
}

void udp_channel::close()
{
    asio::post(state_->strand, [self = state_] {
        error_code ignored;
        self->socket.close(ignored);
    });
}

} // namespace briarfold::membership
