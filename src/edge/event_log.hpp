/// Structured log of decisions: one JSON object a line, bounded in volume, never blocking.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace briarfold::edge {

struct event_log_settings
{
    /// Name of this router, in each line.
    std::string node;
    /// Lines a second over a longer time, and lines that may come at once.
    double lines_per_s = 60;
    double burst_lines = 600;
    /// Bytes that wait while nobody reads.
    std::size_t buffer_bytes = std::size_t{256} << 10U;
};

/// Lines wait in memory and are written by `flush`. What the rate or a full buffer leaves out is counted and
/// reported by a line of its own. Not thread-safe.
class event_log
{
public:
    /// Writes what it can without blocking and returns the number of bytes taken.
    using sink = std::function<std::size_t(const char* data, std::size_t size)>;

    event_log(event_log_settings settings, sink output);

    /// `event` names the decision, `fields` its inputs and outcome.
    void write(const char* event, nlohmann::json fields);
    /// The same for frequent lines: every n-th is kept, with a counter of the others.
    void write_sampled(const char* event, const std::function<nlohmann::json()>& fields);
    void flush();

    std::uint64_t dropped() const { return dropped_total_; }

private:
    bool has_allowance();
    void append(const char* event, nlohmann::json fields);

    event_log_settings settings_;
    sink output_;
    std::string buffer_;
    double allowance_;
    core::time_point allowance_at_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_total_ = 0;
    std::uint64_t sampled_ = 0;
};

/// Non-blocking writes to a file descriptor that others may share, without changing its flags.
event_log::sink make_descriptor_sink(int descriptor);

} // namespace briarfold::edge
