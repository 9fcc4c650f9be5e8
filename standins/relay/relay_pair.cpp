#include "standins/relay/relay_pair.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace briarfold::standins {

namespace {

using named_mode = std::pair<relay_mode, const char*>;
constexpr std::array<named_mode, 4> mode_names{{{relay_mode::pass, "pass"},
                                                {relay_mode::drop, "drop"},
                                                {relay_mode::delay, "delay"},
                                                {relay_mode::hold, "hold"}}};

relay_mode parse_mode(const std::string& text)
{
    const auto* const found =
        std::ranges::find_if(mode_names, [&](const named_mode& item) { return text == item.second; });
    if (found == mode_names.end())
    {
        throw core::error("set relay", "", "unknown mode \"" + text + "\"");
    }
    return found->first;
}

} // namespace

relay_pair parse_pair(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    constexpr std::size_t part_count = 4;
    if (parts.size() != part_count || (parts[1] != "tcp" && parts[1] != "udp"))
    {
        throw core::error("parse relay pair", "",
                          "expected name,tcp|udp,listen,target, got \"" + text + "\"");
    }
    relay_pair pair;
    pair.name = parts[0];
    pair.is_udp = parts[1] == "udp";
    pair.listen = http::parse_endpoint(parts[2]);
    pair.target = http::parse_endpoint(parts[3]);
    return pair;
}

void apply_fault(relay_pair& pair, const nlohmann::json& body)
{
    const auto mode = parse_mode(body.value("mode", "pass"));
    if (mode == relay_mode::hold && body.value("scope", "all") == "existing")
    {
        pair.silent_below = pair.connections;
        return;
    }
    pair.mode = mode;
    pair.delay.ms = body.value("delay_ms", std::int64_t{0});
    pair.blocked_ports = body.value("blocked_ports", std::set<unsigned short>{});
}

nlohmann::json to_json(const relay_pair& pair)
{
    return {{"name", pair.name},
            {"mode", std::ranges::find(mode_names, pair.mode, &named_mode::first)->second},
            {"connections", pair.connections},
            {"bytes_passed", pair.bytes_passed},
            {"bytes_held", pair.bytes_held},
            {"dropped", pair.dropped}};
}

} // namespace briarfold::standins
