/// Results of a run over time.
#pragma once

#include "apps/load/latency_histogram.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace briarfold::load {

enum class result_kind : std::uint8_t
{
    answered,
    refused,
    unknown,
    /// The generator itself had no connection free before the deadline; the request was not sent.
    not_sent
};

/// Times count from the start of the run.
struct sample
{
    sample() = default;

    std::chrono::microseconds intended{0};
    std::chrono::microseconds finished{0};
    result_kind kind = result_kind::unknown;
    std::uint64_t key_hash = 0;
    /// The backend server that answered; empty when unknown.
    std::string backend;
    /// Status, step and reason of anything but an answer.
    std::string reason;
};

/// Thread-safe.
class recorder
{
public:
    void add(const sample& value);

    nlohmann::json report() const;
    /// One line per second, tab separated, with a header line.
    std::string series() const;
    /// For the progress line.
    std::string summary() const;

private:
    struct interval
    {
        std::array<std::uint64_t, 4> counts{};
        latency_histogram latency;
        std::map<std::string, std::uint64_t> backends;
    };

    /// Keys of one part of the hash space; one backend server's loss shows as gaps of some groups.
    struct key_group
    {
        std::chrono::microseconds failing_since{-1};
    };

    struct gap
    {
        std::size_t group = 0;
        std::chrono::microseconds start{0};
        std::chrono::microseconds length{0};
    };

    static constexpr std::size_t group_bits = 6;

    void note_gap(const sample& value);
    static double imbalance(const std::map<std::string, std::uint64_t>& backends);

    mutable std::mutex mutex_;
    std::vector<interval> intervals_;
    interval total_;
    std::map<std::string, std::uint64_t> reasons_;
    std::array<key_group, std::size_t{1} << group_bits> groups_;
    std::vector<gap> gaps_;
};

} // namespace briarfold::load
