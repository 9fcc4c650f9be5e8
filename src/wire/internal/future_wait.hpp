/// Blocking wait for the result of a coroutine.
#pragma once

#include "core/error.hpp"

#include <atomic>
#include <chrono>
#include <future>

namespace briarfold::wire::internal {

/// Blocks until the future is ready and returns its value or throws its exception. Polls the stop flag,
/// because a stopped I/O context never completes the future. Throws core::connection_error after a stop.
template <class T>
T wait_for(std::future<T>& result, const std::atomic<bool>& is_stopping)
{
    constexpr std::chrono::milliseconds poll_interval{50};
    while (result.wait_for(poll_interval) != std::future_status::ready)
    {
        if (is_stopping)
        {
            throw core::connection_error("call", "", "shutting down");
        }
    }
    return result.get();
}

} // namespace briarfold::wire::internal
