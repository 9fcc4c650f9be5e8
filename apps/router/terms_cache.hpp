/// Cache of the terms that routing reads from the contracts in force.
#pragma once

#include "contracts/icontracts.hpp"
#include "routing/hooks.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace briarfold::router {

/// Caches the terms of the latest contract of each customer, so that a request copies no strings.
/// Thread-safe.
class terms_cache
{
public:
    explicit terms_cache(const contracts::icontracts& contracts) : contracts_(contracts) {}

    routing::terms_result find(const std::string& customer);

private:
    struct entry
    {
        contracts::contract_pointer contract;
        std::shared_ptr<const routing::customer_terms> terms;
    };

    const contracts::icontracts& contracts_;
    std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

} // namespace briarfold::router
