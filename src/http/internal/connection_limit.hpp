/// Decisions about client connections, without I/O and without a clock. They handle clients that open many
/// connections and send nothing, or only a part of a request, or send it slowly without end.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace briarfold::http::internal {

/// When parts of the request that is being read began to arrive; 0 for a part that has not.
struct read_progress
{
    std::int64_t head_since_ms = 0;
    std::int64_t body_since_ms = 0;

    bool is_incomplete() const { return head_since_ms != 0; }
};

/// What one connection waits for.
struct connection_wait
{
    /// Since when it waits for its client; 0 while a request is processed.
    std::int64_t since_ms = 0;
    /// Whether it waits until its client has read a response.
    bool is_writing = false;
    read_progress progress;
};

/// A duration of 0 leaves only the time for idle connections, which then holds from the start of the wait.
struct wait_limits
{
    core::duration idle;
    core::duration head;
    core::duration body;
};

/// Whether the client has been waited for too long.
bool is_overdue(const connection_wait& wait, const wait_limits& limits, core::time_point now);

/// Returns the index of the connection that is closed for a new one: the longest waiting one with an
/// incomplete request, or else the longest waiting idle one. Nothing if all process requests or write
/// responses.
std::optional<std::size_t> choose_connection_to_close(const std::vector<connection_wait>& waits);

} // namespace briarfold::http::internal
