/// Edge routers in processes of their own, beside a metadata store and backend servers in this process.
#pragma once

#include "core/pause.hpp"
#include "scenarios/child_process.hpp"
#include "scenarios/ports.hpp"
#include "standins/edge/tests/cluster_checks.hpp"
#include "standins/relay/tcp_relay.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace briarfold::standins {

inline std::string read_variable(const char* name, const std::string& fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : text;
}

class process_cluster : public edge_cluster
{
public:
    /// Changes the settings of a router before its first start.
    using settings_change = std::function<void(settings::edge_settings&)>;

    /// Writes the settings and logs of the routers to `folder`.
    process_cluster(std::size_t routers, std::size_t backends, std::filesystem::path folder,
                    const settings_change& change = {})
        : edge_cluster(0, 0), folder_(std::move(folder))
    {
        std::filesystem::create_directories(folder_);
        for (std::size_t i = 0; i < backends; ++i)
        {
            register_backend(add_backend());
        }
        for (std::size_t i = 0; i < routers; ++i)
        {
            names.push_back("r" + std::to_string(i));
            settings.push_back(make_process_settings(i));
            if (change)
            {
                change(settings.back());
            }
            relays.push_back(std::make_unique<relay_pair>());
            relays.back()->listen = settings.back().advertised_peer;
            relays.back()->target = settings.back().peer;
            core::asio::co_spawn(context, relay_tcp(*relays.back()), core::asio::detached);
            processes.push_back(nullptr);
            starts_.push_back(0);
            start_process(i);
        }
    }

    /// Starts a backend server with an address and an id of its own, without an entry in the registry.
    keyed_backend& add_backend(const std::string& service = "keyed")
    {
        const auto number = backends.size();
        start_backend("b" + std::to_string(number), {"127.0.0.1", scenarios::take_port()},
                      number % 2 == 0 ? "a" : "b", service);
        return *backends.back();
    }

    void register_backend(keyed_backend& item, bool is_draining = false)
    {
        store.put("servers", item.id(), item.registration(is_draining));
    }

    /// Starts the process of a router, also one that ended.
    void start_process(std::size_t i)
    {
        settings[i].is_first_start = starts_[i] == 0;
        const auto file = folder_ / (names[i] + ".toml");
        std::ofstream(file) << render(settings[i]);
        ::setenv("BRIARFOLD_NODE_FILE", file.c_str(), 1);
        const auto log = names[i] + "." + std::to_string(++starts_[i]) + ".log";
        processes[i] = std::make_unique<scenarios::child_process>(
            names[i], read_variable("ROUTER_PLAY_PROGRAM", BRIARFOLD_EDGE_PROGRAM),
            std::vector<std::string>(), folder_ / log);
    }

    /// Whether the process of a router has written its log, so that it handles signals.
    bool has_started(std::size_t i) const
    {
        std::error_code absent;
        const auto log = folder_ / (names[i] + "." + std::to_string(starts_[i]) + ".log");
        const auto size = std::filesystem::file_size(log, absent);
        return !absent && size > 0;
    }

    /// Writes all spans in which keys were held, in the time of the routers' logs.
    void write_spans() const
    {
        const auto offset = core::clock::wall().ms - core::clock::now().ms;
        std::ofstream file(folder_ / "spans.txt");
        for (const auto& item : backends)
        {
            for (const auto& span : item->spans())
            {
                file << span.from.ms + offset << " to " << span.until.ms + offset << ' ' << item->id()
                     << " at " << http::to_string(item->address()) << " keys " << span.first << " to "
                     << span.last << " token " << span.token << '\n';
            }
        }
    }

    std::vector<std::unique_ptr<scenarios::child_process>> processes;
    /// The relays through which the other routers reach each one.
    std::vector<std::unique_ptr<relay_pair>> relays;

private:
    std::filesystem::path folder_;
    std::vector<int> starts_;

    settings::edge_settings make_process_settings(std::size_t i) const
    {
        settings::edge_settings value;
        value.name = names[i];
        value.zone = i % 2 == 0 ? "a" : "b";
        for (auto* const local :
             {&value.frontend, &value.readiness, &value.peer, &value.advertised_peer, &value.metrics})
        {
            *local = {"127.0.0.1", scenarios::take_port()};
        }
        value.store = {"127.0.0.1", store.port()};
        return value;
    }

    static std::string render(const settings::edge_settings& value)
    {
        const auto fields = settings::to_json(value);
        std::string text;
        for (const auto& [name, setting] : fields.items())
        {
            if (!setting.is_object())
            {
                text += name + " = " + setting.dump() + "\n";
            }
        }
        return text + "[bounds]\nbudget-slack = 60\n[start]\nis_first = " +
               (value.is_first_start ? "true" : "false") + "\n";
    }
};

} // namespace briarfold::standins
