/// Faults that several scenarios use. Each returns when the fault has been seen to take effect and, if it
/// ends, has ended.
#pragma once

#include "scenarios/scenario.hpp"

#include <string>

namespace briarfold::scenarios {

/// Kills a router or backend server by name.
void kill_process(scenario_context& context, const std::string& name);
/// Kills the backend server and waits until others answer for its keys.
void kill_backend(scenario_context& context, backend_handle& backend);
/// Stops the backend server until others answer for its keys, and longer; then continues it.
void freeze_backend(scenario_context& context, backend_handle& backend);
void kill_router(scenario_context& context, router_handle& router);
/// Stops the router for several times the voucher duration, then continues it.
void pause_router(scenario_context& context, router_handle& router);
/// The platform is down for a while.
void store_pause(scenario_context& context);

} // namespace briarfold::scenarios
