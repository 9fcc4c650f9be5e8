/// Reads one message from a connection. The limits hold for the bytes received, whatever the framing says.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/internal/beast_message.hpp"
#include "http/internal/connection_limit.hpp"
#include "http/transfer_budget.hpp"

#include <algorithm>
#include <optional>

namespace briarfold::http::internal {

struct read_limits
{
    /// Also holds for the first line of a chunk and for the trailer.
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    std::optional<core::time_point> deadline;
};

/// Bytes of a message with its framing that are read for each byte of the limit of its body.
constexpr std::size_t framing_factor = 2;

/// Parses the bytes that are in the buffer. Returns need_more when the message is incomplete.
template <class Parser>
boost::system::error_code parse_buffered(beast::flat_buffer& buffer, Parser& parser,
                                         const read_limits& limits)
{
    // An eager parser would lose the error of the body's limit when the head and the first bytes of the body
    // come together.
    parser.eager(false);
    boost::system::error_code code;
    while (!code && !parser.is_done() && buffer.size() > 0)
    {
        buffer.consume(parser.put(buffer.data(), code));
        if (!code && parser.is_header_done() && parser.get().body().size() > limits.body_bytes)
        {
            return make_error_code(beast::http::error::body_limit);
        }
    }
    if (code)
    {
        return code;
    }
    return parser.is_done() ? code : make_error_code(beast::http::error::need_more);
}

/// Parses the end of the connection, which completes a message without a length.
template <class Parser>
boost::system::error_code parse_end(Parser& parser)
{
    if (!parser.got_some())
    {
        return make_error_code(beast::http::error::end_of_stream);
    }
    boost::system::error_code code;
    parser.put_eof(code);
    return code;
}

/// Small for a head, so that connections that wait for one take little memory.
template <class Parser>
std::size_t choose_read_size(const beast::flat_buffer& buffer, const Parser& parser)
{
    constexpr std::size_t least_bytes = 512;
    constexpr std::size_t most_bytes = 16384;
    if (!parser.is_header_done())
    {
        return std::clamp(buffer.capacity() - buffer.size(), least_bytes, most_bytes);
    }
    const auto remaining = parser.content_length_remaining();
    return remaining
               ? static_cast<std::size_t>(std::clamp<std::uint64_t>(*remaining, least_bytes, most_bytes))
               : most_bytes;
}

/// Returns the memory of a buffer that grew for a body.
inline void shrink(beast::flat_buffer& buffer)
{
    constexpr std::size_t kept_bytes = 2048;
    if (buffer.size() == 0 && buffer.capacity() > kept_bytes)
    {
        buffer.shrink_to_fit();
    }
}

/// Bytes of memory that a message takes while it is read. A body that grows chunk by chunk takes up to twice
/// its size.
template <class Parser>
std::size_t measure_held(const beast::flat_buffer& buffer, const Parser& parser)
{
    return parser.get().body().capacity() + buffer.capacity();
}

/// Records which parts of a message have begun to arrive.
template <class Parser>
void record_progress(read_progress* progress, std::size_t received, const Parser& parser)
{
    if (progress == nullptr || received == 0)
    {
        return;
    }
    const auto now_ms = core::clock::now().ms;
    if (progress->head_since_ms == 0)
    {
        progress->head_since_ms = now_ms;
    }
    if (progress->body_since_ms == 0 && parser.is_header_done())
    {
        progress->body_since_ms = now_ms;
    }
}

/// Returns an error of the parser, `buffer_overflow` for a part that is too long, `beast::error::timeout` at
/// the deadline, `not_enough_memory` when the message was given up, or an error of the transport.
template <class Parser>
core::asio::awaitable<boost::system::error_code>
read_message(beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser, read_limits limits,
             held_message& held, read_progress* progress = nullptr)
{
    const auto most_received = limits.head_bytes + framing_factor * limits.body_bytes;
    parser.header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    parser.body_limit(limits.body_bytes);
    std::size_t received = buffer.size();
    while (true)
    {
        auto code = parse_buffered(buffer, parser, limits);
        if (code != beast::http::error::need_more)
        {
            shrink(buffer);
            co_return code;
        }
        record_progress(progress, received, parser);
        if (!held.resize(measure_held(buffer, parser)))
        {
            co_return make_error_code(boost::system::errc::not_enough_memory);
        }
        if (buffer.size() > limits.head_bytes)
        {
            co_return make_error_code(beast::http::error::buffer_overflow);
        }
        if (received > most_received)
        {
            co_return make_error_code(beast::http::error::body_limit);
        }
        // The timer of the stream does not end reads that find bytes at once.
        if (limits.deadline && core::clock::now() >= *limits.deadline)
        {
            co_return make_error_code(beast::error::timeout);
        }
        const auto size =
            co_await stream.async_read_some(buffer.prepare(choose_read_size(buffer, parser)),
                                            core::asio::redirect_error(core::asio::use_awaitable, code));
        buffer.commit(size);
        received += size;
        if (code == core::asio::error::eof)
        {
            co_return parse_end(parser);
        }
        if (held.is_given_up())
        {
            co_return make_error_code(boost::system::errc::not_enough_memory);
        }
        if (code)
        {
            co_return code;
        }
    }
}

} // namespace briarfold::http::internal
