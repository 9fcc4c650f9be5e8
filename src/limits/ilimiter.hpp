/// The limits of contracts on the traffic that enters through this router.
#pragma once

#include "contracts/contract_version.hpp"
#include "limits/limit_types.hpp"

namespace briarfold::limits {

/// Thread-safe; no call waits.
class ilimiter
{
public:
    virtual ~ilimiter() = default;

    /// Asks the request rate and the concurrency of the contract for one request.
    virtual admission admit(const contracts::contract_version& contract) = 0;
    /// Takes one retry from the customer's budget. False: do not retry. The share for each backend server is
    /// kept by routing.
    virtual bool take_retry(const contracts::contract_version& contract) = 0;
};

} // namespace briarfold::limits
