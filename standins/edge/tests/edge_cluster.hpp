/// Several edge routers, a metadata store and backend servers in one process, connected over loopback.
#pragma once

#include "edge/router_node.hpp"
#include "http/client_connection.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/row_table.hpp"
#include "standins/edge/keyed_backend.hpp"
#include "standins/edge/metadata_store.hpp"

#include <iostream>
#include <memory>
#include <random>
#include <set>

namespace briarfold::standins {

struct call_record
{
    std::string attempt;
    unsigned status = 0;
    std::string body;
    bool is_idempotent = false;
    core::time_point sent;
    core::duration elapsed;
    std::string service = "keyed";
};

/// Test cluster on 127.0.0.1 with ports that the system chooses.
class edge_cluster
{
public:
    edge_cluster(std::size_t routers, std::size_t backends) : store(context.get_executor(), {"127.0.0.1", 0})
    {
        for (std::size_t i = 0; i < backends; ++i)
        {
            start_backend("b" + std::to_string(i), {"127.0.0.1", 0}, i % 2 == 0 ? "a" : "b");
            store.put("servers", this->backends.back()->id(), this->backends.back()->registration());
        }
        put_config(1);
        for (std::size_t i = 0; i < routers; ++i)
        {
            names.push_back("r" + std::to_string(i));
            settings.push_back(make_settings(i));
            logs.push_back(nullptr);
            nodes.push_back(nullptr);
            start_router(i);
        }
    }

    /// `extra_routes` is a number of routes that no request takes.
    void put_config(int version, const std::string& prefix = "/keyed/", int extra_routes = 0)
    {
        auto paths = nlohmann::json::array();
        paths.push_back(make_path("read", prefix, true));
        paths.push_back(make_path("write", "/write/", false));
        for (int i = 0; i < extra_routes; ++i)
        {
            const auto name = "extra-" + std::to_string(i);
            paths.push_back(make_path(name, "/" + name + "/", true));
        }
        store.put("op", "config",
                  {{"version", "r" + std::to_string(version)},
                   {"backends", {{{"name", "keyed"}, {"sharded", true}, {"warm-s", 1.0}}}},
                   {"hosts", {{{"hostname", "h.example"}, {"paths", std::move(paths)}}}}});
    }

    /// Starts a backend server without an entry in the registry.
    void start_backend(const std::string& id, const http::endpoint& address, const std::string& zone,
                       const std::string& service = "keyed")
    {
        backends.push_back(std::make_unique<keyed_backend>(context.get_executor(), address, id, service, zone,
                                                           2, core::duration{20}));
    }

    /// Starts a router, also one that was killed.
    void start_router(std::size_t i)
    {
        ended_nodes_.push_back(std::move(nodes[i]));
        // Operations of a killed router may still end and use its log.
        ended_logs_.push_back(std::move(logs[i]));
        auto& log_output = log_text;
        logs[i] = std::make_unique<edge::event_log>(edge::event_log_settings{names[i]},
                                                    [&log_output](const char* data, std::size_t size) {
                                                        log_output.append(data, size);
                                                        return size;
                                                    });
        const auto pool = std::make_shared<store::connection_pool>(context.get_executor(),
                                                                   http::endpoint("127.0.0.1", store.port()));
        edge::store_tables tables;
        tables.cluster_state = std::make_shared<platform::row_table>(pool, "briarfold");
        tables.config = std::make_shared<platform::row_table>(pool, "op");
        tables.registry = std::make_shared<platform::row_table>(pool, "servers");
        tables.evacuation_prefix = platform::evacuation_prefix;
        nodes[i] = std::make_unique<edge::router_node>(context, settings[i], platform::make_protocol(),
                                                       tables, *logs[i]);
    }

