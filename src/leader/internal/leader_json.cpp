#include "leader/leader_types.hpp"

namespace briarfold::leader {

using nlohmann::json;

namespace {

json to_json(const std::vector<server_process>& values)
{
    json list = json::array();
    for (const auto& item : values)
    {
        list.push_back({item.backend_server, item.start_time_ms});
    }
    return list;
}

std::vector<server_process> processes_from_json(const json& values)
{
    std::vector<server_process> list;
    for (const auto& item : values)
    {
        list.push_back({item.at(0).get<std::string>(), item.at(1).get<std::int64_t>()});
    }
    return list;
}

} // namespace

json to_json(const router_report& value)
{
    json freed = json::array();
    for (const auto& item : value.freed)
    {
        freed.push_back({item.backend_server, item.range.first, item.range.last, item.handover});
    }
    json work = json::object();
    for (const auto& [service, keys] : value.work)
    {
        json list = json::array();
        for (const auto& item : keys)
        {
            list.push_back(item.key);
            list.push_back(static_cast<int>(item.work_ms));
        }
        work[service] = std::move(list);
    }
    return {{"router", directory::to_json(value.router)},
            {"freed", std::move(freed)},
            {"unreachable", value.unreachable},
            {"short_of_tokens", value.short_of_tokens},
            {"ended", to_json(value.ended)},
            {"leaving", to_json(value.leaving)},
            {"needs_proof", value.needs_proof},
            {"work", std::move(work)},
            {"answer_bytes", value.answer_bytes},
            {"mean_work_ms", value.mean_work_ms},
            {"cold", value.cold},
            {"slowness", value.slowness}};
}

router_report report_from_json(const json& value)
{
    router_report result;
    result.router = directory::router_from_json(value.at("router"));
    for (const auto& item : value.at("freed"))
    {
        result.freed.push_back({item.at(0).get<std::string>(),
                                {item.at(1).get<std::uint32_t>(), item.at(2).get<std::uint32_t>()},
                                item.at(3).get<std::string>()});
    }
    result.unreachable = value.at("unreachable").get<std::vector<std::string>>();
    // Routers of earlier releases do not send these.
    result.short_of_tokens = value.value("short_of_tokens", std::vector<std::string>());
    result.ended = processes_from_json(value.value("ended", json::array()));
    result.leaving = processes_from_json(value.value("leaving", json::array()));
    result.needs_proof = value.value("needs_proof", false);
    result.answer_bytes = value.value("answer_bytes", std::map<std::string, std::int64_t>());
    result.mean_work_ms = value.value("mean_work_ms", std::map<std::string, double>());
    result.cold = value.value("cold", std::map<std::string, std::int64_t>());
    for (const auto& [service, list] : value.at("work").items())
    {
        auto& keys = result.work[service];
        for (std::size_t i = 0; i + 1 < list.size(); i += 2)
        {
            keys.push_back({list[i].get<std::uint32_t>(), list[i + 1].get<double>()});
        }
    }
    result.slowness = value.at("slowness").get<std::map<std::string, double>>();
    return result;
}

} // namespace briarfold::leader
