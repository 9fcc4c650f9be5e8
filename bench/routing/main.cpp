// bench-routing: runs one router with static ownership, or prints the summary of a benchmark run.
#include "bench/common/static_routing.hpp"
#include "core/error.hpp"
#include "http/server.hpp"
#include "routing/entry.hpp"
#include "routing/front.hpp"
#include "wire/peer_network.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sys/resource.h>
#include <thread>

namespace {

namespace asio = briarfold::core::asio;
namespace options = boost::program_options;
using namespace briarfold;
using nlohmann::json;

constexpr std::int64_t us_per_second = 1000000;

std::int64_t cpu_us()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * us_per_second + usage.ru_utime.tv_usec +
           usage.ru_stime.tv_usec;
}

membership::router_info make_router(const std::string& id, unsigned short peer_port)
{
    membership::router_info info;
    info.instance_id = id;
    info.zone = "z1";
    info.ip = "127.0.0.1";
    info.peer_port = peer_port;
    return info;
}

std::vector<ownership::backend_server> make_servers(const std::vector<std::string>& addresses, int slots)
{
    std::vector<ownership::backend_server> servers;
    for (const auto& address : addresses)
    {
        ownership::backend_server server;
        server.id = "b" + std::to_string(servers.size());
        server.service = "svc";
        server.address = http::parse_endpoint(address);
        server.zone = "z1";
        server.slots = slots;
        server.connections = 130;
        server.intent = ownership::intent::active;
        servers.push_back(server);
    }
    return servers;
}

std::shared_ptr<const ownership::iownership_map> make_map(const options::variables_map& settings)
{
    return std::make_shared<bench::static_map>(
        make_servers(settings["backend"].as<std::vector<std::string>>(), settings["slots"].as<int>()),
        settings["slices"].as<std::size_t>());
}

/// Returns the router given by --front, so that all requests go to it; without --front, this router.
std::vector<membership::router_info> make_live_routers(const options::variables_map& settings,
                                                       const membership::router_info& self)
{
    const auto front = settings["front"].as<unsigned short>();
    return {front == 0 ? self : make_router("front", front)};
}

int run_router(const options::variables_map& settings)
{
    const auto threads = settings["threads"].as<std::size_t>();
    asio::io_context context(static_cast<int>(threads));
    const auto executor = context.get_executor();
    bench::static_ownership ownership(make_map(settings));
    routing::routing_counters counters;
    const auto id = settings["front"].as<unsigned short>() == 0 ? "front" : "entry";
    wire::peer_network network(executor, wire::peer_settings(http::endpoint("127.0.0.1", 0), "token", id));
    const auto self = make_router(id, network.port());
    bench::static_membership membership(self, make_live_routers(settings, self));
    routing::front front(executor, ownership, {}, counters);
    routing::entry entry(routing::entry_parts(ownership, membership, front, network, counters), {});
    network.on_forward([&](wire::forward_request request, std::shared_ptr<core::cancellation> cancel) {
        return front.serve(std::move(request), std::move(cancel));
    });
    http::server server(executor, http::endpoint("127.0.0.1", 0),
                        [&](http::request message, const http::endpoint&) -> asio::awaitable<http::response> {
                            return entry.answer(std::move(message), nullptr);
                        });
    http::server control(
        executor, http::endpoint("127.0.0.1", 0),
        [&](http::request, http::endpoint) -> asio::awaitable<http::response> {
            const json body = {{"cpu_us", cpu_us()}, {"counters", routing::to_map(counters)}};
            co_return http::json_response(200, body.dump());
        });
    std::cout << server.port() << ' ' << network.port() << ' ' << control.port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i)
    {
        workers.emplace_back([&] { context.run(); });
    }
    std::ranges::for_each(workers, &std::thread::join);
    return 0;
}

json read_json(const std::string& path)
{
    std::ifstream file(path);
    return json::parse(file);
}

/// Prints the summary of the files in `folder`: direct.json and routed.json from briarfold-load, and
/// <role>-before.json and <role>-after.json from the control port.
int summarise(const std::string& folder)
{
    const auto direct = read_json(folder + "/direct.json");
    const auto routed = read_json(folder + "/routed.json");
    const auto answered = routed["outcomes"]["answered"].get<double>();
    const auto duration = routed["options"]["duration_s"].get<double>();
    std::cout << "rate offered " << routed["options"]["rate"] << "/s, answered " << answered / duration
              << "/s, not answered " << routed["outcomes"].dump() << '\n';
    for (const char* role : {"entry", "front"})
    {
        const auto before = read_json(folder + "/" + role + "-before.json")["cpu_us"].get<double>();
        const auto after = read_json(folder + "/" + role + "-after.json")["cpu_us"].get<double>();
        std::cout << role << ": " << (after - before) / answered << " us CPU a request, "
                  << (after - before) / duration / us_per_second << " cores\n";
    }
    for (const char* name : {"p50", "p90", "p99"})
    {
        const auto base = direct["latency_ms"][name].get<double>();
        const auto value = routed["latency_ms"][name].get<double>();
        std::cout << name << ": direct " << base << " ms, routed " << value << " ms, added " << value - base
                  << " ms\n";
    }
    return 0;
}

int run(int argc, char** argv)
{
    options::options_description all("bench-routing");
    auto add = all.add_options();
    add("help", "show the options");
    add("summary", options::value<std::string>()->default_value(""), "folder of a finished run");
    add("threads", options::value<std::size_t>()->default_value(2), "worker threads");
    add("front", options::value<unsigned short>()->default_value(0), "peer port of the front; 0: serve here");
    add("backend", options::value<std::vector<std::string>>()->multitoken(), "ip:port of backend servers");
    add("slots", options::value<int>()->default_value(16), "slots of each backend server");
    add("slices", options::value<std::size_t>()->default_value(1000), "slices of the map");
    options::variables_map settings;
    options::store(options::parse_command_line(argc, argv, all), settings);
    if (settings.contains("help"))
    {
        std::cout << all;
        return 0;
    }
    options::notify(settings);
    const auto folder = settings["summary"].as<std::string>();
    return folder.empty() ? run_router(settings) : summarise(folder);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "bench-routing: " << failure.what() << '\n';
        return 2;
    }
}
