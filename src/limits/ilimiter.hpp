/// Interface that enforces the limits of contracts on the traffic that enters through this router.
#pragma once

#include "contracts/contract_version.hpp"
#include "limits/limit_types.hpp"

namespace briarfold::limits {

/// Thread-safe. No call blocks.
class ilimiter
{
public:
    virtual ~ilimiter() = default;

    /// Checks one request against the request rate and the concurrency of the contract.
    virtual admission admit(const contracts::contract_version& contract) = 0;
    /// Takes one retry from the customer's budget. Returns false when the budget is exhausted and the request
    /// must not be retried. Routing keeps the share for each backend server.
    virtual bool take_retry(const contracts::contract_version& contract) = 0;
};

} // namespace briarfold::limits
