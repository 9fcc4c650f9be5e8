/// Quantiles of a measured quantity, usually a latency in milliseconds.
#pragma once

#include "core/clock.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>

namespace briarfold::metrics {

/// The quantiles of each summary.
constexpr std::array<double, 4> summary_quantiles{0.5, 0.9, 0.99, 0.999};
/// Quantiles describe the last complete window of this length, or the first one while it lasts.
constexpr core::duration summary_window{30000};

/// `count` and `sum` cover the life of the process. `quantiles` are NaN when nothing was recorded lately.
struct summary_values
{
    std::uint64_t count = 0;
    double sum = 0;
    std::array<double, summary_quantiles.size()> quantiles{};
};

/// Thread-safe. Memory does not grow with the number of values (extended P-square estimate).
class summary
{
public:
    summary();
    ~summary();

    void record(double value, core::time_point now = core::clock::now());
    summary_values values(core::time_point now = core::clock::now()) const;

private:
    struct window;

    void rotate(core::time_point now) const;

    mutable std::mutex mutex_;
    mutable std::unique_ptr<window> current_;
    mutable std::unique_ptr<window> last_;
    mutable core::time_point window_end_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

} // namespace briarfold::metrics
