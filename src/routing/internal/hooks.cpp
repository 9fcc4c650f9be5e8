#include "routing/hooks.hpp"

#include <algorithm>

namespace briarfold::routing {

bool customer_terms::allows(std::string_view service) const
{
    return services.empty() || std::ranges::find(services, service) != services.end();
}

bool customer_terms::is_idempotent(std::string_view method) const
{
    return std::ranges::find(idempotent_methods, method) != idempotent_methods.end();
}

terms_result find_terms(const routing_hooks& hooks, const std::string& customer)
{
    static const auto defaults = std::make_shared<const customer_terms>();
    return hooks.terms ? hooks.terms(customer) : terms_result(defaults);
}

} // namespace briarfold::routing
