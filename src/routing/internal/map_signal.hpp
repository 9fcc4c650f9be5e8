/// Signal that wakes requests waiting for a newer map.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace briarfold::routing::internal {

/// Thread-safe.
class map_signal
{
public:
    /// Returns after `notify` or after `limit`.
    core::asio::awaitable<void> wait(core::duration limit);
    void notify();
    std::size_t waiting() const;

private:
    using timer_pointer = std::shared_ptr<core::asio::steady_timer>;

    mutable std::mutex mutex_;
    std::vector<timer_pointer> timers_;
};

} // namespace briarfold::routing::internal
