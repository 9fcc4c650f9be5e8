/// Encoding and decoding of frames: a 4-byte big-endian length, then a msgpack array that starts with type
/// and id.
#pragma once

#include "wire/frame_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarfold::wire::internal {

enum class frame_type : std::uint8_t
{
    hello = 1,
    forward = 2,
    result = 3,
    cancel = 4,
    rpc_call = 5,
    rpc_answer = 6,
    ping = 7,
    pong = 8,
    message = 9,
    message_answer = 10
};

/// A decoded frame; only the members of its type are set.
struct frame
{
    frame_type type = frame_type::ping;
    std::uint64_t id = 0;
    /// Token of a hello frame, JSON-RPC message of an rpc frame, or text of a message frame.
    std::string text;
    /// Instance id of the sender of a hello frame.
    std::string instance_id;
    forward_request request;
    forward_result result;
};

constexpr std::size_t length_bytes = 4;
/// Exceeds the size of any request. Answers of backend servers have no other limit.
constexpr std::size_t max_frame_bytes = std::size_t{64} << 20U;

void append_hello(std::string& out, const std::string& token, const std::string& instance_id);
void append_forward(std::string& out, std::uint64_t id, const forward_request& request);
void append_result(std::string& out, std::uint64_t id, const forward_result& result);
/// Appends a frame of type rpc_call, rpc_answer, message or message_answer.
void append_text(std::string& out, frame_type type, std::uint64_t id, const std::string& text);
/// Appends a frame without payload: cancel, ping or pong.
void append_empty(std::string& out, frame_type type, std::uint64_t id);

/// Removes all frames and returns the memory that a large one took.
void clear_frames(std::string& frames);

/// Buffer that collects received bytes and extracts complete frames.
class frame_reader
{
public:
    /// Returns space for at least `size` bytes; `commit` sets how many of them were filled.
    char* prepare(std::size_t size);
    std::size_t capacity() const { return buffer_.size() - filled_; }
    void commit(std::size_t size) { filled_ += size; }
    /// Memory of the buffer.
    std::size_t held_bytes() const { return buffer_.capacity(); }
    /// Returns the next frame, or nothing while it is incomplete. Throws core::connection_error for a frame
    /// that is too long or malformed.
    std::optional<frame> next();

private:
    /// Returns the bytes of the frame that is being read, as far as its length has arrived.
    std::size_t frame_bytes() const;

    std::string buffer_;
    std::size_t filled_ = 0;
    std::size_t parsed_ = 0;
};

} // namespace briarfold::wire::internal
