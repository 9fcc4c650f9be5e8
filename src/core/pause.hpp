/// A wait inside a coroutine.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"

namespace briarfold::core {

/// Returns after `span` on the executor of the calling coroutine.
asio::awaitable<void> pause_for(duration span);

} // namespace briarfold::core
