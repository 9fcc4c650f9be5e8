// standin-relay: relays TCP and UDP between processes and drops, delays or holds bytes on order.
#include "core/error.hpp"
#include "http/server.hpp"
#include "standins/relay/relay_control.hpp"
#include "standins/relay/tcp_relay.hpp"
#include "standins/relay/udp_relay.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace asio = briarfold::core::asio;
namespace options = boost::program_options;
using namespace briarfold;

/// Ends the program when a pair cannot listen.
void end_on_failure(const std::exception_ptr& failure)
{
    if (failure)
    {
        std::rethrow_exception(failure);
    }
}

int run(const options::variables_map& settings)
{
    asio::io_context context(1);
    std::list<standins::relay_pair> pairs;
    for (const auto& text : settings["pair"].as<std::vector<std::string>>())
    {
        auto& pair = pairs.emplace_back(standins::parse_pair(text));
        asio::co_spawn(context, pair.is_udp ? standins::relay_udp(pair) : standins::relay_tcp(pair),
                       end_on_failure);
    }
    const http::server control(
        context.get_executor(), http::parse_endpoint(settings["control"].as<std::string>()),
        [&](const http::request& message, const http::endpoint&) -> asio::awaitable<http::response> {
            co_return standins::answer_control(pairs, message);
        });
    std::cout << "listening " << control.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description all("standin-relay");
    auto add = all.add_options();
    add("help", "show the options");
    add("control", options::value<std::string>()->default_value("127.0.0.1:0"), "control address");
    add("pair", options::value<std::vector<std::string>>()->required()->composing(),
        "name,tcp|udp,listen,target; may be repeated");
    try
    {
        options::variables_map settings;
        options::store(options::parse_command_line(argc, argv, all), settings);
        if (settings.count("help") != 0)
        {
            std::cout << all << "\n";
            return 0;
        }
        options::notify(settings);
        return run(settings);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "standin-relay: " << failure.what() << "\n";
        return 1;
    }
}
