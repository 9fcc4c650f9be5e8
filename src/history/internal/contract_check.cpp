// G8. A router is bound from its first line on; it counts as running until its last line. Faults that name it
// exempt it for their time.
#include "history/internal/checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

namespace briarfold::history::internal {

namespace {

struct applied
{
    core::time_point time;
    std::int64_t version = 0;
};

struct router_record
{
    core::time_point first;
    core::time_point last;
    std::map<std::string, std::vector<applied>> applied_by_customer;
};

struct fault_span
{
    std::vector<std::string> targets;
    core::time_point begin;
    std::optional<core::time_point> end;
};

/// A target names a process, a prefix of its instance id, or with "*" all processes.
bool names(const fault_span& fault, const std::string& process)
{
    return std::ranges::any_of(fault.targets, [&](const std::string& target) {
        return target == "*" || target == process || process.starts_with(target + "-");
    });
}

std::vector<fault_span> collect_faults(const std::vector<event>& events)
{
    std::map<std::string, fault_span> open;
    std::vector<fault_span> faults;
    for (const auto& value : events)
    {
        if (value.kind != event_kind::fault)
        {
            continue;
        }
        const std::string name = value.fields.at("name");
        if (value.fields.at("phase") == "begin")
        {
            open.try_emplace(name, fault_span{value.fields.at("targets"), value.time, std::nullopt});
            continue;
        }
        if (const auto position = open.find(name); position != open.end())
        {
            position->second.end = value.time;
            faults.push_back(position->second);
            open.erase(position);
        }
    }
    std::ranges::transform(open, std::back_inserter(faults), [](const auto& item) { return item.second; });
    return faults;
}

bool is_exempt(const std::vector<fault_span>& faults, const std::string& process, core::time_point begin,
               core::time_point end)
{
    return std::ranges::any_of(faults, [&](const fault_span& fault) {
        return names(fault, process) && fault.begin <= end && (!fault.end || begin <= *fault.end);
    });
}

std::map<std::string, router_record> collect_routers(const std::vector<event>& events)
{
    std::map<std::string, router_record> routers;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::contract_applied && !is_store_line(value))
        {
            auto& router = routers[value.process];
            router.applied_by_customer[value.fields.at("customer")].push_back(
                {value.time, value.fields.at("version")});
        }
    }
    for (const auto& value : events)
    {
        const auto router = routers.find(value.process);
        if (router == routers.end())
        {
            continue;
        }
        if (router->second.first == core::time_point{})
        {
            router->second.first = value.time;
        }
        router->second.last = value.time;
    }
    return routers;
}

void check_order(const std::string& process, const router_record& router, std::vector<violation>& found)
{
    for (const auto& [customer, versions] : router.applied_by_customer)
    {
        const auto back = std::ranges::adjacent_find(
            versions, [](const applied& a, const applied& b) { return b.version < a.version; });
        if (back != versions.end())
        {
            found.push_back({violation_kind::contract_went_back, (back + 1)->time,
                             fmt::format("{} went from version {} of {} to {}", process, back->version,
                                         customer, (back + 1)->version)});
        }
    }
}

bool has_version(const router_record& router, const std::string& customer, std::int64_t version,
                 core::time_point by)
{
    const auto versions = router.applied_by_customer.find(customer);
    return versions != router.applied_by_customer.end() &&
           std::ranges::any_of(versions->second, [&](const applied& item) {
               return item.version >= version && item.time <= by;
           });
}

} // namespace

void check_contracts(const std::vector<event>& events, const check_options& options,
                     std::vector<violation>& found)
{
    const auto routers = collect_routers(events);
    const auto faults = collect_faults(events);
    for (const auto& [process, router] : routers)
    {
        check_order(process, router, found);
    }
    for (const auto& value : events)
    {
        if (value.kind != event_kind::contract_applied || !is_store_line(value))
        {
            continue;
        }
        const std::string customer = value.fields.at("customer");
        const std::int64_t version = value.fields.at("version");
        for (const auto& [process, router] : routers)
        {
            const auto begin = std::max(value.time, router.first);
            const auto by = begin + options.contract_bound;
            if (router.last >= by && !has_version(router, customer, version, by) &&
                !is_exempt(faults, process, begin, by))
            {
                found.push_back({violation_kind::contract_late, by,
                                 fmt::format("{} lacks version {} of {}", process, version, customer)});
            }
        }
    }
}

} // namespace briarfold::history::internal
