#include "scenarios/ports.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"

#include <unistd.h>

namespace briarfold::scenarios {

namespace {

namespace asio = core::asio;

constexpr int first_port = 12000;
constexpr int port_count = 18000;
/// Scenarios that run at the same time start this far apart.
constexpr int step_between_processes = 331;

bool is_free(unsigned short port)
{
    asio::io_context context;
    boost::system::error_code code;
    const auto address = asio::ip::address_v4::loopback();
    asio::ip::tcp::acceptor tcp(context);
    tcp.open(asio::ip::tcp::v4());
    tcp.bind({address, port}, code);
    if (code)
    {
        return false;
    }
    asio::ip::udp::socket udp(context);
    udp.open(asio::ip::udp::v4());
    udp.bind({address, port}, code);
    return !code;
}

} // namespace

unsigned short take_port()
{
    static int next = getpid() * step_between_processes % port_count;
    for (int tried = 0; tried < port_count; ++tried)
    {
        const auto port = static_cast<unsigned short>(first_port + next);
        next = (next + 1) % port_count;
        if (is_free(port))
        {
            return port;
        }
    }
    throw core::error("take port", "127.0.0.1", "no port is free");
}

} // namespace briarfold::scenarios
