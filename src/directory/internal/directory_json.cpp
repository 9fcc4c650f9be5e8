#include "directory/directory_types.hpp"

namespace briarfold::directory {

namespace {

using nlohmann::json;

std::string endpoint_to_text(const http::endpoint& value)
{
    return value.address.empty() ? std::string() : http::to_string(value);
}

http::endpoint endpoint_from_json(const json& value)
{
    const auto text = value.get<std::string>();
    return text.empty() ? http::endpoint() : http::parse_endpoint(text);
}

json handovers_to_json(const std::vector<handover>& values)
{
    auto list = json::array();
    for (const auto& item : values)
    {
        list.push_back({item.range.first, item.range.last, item.token});
    }
    return list;
}

} // namespace

json to_json(const keyspace::key_set& value)
{
    auto list = json::array();
    for (const auto& range : value)
    {
        list.push_back({range.first, range.last});
    }
    return list;
}

keyspace::key_set keys_from_json(const json& value)
{
    keyspace::key_set keys;
    for (const auto& item : value)
    {
        keys.push_back({item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint32_t>()});
    }
    return keys;
}

// Entries are arrays in a fixed order, without field names, since every router receives every entry.
json to_json(const entry& value)
{
    const auto& server = value.server;
    return json::array({server.id, server.start_time_ms, server.service, endpoint_to_text(server.address),
                        server.zone, server.slots, server.is_draining, server.warmup_left.ms, value.is_listed,
                        value.is_unreachable, value.front, to_json(value.keys), to_json(value.withdrawn),
                        handovers_to_json(value.handovers), value.prior_grant_remaining.ms, value.token_base,
                        value.front_token, value.revision});
}

entry entry_from_json(const json& value)
{
    entry result;
    std::size_t next = 0;
    const auto take = [&]() -> const json& { return value.at(next++); };
    result.server.id = take().get<std::string>();
    result.server.start_time_ms = take().get<std::int64_t>();
    result.server.service = take().get<std::string>();
    result.server.address = endpoint_from_json(take());
    result.server.zone = take().get<std::string>();
    result.server.slots = take().get<int>();
    result.server.is_draining = take().get<bool>();
    result.server.warmup_left.ms = take().get<std::int64_t>();
    result.is_listed = take().get<bool>();
    result.is_unreachable = take().get<bool>();
    result.front = take().get<std::string>();
    result.keys = keys_from_json(take());
    result.withdrawn = keys_from_json(take());
    for (const auto& item : take())
    {
        result.handovers.push_back({{item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint32_t>()},
                                    item.at(2).get<std::string>()});
    }
    result.prior_grant_remaining.ms = take().get<std::int64_t>();
    result.token_base = take().get<std::int64_t>();
    result.front_token = take().get<std::int64_t>();
    result.revision = take().get<std::int64_t>();
    return result;
}

json to_json(const router& value)
{
    return json::array({value.name, value.incarnation, value.zone, endpoint_to_text(value.peer), value.cpu,
                        value.is_stopping, value.bandwidth_mbps});
}

router router_from_json(const json& value)
{
    router result;
    result.name = value.at(0).get<std::string>();
    result.incarnation = value.at(1).get<std::string>();
    result.zone = value.at(2).get<std::string>();
    result.peer = endpoint_from_json(value.at(3));
    result.cpu = value.at(4).get<double>();
    result.is_stopping = value.at(5).get<bool>();
    // Routers of earlier releases do not send it.
    constexpr std::size_t bandwidth_position = 6;
    if (value.size() > bandwidth_position)
    {
        result.bandwidth_mbps = value.at(bandwidth_position).get<double>();
    }
    return result;
}

json to_json(const update& value)
{
    json entries = json::array();
    for (const auto& [id, item] : value.changed.entries)
    {
        entries.push_back(to_json(item));
    }
    json result = {{"whole", value.is_full_snapshot},
                   {"base", value.base},
                   {"term", value.changed.term},
                   {"rev", value.changed.revision},
                   {"leader", value.changed.leader},
                   {"deputies", value.changed.deputies},
                   {"lost", value.changed.lost_routers},
                   {"withheld_ms", value.changed.withheld_remaining.ms},
                   {"entries", std::move(entries)},
                   {"removed", value.removed},
                   {"routers_rev", value.changed.routers_revision}};
    if (value.has_routers())
    {
        auto routers = json::array();
        for (const auto& [name, item] : value.changed.routers)
        {
            routers.push_back(to_json(item));
        }
        result["routers"] = std::move(routers);
        result["removed_routers"] = value.removed_routers;
    }
    return result;
}

update update_from_json(const json& value)
{
    update result;
    result.is_full_snapshot = value.at("whole").get<bool>();
    result.base = value.at("base").get<std::int64_t>();
    result.changed.term = value.at("term").get<generation>();
    result.changed.revision = value.at("rev").get<std::int64_t>();
    result.changed.leader = value.at("leader").get<std::string>();
    result.changed.deputies = value.at("deputies").get<std::vector<std::string>>();
    // Routers of earlier releases do not tell.
    result.changed.lost_routers = value.value("lost", std::vector<std::string>());
    result.changed.withheld_remaining.ms = value.at("withheld_ms").get<std::int64_t>();
    result.removed = value.at("removed").get<std::vector<std::string>>();
    for (const auto& item : value.at("entries"))
    {
        auto parsed = entry_from_json(item);
        result.changed.entries.emplace(parsed.server.id, std::move(parsed));
    }
    result.changed.routers_revision = value.at("routers_rev").get<std::int64_t>();
    if (value.contains("routers"))
    {
        result.removed_routers = value.at("removed_routers").get<std::vector<std::string>>();
        for (const auto& item : value.at("routers"))
        {
            auto parsed = router_from_json(item);
            result.changed.routers.emplace(parsed.name, std::move(parsed));
        }
    }
    return result;
}

} // namespace briarfold::directory
