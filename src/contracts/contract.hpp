/// The contract of one customer, which defines all limits on its traffic.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarfold::contracts {

/// Fields of a contract; docs/design.md section 7 lists them.
struct contract_fields
{
    std::string customer;
    /// Services that the customer may call.
    std::vector<std::string> services;
    /// Sustained rate and maximum burst in requests, over all routers.
    double requests_per_s = 0;
    std::int64_t burst = 0;
    /// Maximum number of requests in flight, over all routers.
    std::int64_t concurrency = 0;
    /// Weight of the customer in the queue for a backend server's slots, above 0 and at most 1.
    double slot_share = 0;
    core::duration default_deadline;
    core::duration max_deadline;
    /// Maximum ratio of retries to requests.
    double retry_budget = 0;
    std::vector<std::string> idempotent_methods;
    /// Weights of unavailable time and churn in the placement.
    double weight_unavailable = 0;
    double weight_churn = 0;

    bool operator==(const contract_fields&) const = default;
};

/// A validated contract. Immutable.
class contract
{
public:
    /// Parses and validates a document. Throws document::invalid_document with all errors; `name` is the
    /// source in the message.
    static contract parse(const nlohmann::json& document, const std::string& name);

    const std::string& customer() const { return fields_.customer; }
    const std::vector<std::string>& services() const { return fields_.services; }
    double requests_per_s() const { return fields_.requests_per_s; }
    std::int64_t burst() const { return fields_.burst; }
    std::int64_t concurrency() const { return fields_.concurrency; }
    double slot_share() const { return fields_.slot_share; }
    core::duration default_deadline() const { return fields_.default_deadline; }
    core::duration max_deadline() const { return fields_.max_deadline; }
    double retry_budget() const { return fields_.retry_budget; }
    const std::vector<std::string>& idempotent_methods() const { return fields_.idempotent_methods; }
    double weight_unavailable() const { return fields_.weight_unavailable; }
    double weight_churn() const { return fields_.weight_churn; }

    bool allows(std::string_view service) const;
    bool is_idempotent(std::string_view method) const;

    bool operator==(const contract&) const = default;

private:
    explicit contract(contract_fields fields) : fields_(std::move(fields)) {}

    contract_fields fields_;
};

/// Returns the complete document, defaults included; `parse` accepts it.
nlohmann::json to_json(const contract& value);

/// One field that differs between two documents; null when absent on that side.
struct field_change
{
    std::string field;
    nlohmann::json before;
    nlohmann::json after;

    bool operator==(const field_change&) const = default;
};

/// Returns the fields that differ, in alphabetical order.
std::vector<field_change> diff(const nlohmann::json& before, const nlohmann::json& after);

} // namespace briarfold::contracts
