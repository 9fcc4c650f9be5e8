/// Relays datagrams of one pair; the answers of the target go back to the sender.
#pragma once

#include "core/asio.hpp"
#include "standins/relay/relay_pair.hpp"

namespace briarfold::standins {

/// Relays until the context stops. Throws boost::system::system_error when the address is in use.
core::asio::awaitable<void> relay_udp(relay_pair& pair);

} // namespace briarfold::standins
