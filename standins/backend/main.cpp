// standin-backend: a keyed backend server that accepts fenced grants.
#include "core/error.hpp"
#include "http/server.hpp"
#include "standins/backend/backend_service.hpp"
#include "standins/backend/registration.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace asio = briarfold::core::asio;
namespace options = boost::program_options;
using namespace briarfold;

/// Lets the last answers leave before the process ends.
asio::awaitable<void> end_after_answers(http::server& server, asio::io_context& context)
{
    constexpr std::chrono::milliseconds check_interval{5};
    server.begin_stop();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (server.in_flight() > 0)
    {
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    context.stop();
}

int run(const options::variables_map& settings, standins::backend_options backend)
{
    asio::io_context context(1);
    history::writer history(settings["history"].as<std::string>(), backend.server.id,
                            history::flush_policy::each_line);
    std::unique_ptr<standins::backend_service> service;
    http::server server(
        context.get_executor(), http::parse_endpoint(settings["listen"].as<std::string>()),
        [&](http::request message, const http::endpoint&) { return service->answer(std::move(message)); });
    backend.server.address = http::parse_endpoint(settings["listen"].as<std::string>());
    backend.server.address.port = server.port();
    if (const auto advertised = settings["advertise"].as<std::string>(); !advertised.empty())
    {
        backend.server.address = http::parse_endpoint(advertised);
    }
    service = std::make_unique<standins::backend_service>(context.get_executor(), backend, history, [&] {
        asio::co_spawn(context, end_after_answers(server, context), asio::detached);
    });
    asio::co_spawn(context, service->sample_load(), asio::detached);
    if (const auto platform = settings["register"].as<std::string>(); !platform.empty())
    {
        asio::co_spawn(context, standins::register_backend(http::parse_endpoint(platform), backend.server),
                       asio::detached);
    }
    std::cout << "listening " << server.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& code, int) {
        if (!code)
        {
            service->begin_stop();
        }
    });
    context.run();
    return 0;
}

options::options_description describe(standins::backend_options& backend)
{
    auto& server = backend.server;
    options::options_description all("standin-backend");
    auto add = all.add_options();
    add("help", "show the options");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address; port 0 picks one");
    add("advertise", options::value<std::string>()->default_value(""),
        "address in the row when it differs, as behind a relay");
    add("register", options::value<std::string>()->default_value(""),
        "platform address to register at with intent joining");
    add("history", options::value<std::string>()->default_value(""), "file for history lines");
    add("id", options::value(&server.id)->required());
    add("service", options::value(&server.service)->required());
    add("zone", options::value(&server.zone)->default_value("zone-1"));
    add("slots", options::value(&server.slots)->default_value(1));
    add("connections", options::value(&server.connections)->default_value(1));
    add("checks-grants", options::value(&server.checks_grants)->default_value(true));
    add("latency-ms", options::value(&backend.latency.ms)->default_value(backend.latency.ms));
    add("cold-start-ms", options::value(&backend.cold_start.ms)->default_value(0));
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    standins::backend_options backend;
    const auto all = describe(backend);
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
        return run(settings, backend);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "standin-backend: " << failure.what() << "\n";
        return 1;
    }
}
