/// Rendezvous hashing: routers with the same live view choose the same router for a role without
/// communication.
#pragma once

#include "membership/membership_types.hpp"

#include <functional>
#include <string_view>

namespace briarfold::membership {

/// Returns the routers by descending weight for `role` (for instance "front/fd-07"). Routers for which
/// `prefers` returns true come first.
std::vector<router_info> rendezvous_order(std::vector<router_info> routers, std::string_view role,
                                          const std::function<bool(const router_info&)>& prefers = {});

} // namespace briarfold::membership
