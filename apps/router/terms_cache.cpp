#include "apps/router/terms_cache.hpp"

namespace briarfold::router {

namespace {

std::shared_ptr<const routing::customer_terms> make_terms(const contracts::contract& contract)
{
    auto terms = std::make_shared<routing::customer_terms>();
    terms->services = contract.services();
    terms->slot_share = contract.slot_share();
    terms->default_deadline = contract.default_deadline();
    terms->max_deadline = contract.max_deadline();
    terms->retry_budget = contract.retry_budget();
    terms->idempotent_methods = contract.idempotent_methods();
    return terms;
}

} // namespace

routing::terms_result terms_cache::find(const std::string& customer)
{
    const auto found = contracts_.find(customer);
    if (!found.contract)
    {
        return routing::terms_result(nullptr, found.is_certain);
    }
    const std::scoped_lock lock(mutex_);
    auto& cached = entries_[customer];
    if (cached.contract != found.contract)
    {
        cached.contract = found.contract;
        cached.terms = make_terms(found.contract->contract);
    }
    return routing::terms_result(cached.terms);
}

} // namespace briarfold::router
