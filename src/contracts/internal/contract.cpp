#include "contracts/contract.hpp"

#include "document/field_reader.hpp"

#include <algorithm>
#include <set>

namespace briarfold::contracts {

namespace {

constexpr std::size_t longest_name = 64;
constexpr double least_rate = 0.1;
constexpr double most_rate = 1e7;
constexpr std::int64_t most_burst = 10000000;
constexpr std::int64_t most_concurrency = 1000000;
constexpr double least_share = 0.001;
constexpr std::int64_t longest_deadline_ms = 600000;
constexpr std::int64_t usual_deadline_ms = 5000;
constexpr std::int64_t usual_max_deadline_ms = 30000;
constexpr double usual_retry_budget = 0.1;
constexpr double most_weight = 1000;

const std::vector<std::string>& known_methods()
{
    static const std::vector<std::string> methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};
    return methods;
}

const std::vector<std::string>& usual_idempotent_methods()
{
    static const std::vector<std::string> methods{"GET", "HEAD", "PUT", "DELETE"};
    return methods;
}

void read_limits(document::field_reader& reader, contract_fields& result)
{
    result.requests_per_s = reader.number("requests_per_s", least_rate, most_rate);
    result.burst = reader.integer("burst", 1, most_burst);
    result.concurrency = reader.integer("concurrency", 1, most_concurrency);
    result.slot_share = reader.number("slot_share", least_share, 1);
    result.retry_budget = reader.number("retry_budget", 0, 1, usual_retry_budget);
    result.weight_unavailable = reader.number("weight_unavailable", 0, most_weight, 1);
    result.weight_churn = reader.number("weight_churn", 0, most_weight, 1);
}

void read_deadlines(document::field_reader& reader, contract_fields& result)
{
    const auto most = reader.integer("max_deadline_ms", 1, longest_deadline_ms, usual_max_deadline_ms);
    const auto usual =
        reader.integer("default_deadline_ms", 1, longest_deadline_ms, std::min(usual_deadline_ms, most));
    if (usual > most)
    {
        reader.add_error("default_deadline_ms", std::to_string(usual),
                         "an integer from 1 to max_deadline_ms, which is " + std::to_string(most));
    }
    result.default_deadline = {usual};
    result.max_deadline = {most};
}

} // namespace

contract contract::parse(const nlohmann::json& document, const std::string& name)
{
    document::field_reader reader(document);
    contract_fields result;
    result.customer = reader.text("customer", document::name_rule(longest_name));
    result.services = reader.texts("services", document::name_rule(longest_name), 1);
    read_limits(reader, result);
    read_deadlines(reader, result);
    result.idempotent_methods = reader.texts("idempotent_methods", document::choice_rule(known_methods()), 0,
                                             usual_idempotent_methods());
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
