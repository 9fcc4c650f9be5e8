/// One listen address and its target, with the fault in force and counters that show its effect.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace briarfold::standins {

enum class relay_mode
{
    pass,
    /// Closes connections, open and new ones; discards datagrams.
    drop,
    /// Passes bytes on after a delay.
    delay,
    /// Accepts connections and bytes but passes none on, until the mode changes.
    hold
};

/// Runs on one thread.
struct relay_pair
{
    std::string name;
    bool is_udp = false;
    http::endpoint listen;
    http::endpoint target;

    relay_mode mode = relay_mode::pass;
    core::duration delay;
    /// Datagrams of these source ports are discarded whatever the mode; cuts one sender off.
    std::set<unsigned short> blocked_ports;
    /// Connections with a lower number are silent for good.
    std::uint64_t silent_below = 0;

    std::uint64_t connections = 0;
    std::uint64_t bytes_passed = 0;
    std::uint64_t bytes_held = 0;
    std::uint64_t dropped = 0;

    bool holds(std::uint64_t connection) const
    {
        return mode == relay_mode::hold || connection < silent_below;
    }
};

/// Parses "name,tcp,127.0.0.1:1,127.0.0.1:2" (listen, then target). Throws core::error.
relay_pair parse_pair(const std::string& text);

/// Applies {"mode","delay_ms","blocked_ports","scope"}. With mode hold, scope "existing" silences the open
/// connections for good while new ones pass. Throws core::error.
void apply_fault(relay_pair& pair, const nlohmann::json& body);

nlohmann::json to_json(const relay_pair& pair);

} // namespace briarfold::standins
