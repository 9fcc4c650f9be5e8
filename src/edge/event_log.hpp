/// Structured log of decisions: one JSON object per line, rate-limited and non-blocking.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace briarfold::edge {

struct event_log_settings
{
    /// Name of this router, written to each line.
    std::string node;
    /// Sustained rate in lines per second, and the size of a burst in lines.
    double lines_per_s = 60;
    double burst_lines = 600;
    /// Capacity of the buffer for lines that the output has not taken yet.
    std::size_t buffer_bytes = std::size_t{256} << 10U;
};

/// Rate-limited log that buffers lines in memory until `flush` writes them. Lines dropped because of the rate
/// limit or a full buffer are counted, and the count is logged in a line of its own. Not thread-safe.
class event_log
{
public:
    /// Writes what it can without blocking and returns the number of bytes written.
    using sink = std::function<std::size_t(const char* data, std::size_t size)>;

    event_log(event_log_settings settings, sink output);

    /// Logs one decision: `event` names it, `fields` are its inputs and outcome.
    void write(const char* event, nlohmann::json fields);
    /// Logs one of every 64 calls, with that interval as the field `sampled_of`. For frequent events.
    void write_sampled(const char* event, const std::function<nlohmann::json()>& fields);
    void flush();

    std::uint64_t dropped() const { return total_drops_; }

private:
    bool take_token();
    void append(const char* event, nlohmann::json fields);

    event_log_settings settings_;
    sink output_;
    std::string buffer_;
    double tokens_;
    core::time_point refilled_at_;
    std::uint64_t unreported_drops_ = 0;
    std::uint64_t total_drops_ = 0;
    std::uint64_t sample_calls_ = 0;
};

/// Returns a sink that writes to a file descriptor without blocking. Leaves the flags of the descriptor
/// unchanged, since others may share it.
event_log::sink make_descriptor_sink(int descriptor);

} // namespace briarfold::edge
