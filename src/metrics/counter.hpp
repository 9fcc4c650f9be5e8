/// A number of events since the process started.
#pragma once

#include <atomic>
#include <cstdint>

namespace briarfold::metrics {

/// Thread-safe.
class counter
{
public:
    void add(std::uint64_t events = 1) { value_.fetch_add(events, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

} // namespace briarfold::metrics
