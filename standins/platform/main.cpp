// standin-platform: the platform's table service, object store and instance list, in memory.
#include "core/error.hpp"
#include "http/server.hpp"
#include "standins/platform/platform_service.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace asio = briarfold::core::asio;
namespace options = boost::program_options;
using namespace briarfold;

/// The service accepts bodies of whole tables, which are larger than a caller's request may be.
constexpr std::size_t body_limit_bytes = std::size_t{64} * 1024 * 1024;

/// Parses "FROM=TO".
std::pair<unsigned short, unsigned short> parse_port_pair(const std::string& text)
{
    const auto mark = text.find('=');
    if (mark == std::string::npos)
    {
        throw core::error("parse port pair", "", "expected FROM=TO, got \"" + text + "\"");
    }
    const auto port = [](const std::string& number) {
        return http::parse_endpoint("127.0.0.1:" + number).port;
    };
    return {port(text.substr(0, mark)), port(text.substr(mark + 1))};
}

int run(const options::variables_map& settings, const standins::platform_options& limits)
{
    asio::io_context context(1);
    history::writer history(settings["history"].as<std::string>(), "platform",
                            history::flush_policy::each_line);
    standins::platform_service service(context.get_executor(), limits, history);
    http::server_limits sizes;
    sizes.body_bytes = body_limit_bytes;
    const http::server server(
        context.get_executor(), http::parse_endpoint(settings["listen"].as<std::string>()),
        [&](http::request message, const http::endpoint&) { return service.answer(std::move(message)); },
        sizes);
    std::cout << "listening " << server.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    standins::platform_options limits;
    options::options_description all("standin-platform");
    auto add = all.add_options();
    add("help", "show the options");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address; port 0 picks one");
    add("history", options::value<std::string>()->default_value(""), "file for history lines");
    add("writes-per-s", options::value(&limits.writes_per_s)->default_value(limits.writes_per_s));
    add("reads-per-s", options::value(&limits.reads_per_s)->default_value(limits.reads_per_s));
    add("log-length", options::value(&limits.log_length)->default_value(limits.log_length),
        "changes kept for readers");
    add("instance-lag-ms", options::value(&limits.instance_lag.ms)->default_value(limits.instance_lag.ms));
    std::vector<std::string> port_pairs;
    add("map-router-port", options::value(&port_pairs)->composing(),
        "FROM=TO, replaced in router rows so that routers meet through relays; may be repeated");
    try
    {
        options::variables_map settings;
        options::store(options::parse_command_line(argc, argv, all), settings);
        options::notify(settings);
        if (settings.count("help") != 0)
        {
            std::cout << all << "\n";
            return 0;
        }
        for (const auto& text : port_pairs)
        {
            limits.router_ports.insert(parse_port_pair(text));
        }
        return run(settings, limits);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "standin-platform: " << failure.what() << "\n";
        return 1;
    }
}
