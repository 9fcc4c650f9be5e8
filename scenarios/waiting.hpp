/// Waiting for conditions with a limit.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"

#include <functional>
#include <string>
#include <thread>

namespace briarfold::scenarios {

constexpr core::duration poll_interval{20};

inline void sleep_for(core::duration span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.ms));
}

/// Returns when `condition` holds. Throws core::timeout_error naming `what` after `limit`.
inline void wait_until(const std::string& what, core::duration limit, const std::function<bool()>& condition)
{
    const auto end = core::clock::now() + limit;
    while (!condition())
    {
        if (core::clock::now() >= end)
        {
            throw core::timeout_error("wait until " + what, "",
                                      "not within " + std::to_string(limit.ms) + " ms");
        }
        sleep_for(poll_interval);
    }
}

} // namespace briarfold::scenarios
