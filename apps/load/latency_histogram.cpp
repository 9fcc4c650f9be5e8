#include "apps/load/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarfold::load {

std::size_t latency_histogram::bucket_of(std::uint64_t value)
{
    constexpr std::uint64_t first_scaled = 1U << sub_bits;
    if (value < first_scaled)
    {
        return value;
    }
    const auto shift = static_cast<std::size_t>(std::bit_width(value)) - sub_bits - 1;
    return (shift << sub_bits) + (value >> shift);
}

std::uint64_t latency_histogram::upper_end(std::size_t bucket)
{
    constexpr std::size_t first_scaled = std::size_t{1} << sub_bits;
    if (bucket < 2 * first_scaled)
    {
        return bucket;
    }
    const auto shift = (bucket >> sub_bits) - 1;
    const auto base = bucket - (shift << sub_bits);
    return ((base + 1) << shift) - 1;
}

void latency_histogram::add(std::chrono::microseconds value)
{
    const auto positive = std::max(value, std::chrono::microseconds(0));
    ++buckets_[std::min(bucket_of(static_cast<std::uint64_t>(positive.count())), bucket_count - 1)];
    ++count_;
    max_ = std::max(max_, positive);
}

void latency_histogram::merge(const latency_histogram& other)
{
    std::ranges::transform(buckets_, other.buckets_, buckets_.begin(), std::plus<>());
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
}

std::chrono::microseconds latency_histogram::percentile(double quantile) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        seen += buckets_[bucket];
        if (seen >= rank && seen > 0)
        {
            return std::min(std::chrono::microseconds(upper_end(bucket)), max_);
        }
    }
    return max_;
}

} // namespace briarfold::load
