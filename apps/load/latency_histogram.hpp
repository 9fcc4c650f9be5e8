/// Latencies with a bounded relative error.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace briarfold::load {

/// Buckets grow with the value: 32 for each power of two, so that a percentile is off by at most 1/32.
class latency_histogram
{
public:
    void add(std::chrono::microseconds value);
    void merge(const latency_histogram& other);
    /// The value below which the share `quantile` of the entries lies; 0 without entries.
    std::chrono::microseconds percentile(double quantile) const;
    std::chrono::microseconds max() const { return max_; }
    std::uint64_t count() const { return count_; }

private:
    static constexpr std::size_t sub_bits = 5;
    static constexpr std::size_t bucket_count = (64 - sub_bits) << sub_bits;

    static std::size_t bucket_of(std::uint64_t value);
    static std::uint64_t upper_end(std::size_t bucket);

    std::array<std::uint32_t, bucket_count> buckets_{};
    std::uint64_t count_ = 0;
    std::chrono::microseconds max_{0};
};

} // namespace briarfold::load
