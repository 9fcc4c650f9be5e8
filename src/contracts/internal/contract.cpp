#include "contracts/contract.hpp"

#include "document/field_reader.hpp"

#include <algorithm>
#include <set>

namespace briarfold::contracts {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr double min_requests_per_s = 0.1;
constexpr double max_requests_per_s = 1e7;
constexpr std::int64_t max_burst = 10000000;
constexpr std::int64_t max_concurrency = 1000000;
constexpr double min_slot_share = 0.001;
constexpr std::int64_t deadline_limit_ms = 600000;
constexpr std::int64_t default_deadline_ms = 5000;
constexpr std::int64_t default_max_deadline_ms = 30000;
constexpr double default_retry_budget = 0.1;
constexpr double max_weight = 1000;

const std::vector<std::string>& known_methods()
{
    static const std::vector<std::string> methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};
    return methods;
}

const std::vector<std::string>& default_idempotent_methods()
{
    static const std::vector<std::string> methods{"GET", "HEAD", "PUT", "DELETE"};
    return methods;
}

void read_limits(document::field_reader& reader, contract_fields& result)
{
    result.requests_per_s = reader.number("requests_per_s", min_requests_per_s, max_requests_per_s);
    result.burst = reader.integer("burst", 1, max_burst);
    result.concurrency = reader.integer("concurrency", 1, max_concurrency);
    result.slot_share = reader.number("slot_share", min_slot_share, 1);
    result.retry_budget = reader.number("retry_budget", 0, 1, default_retry_budget);
    result.weight_unavailable = reader.number("weight_unavailable", 0, max_weight, 1);
    result.weight_churn = reader.number("weight_churn", 0, max_weight, 1);
}

void read_deadlines(document::field_reader& reader, contract_fields& result)
{
    const auto max_ms = reader.integer("max_deadline_ms", 1, deadline_limit_ms, default_max_deadline_ms);
    const auto default_ms =
        reader.integer("default_deadline_ms", 1, deadline_limit_ms, std::min(default_deadline_ms, max_ms));
    if (default_ms > max_ms)
    {
        reader.add_error("default_deadline_ms", std::to_string(default_ms),
                         "an integer from 1 to max_deadline_ms, which is " + std::to_string(max_ms));
    }
    result.default_deadline = {default_ms};
    result.max_deadline = {max_ms};
}

} // namespace

contract contract::parse(const nlohmann::json& document, const std::string& name)
{
    document::field_reader reader(document);
    contract_fields result;
    result.customer = reader.text("customer", document::name_rule(max_name_length));
    result.services = reader.texts("services", document::name_rule(max_name_length), 1);
    read_limits(reader, result);
    read_deadlines(reader, result);
    result.idempotent_methods = reader.texts("idempotent_methods", document::choice_rule(known_methods()), 0,
                                             default_idempotent_methods());
    reader.finish(name);
    return contract(std::move(result));
}

bool contract::allows(std::string_view service) const
{
    return std::ranges::find(fields_.services, service) != fields_.services.end();
}

bool contract::is_idempotent(std::string_view method) const
{
    return std::ranges::find(fields_.idempotent_methods, method) != fields_.idempotent_methods.end();
}

nlohmann::json to_json(const contract& value)
{
    return {{"customer", value.customer()},
            {"services", value.services()},
            {"requests_per_s", value.requests_per_s()},
            {"burst", value.burst()},
            {"concurrency", value.concurrency()},
            {"slot_share", value.slot_share()},
            {"default_deadline_ms", value.default_deadline().ms},
            {"max_deadline_ms", value.max_deadline().ms},
            {"retry_budget", value.retry_budget()},
            {"idempotent_methods", value.idempotent_methods()},
            {"weight_unavailable", value.weight_unavailable()},
            {"weight_churn", value.weight_churn()}};
}

std::vector<field_change> diff(const nlohmann::json& before, const nlohmann::json& after)
{
    std::set<std::string> names;
    for (const auto* side : {&before, &after})
    {
        for (const auto& [name, value] : side->items())
        {
            names.insert(name);
        }
    }
    std::vector<field_change> changes;
    for (const auto& name : names)
    {
        field_change change{name, before.value(name, nlohmann::json()), after.value(name, nlohmann::json())};
        if (change.before != change.after)
        {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

} // namespace briarfold::contracts
