/// Registers a backend server as a row of the platform's table.
#pragma once

#include "core/asio.hpp"
#include "ownership/ownership_types.hpp"

namespace briarfold::standins {

/// Writes the row with intent `joining` when it is absent. An existing row keeps its owner's fields: only a
/// changed address, and the intent `stopped`, are replaced. Repeats until the platform accepts.
core::asio::awaitable<void> register_backend(http::endpoint platform, ownership::backend_server server);

} // namespace briarfold::standins
