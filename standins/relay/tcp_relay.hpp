/// Relays TCP connections of one pair.
#pragma once

#include "core/asio.hpp"
#include "standins/relay/relay_pair.hpp"

namespace briarfold::standins {

/// Accepts until the context stops. Throws boost::system::system_error when the address is in use.
core::asio::awaitable<void> relay_tcp(relay_pair& pair);

} // namespace briarfold::standins
