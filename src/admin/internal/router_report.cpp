#include "admin/router_report.hpp"

#include "core/error.hpp"

namespace briarfold::admin {

nlohmann::json to_json(const router_report& value)
{
    return {{"instance_id", value.instance_id},
            {"zone", value.zone},
            {"is_reachable", value.is_reachable},
            {"revision", value.revision},
            {"unconfirmed_ms", value.unconfirmed_ms},
            {"versions", value.versions},
            {"rejected", value.rejected}};
}

router_report parse_router_report(const nlohmann::json& value)
{
    try
    {
        router_report result;
        result.instance_id = value.at("instance_id").get<std::string>();
        result.zone = value.at("zone").get<std::string>();
        result.is_reachable = value.at("is_reachable").get<bool>();
        result.revision = value.at("revision").get<std::int64_t>();
        result.unconfirmed_ms = value.at("unconfirmed_ms").get<std::int64_t>();
        result.versions = value.at("versions").get<std::map<std::string, std::int64_t>>();
        result.rejected = value.at("rejected").get<std::map<std::string, std::int64_t>>();
        return result;
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("parse router report", "", failure.what());
    }
}

in_force_report check_in_force(const std::vector<router_report>& routers, const std::string& customer,
                               std::int64_t version)
{
    in_force_report result;
    result.routers = routers.size();
    for (const auto& router : routers)
    {
        if (!router.is_reachable)
        {
            result.unknown.push_back(router.instance_id);
            continue;
        }
        const auto applied = router.versions.find(customer);
        if (applied != router.versions.end() && applied->second >= version)
        {
            ++result.in_force;
            continue;
        }
        result.behind.push_back(router.instance_id);
    }
    return result;
}

nlohmann::json to_json(const in_force_report& value)
{
    return {{"routers", value.routers},
            {"in_force", value.in_force},
            {"is_everywhere", value.is_everywhere()},
            {"behind", value.behind},
            {"unknown", value.unknown}};
}

} // namespace briarfold::admin
