/// Fixture: a leader with reporting routers and a store that commits every write.
#pragma once

#include "leader/leader_state.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::leader::tests {

using core::duration;
using core::time_point;

inline directory::router make_router(const std::string& name, const std::string& zone = "a",
                                     const std::string& incarnation = "1")
{
    directory::router router;
    router.name = name;
    router.zone = zone;
    router.incarnation = incarnation;
    router.peer = {"10.0.0.1", 7000};
    return router;
}

inline directory::backend_server make_server(const std::string& id, const std::string& zone = "a",
                                             const std::string& service = "keyed")
{
    directory::backend_server server;
    server.id = id;
    server.start_time_ms = 1;
    server.service = service;
    server.zone = zone;
    server.address = {"10.0.1.1", 8000};
    server.slots = 6;
    return server;
}

struct fixture
{
    fixture() { restart(10); }

    void restart(std::int64_t term)
    {
        state.emplace(leader_settings(), make_router("r1"), directory::generation{0, term}, now,
                      [this](const char* decision, const std::string&, const nlohmann::json&) {
                          decisions.emplace_back(decision);
                      });
        state->set_keyed_services({"keyed"});
        version = std::max(version, term);
    }

    void report(const std::string& name, std::vector<freed_report> freed = {},
                std::vector<std::string> unreachable = {}, const std::string& incarnation = "1")
    {
        router_report message;
        message.router = make_router(name, name == "r2" ? "b" : "a", incarnation);
        message.freed = std::move(freed);
        message.unreachable = std::move(unreachable);
        message.term = state->current().term;
        message.revision = state->current().revision;
        state->on_report(message, now);
    }

    /// Registers a backend server of zone "a" as draining and lets its keys be withdrawn.
    void drain(const std::string& id)
    {
        auto leaving = make_server(id);
        leaving.is_draining = true;
        state->on_registered(leaving, now);
        advance(200);
    }

    /// Advances the clock in steps of 100 ms; in each step the routers report and writes are committed.
    void advance(std::int64_t ms, const std::vector<std::string>& routers = {"r1", "r2", "r3"})
    {
        for (std::int64_t step = 0; step < ms; step += 100)
        {
            now = now + duration{100};
            std::ranges::for_each(routers, [this](const auto& name) { report(name); });
            state->tick(now);
            write();
        }
    }

    std::size_t write()
    {
        const auto rows = state->take_pending_rows();
        if (!rows.empty())
        {
            written = rows;
            std::ranges::for_each(rows, [this](const auto& row) { stored[row.name] = row; });
            state->on_written({0, ++version});
        }
        return rows.size();
    }

    const directory::entry& entry(const std::string& id) { return state->current().entries.at(id); }

    void start(std::size_t servers)
    {
        for (std::size_t i = 0; i < servers; ++i)
        {
            state->on_registered(make_server("s" + std::to_string(i), i % 2 == 0 ? "a" : "b"), now);
        }
        advance(3000);
    }

    time_point now{5000000};
    std::int64_t version = 0;
    std::vector<std::string> decisions;
    /// Rows of the last write, and all stored rows by name.
    std::vector<assignment_row> written;
    std::map<std::string, assignment_row> stored;
    std::optional<leader_state> state;
};

} // namespace briarfold::leader::tests
