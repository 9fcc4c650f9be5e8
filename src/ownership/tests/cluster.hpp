/// Routers, backend servers and the platform in one process, over loopback, for tests of the driver.
#pragma once

#include "core/ids.hpp"
#include "http/server.hpp"
#include "membership/feed_order.hpp"
#include "membership/registration.hpp"
#include "ownership/ownership.hpp"
#include "replica/peer_source.hpp"
#include "standins/backend/backend_service.hpp"
#include "standins/backend/registration.hpp"
#include "standins/platform/platform_service.hpp"
#include "store/http_table_store.hpp"
#include "wire/peer_network.hpp"

#include <functional>
#include <thread>

namespace briarfold::ownership::tests {

namespace asio = core::asio;

/// An io_context with its own threads.
struct runner
{
    explicit runner(int threads)
    {
        for (int i = 0; i < threads; ++i)
        {
            workers.emplace_back([this] { context.run(); });
        }
    }
    ~runner() { halt(); }
    void halt()
    {
        guard.reset();
        context.stop();
        workers.clear();
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    std::vector<std::jthread> workers;
};

/// Returns a history writer that discards all events.
inline history::writer& no_history()
{
    static history::writer instance("", "test", history::flush_policy::buffered);
    return instance;
}

struct platform_node
{
    runner threads{1};
    standins::platform_service service{threads.context.get_executor(), {}, no_history()};
    http::server server{
        threads.context.get_executor(), http::endpoint("127.0.0.1", 0),
        [this](http::request message, const http::endpoint&) { return service.answer(std::move(message)); }};

    http::endpoint address() const { return {"127.0.0.1", server.port()}; }
};

/// A backend server. Halting its threads resembles a killed or frozen process: it no longer answers.
struct backend_node
{
    backend_node(const std::string& id, const std::string& zone, const http::endpoint& platform,
                 const http::endpoint& listen = {"127.0.0.1", 0})
        : server(threads.context.get_executor(), listen,
                 [this](http::request message, const http::endpoint&) {
                     return service->answer(std::move(message));
                 })
    {
        standins::backend_options options;
        options.server.id = id;
        options.server.service = "fleetdesk";
        options.server.zone = zone;
        options.server.address = {"127.0.0.1", server.port()};
        service = std::make_unique<standins::backend_service>(threads.context.get_executor(), options,
                                                              no_history(), [] {});
        asio::co_spawn(threads.context, standins::register_backend(platform, options.server), asio::detached);
    }

    runner threads{1};
    std::unique_ptr<standins::backend_service> service;
    http::server server;
};

struct router_node
{
    router_node(const std::string& zone, const http::endpoint& platform)
        : store(threads.context.get_executor(), platform),
          channel(threads.context.get_executor(), {"127.0.0.1", 0}),
          network(threads.context.get_executor(), wire::peer_settings({"127.0.0.1", 0}, "token", id)),
          members(make_info(zone), rows),
          heartbeats(threads.context.get_executor(), channel, members, rows, store),
          registered(members.self(), store, rows),
          feed(rows, membership::make_feed_order(members, store, network)),
          protocol(threads.context.get_executor(), {members, heartbeats, rows, store, network, no_history()})
    {
        replica::serve_changes(network, rows);
        protocol.start();
        heartbeats.start();
        asio::co_spawn(threads.context, feed.run(), asio::detached);
        asio::co_spawn(threads.context, registered.run(), asio::detached);
        asio::co_spawn(threads.context, heartbeats.run(), asio::detached);
    }
    ~router_node() { threads.halt(); }

    membership::router_info make_info(const std::string& zone) const
    {
        membership::router_info info;
        info.instance_id = id;
        info.zone = zone;
        info.ip = "127.0.0.1";
        info.peer_port = network.port();
        info.udp_port = channel.port();
        return info;
    }

    std::string id = core::make_id("router");
    runner threads{2};
    store::http_table_store store;
    membership::udp_channel channel;
    wire::peer_network network;
    replica::replica rows;
    membership::membership members;
    membership::heartbeat_service heartbeats;
    membership::registration registered;
    replica::feed feed;
    ownership protocol;
};

/// Waits at most 30 s for the condition. Returns whether it was met.
inline bool wait_until(const std::function<bool()>& condition)
{
    constexpr core::duration limit{30000};
    const auto deadline = core::clock::now() + limit;
    while (!condition())
    {
        if (core::clock::now() > deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace briarfold::ownership::tests
