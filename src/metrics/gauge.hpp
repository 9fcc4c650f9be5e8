/// A level that rises and falls.
#pragma once

#include <atomic>

namespace briarfold::metrics {

/// Thread-safe.
class gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double change)
    {
        double old = value_.load(std::memory_order_relaxed);
        while (!value_.compare_exchange_weak(old, old + change, std::memory_order_relaxed))
        {
        }
    }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

} // namespace briarfold::metrics