    /// Runs the event loop for `ms` milliseconds.
    void run_for(std::int64_t ms)
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(ms));
    }

    /// Runs until every router is ready, for at most 100 rounds of 100 ms plus the probes. Returns whether
    /// all are ready.
    bool await_ready()
    {
        for (int i = 0; i < 100; ++i)
        {
            run_for(100);
            std::size_t ready = 0;
            for (const auto& item : settings)
            {
                ready += probe_readiness(item.readiness) == 200 ? 1 : 0;
            }
            if (ready == settings.size())
            {
                run_for(1500);
                return true;
            }
        }
        std::cerr << "routers are not ready; their decisions:\n" << log_text;
        return false;
    }

    unsigned probe_readiness(const http::endpoint& peer)
    {
        unsigned status = 0;
        core::asio::co_spawn(
            context,
            [&status, peer]() -> core::asio::awaitable<void> {
                try
                {
                    http::request message("GET", "/-/readyz");
                    status = (co_await http::fetch(peer, std::move(message), core::duration{200})).status;
                }
                catch (const core::error&)
                {
                    status = 0;
                }
            },
            core::asio::detached);
        run_for(60);
        return status;
    }

    /// Starts `clients` clients, each of which sends requests one after the other for `ms` milliseconds.
    void start_load(std::size_t clients, std::int64_t ms)
    {
        const auto end = core::clock::now() + core::duration{ms};
        ++loads_;
        for (std::size_t i = 0; i < clients; ++i)
        {
            const auto name = "q" + std::to_string(loads_) + "-" + std::to_string(i);
            core::asio::co_spawn(context, run_client(name, i, end), core::asio::detached);
        }
    }

    static http::request make_request(const std::string& attempt, bool is_idempotent, std::uint32_t key)
    {
        http::request message(is_idempotent ? "GET" : "POST", is_idempotent ? "/keyed/x" : "/write/x");
        message.headers.emplace_back("Host", "h.example");
        message.headers.emplace_back("Briarfold-Attempt-Id", attempt);
        message.headers.emplace_back("Briarfold-Deadline-Ms", "2000");
        message.headers.emplace_back("Briarfold-Shard-Key", std::to_string(key));
        return message;
    }

    core::asio::awaitable<void> run_client(std::string name, std::size_t sequence, core::time_point end)
    {
        while (core::clock::now() < end)
        {
            call_record record;
            record.attempt = name + "-" + std::to_string(++sequence);
            record.is_idempotent = sequence % 2 == 0;
            constexpr std::size_t key_step = 7919;
            auto message =
                make_request(record.attempt, record.is_idempotent,
                             static_cast<std::uint32_t>(sequence * key_step % keyspace::key_count));
            // Halved, so that both kinds of requests reach every router.
            const auto peer = settings[sequence / 2 % settings.size()].frontend;
            record.sent = core::clock::now();
            try
            {
                const auto answer = co_await http::fetch(peer, std::move(message), core::duration{3000});
                record.status = answer.status;
                record.body = answer.body;
            }
            catch (const core::error&)
            {
                record.status = 0;
            }
            record.elapsed = core::clock::now() - record.sent;
            records.push_back(record);
            const std::chrono::milliseconds pause(10);
            core::asio::steady_timer timer(context, pause);
            co_await timer.async_wait(core::asio::use_awaitable);
        }
    }

    std::size_t count(unsigned status) const
    {
        return static_cast<std::size_t>(std::ranges::count(records, status, &call_record::status));
    }

    /// Returns the number of runs of an attempt at all backend servers.
    int runs(const std::string& attempt) const
    {
        int sum = 0;
        for (const auto& item : backends)
        {
            const auto position = item->runs().find(attempt);
            sum += position == item->runs().end() ? 0 : position->second;
        }
        return sum;
    }

    core::asio::io_context context;
    metadata_store store;
    std::vector<std::unique_ptr<keyed_backend>> backends;
    std::vector<std::string> names;
    std::vector<settings::edge_settings> settings;
    std::string log_text;
    std::vector<std::unique_ptr<edge::event_log>> logs;
    std::vector<std::unique_ptr<edge::router_node>> nodes;
    std::vector<call_record> records;

private:
    std::vector<std::unique_ptr<edge::event_log>> ended_logs_;
    std::vector<std::unique_ptr<edge::router_node>> ended_nodes_;
    std::size_t loads_ = 0;

    static nlohmann::json make_path(const std::string& name, const std::string& prefix, bool is_idempotent)
    {
        return {{"name", name},       {"prefix", prefix}, {"type", is_idempotent ? "safe" : "unsafe"},
                {"timeout-ms", 2000}, {"slo-ms", 500},    {"priority", is_idempotent ? 1 : 0},
                {"backend", "keyed"}, {"max-attempts", 2}};
    }

    /// Returns a port that no outgoing connection takes before the router listens on it.
    unsigned short free_port()
    {
        constexpr int first_port = 12000;
        constexpr int last_port = 32000;
        std::uniform_int_distribution<int> ports(first_port, last_port);
        while (true)
        {
            const core::asio::ip::tcp::endpoint local(core::asio::ip::make_address("127.0.0.1"),
                                                      static_cast<unsigned short>(ports(random_)));
            core::asio::ip::tcp::acceptor acceptor(context, local.protocol());
            boost::system::error_code code;
            acceptor.bind(local, code);
            // A port that was chosen before may not be listened on yet.
            if (!code && chosen_ports_.insert(local.port()).second)
            {
                return local.port();
            }
        }
    }

    std::mt19937 random_{std::random_device{}()};
    std::set<unsigned short> chosen_ports_;

    settings::edge_settings make_settings(std::size_t i)
    {
        settings::edge_settings value;
        value.name = names[i];
        value.zone = i % 2 == 0 ? "a" : "b";
        value.frontend = {"127.0.0.1", free_port()};
        value.readiness = {"127.0.0.1", free_port()};
        value.peer = {"127.0.0.1", free_port()};
        value.metrics = {"127.0.0.1", free_port()};
        value.store = {"127.0.0.1", store.port()};
        value.retry_budget_slack = 60;
        return value;
    }
};

} // namespace briarfold::standins
