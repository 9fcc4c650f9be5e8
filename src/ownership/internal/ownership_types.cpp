#include "ownership/ownership_types.hpp"

#include "core/error.hpp"
#include "core/key_hash.hpp"

#include <algorithm>
#include <array>

namespace briarfold::ownership {

namespace {

constexpr std::array<std::pair<intent, const char*>, 5> intent_names{{{intent::joining, "joining"},
                                                                      {intent::active, "active"},
                                                                      {intent::leaving, "leaving"},
                                                                      {intent::stopped, "stopped"},
                                                                      {intent::lost, "lost"}}};
constexpr std::size_t hex_digits = 16;

nlohmann::json to_json(const predecessor& value)
{
    return {{"controller", value.controller}, {"witnesses", value.witnesses}, {"epoch", value.epoch}};
}

predecessor parse_predecessor(const nlohmann::json& value)
{
    return {value.at("controller"), value.at("witnesses"), value.at("epoch")};
}

} // namespace

std::string to_string(const slice& value)
{
    return core::to_hex(value.first) + "-" + core::to_hex(value.last);
}

slice parse_slice(const std::string& text)
{
    if (text.size() != 2 * hex_digits + 1 || text[hex_digits] != '-')
    {
        throw core::error("parse slice", "", "expected first-last, got \"" + text + "\"");
    }
    const slice value{core::from_hex(std::string_view(text).substr(0, hex_digits)),
                      core::from_hex(std::string_view(text).substr(hex_digits + 1))};
    if (value.first > value.last)
    {
        throw core::error("parse slice", "", "first is after last in \"" + text + "\"");
    }
    return value;
}

std::string to_string(intent value)
{
    return std::ranges::find(intent_names, value, &std::pair<intent, const char*>::first)->second;
}

intent parse_intent(const std::string& text)
{
    const auto* const found =
        std::ranges::find_if(intent_names, [&](const auto& item) { return text == item.second; });
    if (found == intent_names.end())
    {
        throw core::error("parse intent", "", "unknown intent \"" + text + "\"");
    }
    return found->first;
}

nlohmann::json to_json(const backend_server& value)
{
    auto slices = nlohmann::json::array();
    std::ranges::transform(value.slices, std::back_inserter(slices),
                           [](const slice& item) { return to_string(item); });
    auto predecessors = nlohmann::json::array();
    std::ranges::transform(value.predecessors, std::back_inserter(predecessors),
                           [](const predecessor& item) { return to_json(item); });
    return {{"id", value.id},
            {"service", value.service},
            {"address", http::to_string(value.address)},
            {"zone", value.zone},
            {"slots", value.slots},
            {"connections", value.connections},
            {"checks_grants", value.checks_grants},
            {"intent", to_string(value.intent)},
            {"incarnation", value.incarnation},
            {"epoch", value.epoch},
            {"controller", value.controller},
            {"witnesses", value.witnesses},
            {"predecessors", std::move(predecessors)},
            {"slices", std::move(slices)},
            {"slices_version", value.slices_version}};
}

backend_server parse_backend_server(const nlohmann::json& value)
{
    try
    {
        backend_server server;
        server.id = value.at("id");
        server.service = value.at("service");
        server.address = http::parse_endpoint(value.at("address"));
        server.zone = value.at("zone");
        server.slots = value.at("slots");
        server.connections = value.at("connections");
        server.checks_grants = value.value("checks_grants", true);
        server.intent = parse_intent(value.at("intent"));
        server.incarnation = value.value("incarnation", "");
        server.epoch = value.value("epoch", std::int64_t{0});
        server.controller = value.value("controller", "");
        server.witnesses = value.value("witnesses", std::vector<std::string>{});
        std::ranges::transform(value.value("predecessors", nlohmann::json::array()),
                               std::back_inserter(server.predecessors), parse_predecessor);
        std::ranges::transform(value.value("slices", std::vector<std::string>{}),
                               std::back_inserter(server.slices), parse_slice);
        server.slices_version = value.value("slices_version", std::int64_t{0});
        return server;
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("parse backend server", value.is_object() ? value.value("id", "") : "",
                          failure.what());
    }
}

} // namespace briarfold::ownership
