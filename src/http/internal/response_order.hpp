/// Order of the responses of one connection, and the rule for reading and starting further requests.
/// Handles clients that send several requests before the first response (pipelining), among them clients that
/// mix safe and unsafe requests and clients that do not read their responses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace briarfold::http::internal {

/// Bounds for the unanswered requests of one connection.
struct pipeline_limits
{
    std::size_t requests = 1;
    /// Requests and the responses to them that are not written yet.
    std::size_t bytes = 0;

    bool operator==(const pipeline_limits&) const = default;
};

/// No I/O and no clock. A request enters when it is started and leaves when its response is written.
class response_order
{
public:
    using request_id = std::uint64_t;

    struct write_step
    {
        request_id id = 0;
        /// The response carries `Connection: close`, and no request follows it.
        bool closes = false;

        bool operator==(const write_step&) const = default;
    };

    /// Whether the next request may be read. Without an unanswered request it always may, whatever its size.
    /// Behind others it may only while these are within the limits and each of them can run concurrently. A
    /// connection that is about to end reads nothing behind unanswered requests.
    bool may_read(const pipeline_limits& limits, bool is_ending) const;
    /// Whether a request that was read may start now. Otherwise it waits until those before it are answered.
    bool may_start(bool is_concurrent, bool is_ending) const;
    /// Starts a request. `is_last`: its response closes the connection.
    request_id start(bool is_concurrent, bool is_last, std::size_t bytes);
    /// The response is ready and takes `bytes` until it is written. Ignored for requests that have left.
    void complete(request_id id, std::size_t bytes);
    /// Begins to write the next response, if it is ready and no other one is being written. A connection that
    /// is about to end closes with the response to the last request that was started.
    std::optional<write_step> begin_write(bool is_ending);
    /// The response that was begun is written, and its request leaves.
    void end_write();
    /// Removes a request whose response can no longer be written.
    void remove(request_id id);

    /// No request is unanswered.
    bool is_empty() const { return entries_.empty(); }
    bool is_writing() const { return is_writing_; }
    /// A response that closes the connection was begun; requests that were not started never start.
    bool is_closing() const { return is_closing_; }
    /// The last request of the connection was started.
    bool is_last_started() const { return is_last_started_; }
    std::size_t bytes() const { return bytes_; }

private:
    struct entry
    {
        request_id id = 0;
        bool is_concurrent = false;
        bool is_last = false;
        bool is_ready = false;
        std::size_t bytes = 0;
    };

    std::deque<entry> entries_;
    request_id next_id_ = 1;
    std::size_t bytes_ = 0;
    bool is_writing_ = false;
    bool is_closing_ = false;
    bool is_last_started_ = false;
};

} // namespace briarfold::http::internal
