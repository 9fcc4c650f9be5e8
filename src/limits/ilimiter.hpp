/// The limits of contracts on the traffic that enters through this router.
#pragma once

#include "contracts/contract_version.hpp"
#include "limits/limit_types.hpp"

#include <string>

namespace briarfold::limits {

/// Thread-safe; no call waits.
class ilimiter
{
public:
    virtual ~ilimiter() = default;

    /// Asks the request rate and the concurrency of the contract for one request.
    virtual admission admit(const contracts::contract_version& contract) = 0;
    /// Takes one retry from the budget of the customer at that backend server. False: do not retry.
    virtual bool take_retry(const contracts::contract_version& contract,
                            const std::string& backend_server_id) = 0;
};

} // namespace briarfold::limits
