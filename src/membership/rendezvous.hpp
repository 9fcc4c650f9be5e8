/// Rendezvous hashing: every router picks the same router for a role without talking to the others.
#pragma once

#include "membership/membership_types.hpp"

#include <functional>
#include <string_view>

namespace briarfold::membership {

/// Routers by falling weight for `role` (for instance "front/fd-07"). Routers for which `prefers` holds come
/// before all others.
std::vector<router_info> rendezvous_order(std::vector<router_info> routers, std::string_view role,
                                          const std::function<bool(const router_info&)>& prefers = {});

} // namespace briarfold::membership
