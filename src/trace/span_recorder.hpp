/// Keeps the latest spans for lookup and writes them to the trace file.
#pragma once

#include "trace/ispan_sink.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace briarfold::trace {

struct recorder_limits
{
    /// Spans kept in memory for lookup: about 8 MB.
    std::size_t kept = 16384;
    /// Spans waiting to be written; further ones are dropped and counted.
    std::size_t queued = 8192;
    /// Bytes written to the file; further spans are dropped and counted.
    std::uint64_t file_bytes = 268435456;
};

class span_recorder : public ispan_sink
{
public:
    /// An empty `file` turns writing off. Throws core::error when the file cannot be opened.
    span_recorder(std::string instance_id, const std::string& file, recorder_limits limits = {});
    /// Writes what is queued.
    ~span_recorder() override;
    span_recorder(const span_recorder&) = delete;
    span_recorder& operator=(const span_recorder&) = delete;

    void record(span finished) override;
    /// Spans of a request that are still kept, in the order in which they ended.
    std::vector<span> find(const std::string& request_id) const;
    /// Spans that did not reach the file.
    std::uint64_t dropped() const;

private:
    void write_loop(const std::string& file);

    const std::string instance_id_;
    const recorder_limits limits_;
    const bool has_file_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<span> kept_;
    std::vector<span> queue_;
    std::uint64_t dropped_ = 0;
    bool is_stopping_ = false;
    std::jthread writer_;
};

} // namespace briarfold::trace
