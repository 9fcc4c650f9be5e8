#include "wire/internal/codec.hpp"

#include "core/error.hpp"

#include <msgpack.hpp>

#include <cstring>

namespace briarfold::wire::internal {

namespace {

constexpr unsigned byte_bits = 8;
constexpr unsigned byte_mask = 0xff;
/// Memory that a buffer of frames keeps after a large frame.
constexpr std::size_t max_kept_bytes = std::size_t{256} * 1024;

/// Stream adapter with which the packer writes directly into the outgoing buffer.
struct string_stream
{
    std::string& out;
    void write(const char* data, std::size_t size) { out.append(data, size); }
};

using packer = msgpack::packer<string_stream>;

template <class Fill>
void append_frame(std::string& out, frame_type type, std::uint64_t id, std::uint32_t fields, Fill fill)
{
    const auto start = out.size();
    out.append(length_bytes, '\0');
    string_stream stream{out};
    packer pack(stream);
    constexpr std::uint32_t common_fields = 2;
    pack.pack_array(fields + common_fields);
    pack.pack(static_cast<std::uint8_t>(type));
    pack.pack(id);
    fill(pack);
    auto length = out.size() - start - length_bytes;
    for (std::size_t i = length_bytes; i-- > 0; length >>= byte_bits)
    {
        out[start + i] = static_cast<char>(length & byte_mask);
    }
}

void pack_headers(packer& pack, const std::vector<http::header>& headers)
{
    pack.pack_array(static_cast<std::uint32_t>(headers.size()) * 2);
    for (const auto& item : headers)
    {
        pack.pack(item.name);
        pack.pack(item.value);
    }
}

std::vector<http::header> unpack_headers(const msgpack::object& value)
{
    const auto texts = value.as<std::vector<std::string>>();
    std::vector<http::header> headers;
    headers.reserve(texts.size() / 2);
    for (std::size_t i = 0; i + 1 < texts.size(); i += 2)
    {
        headers.emplace_back(texts[i], texts[i + 1]);
    }
    return headers;
}

/// Cursor that reads the fields of an array in order. Throws msgpack::type_error for a missing field.
class field_cursor
{
public:
    explicit field_cursor(const msgpack::object& value) : array_(value.via.array)
    {
        if (value.type != msgpack::type::ARRAY)
        {
            throw msgpack::type_error();
        }
    }

    const msgpack::object& next_field()
    {
        if (position_ >= array_.size)
        {
            throw msgpack::type_error();
        }
        return array_.ptr[position_++];
    }

    bool has_next() const { return position_ < array_.size; }

    template <class T>
    void read(T& target)
    {
        next_field().convert(target);
    }

private:
    const msgpack::object_array& array_;
    std::uint32_t position_ = 0;
};

void read_request(field_cursor& fields, forward_request& request)
{
    fields.read(request.customer);
    fields.read(request.service);
    fields.read(request.key);
    fields.read(request.backend_server);
    fields.read(request.method);
    fields.read(request.target);
    request.headers = unpack_headers(fields.next_field());
    fields.read(request.body);
    fields.read(request.request_id);
    fields.read(request.deadline.ms);
    fields.read(request.is_idempotent);
    fields.read(request.traceparent);
    fields.read(request.route);
    fields.read(request.priority);
    fields.read(request.objective.ms);
    fields.read(request.max_attempts);
    // Routers of earlier releases do not send it.
    if (fields.has_next())
    {
        fields.read(request.is_entry_stopping);
    }
    if (fields.has_next())
    {
        fields.read(request.tried_servers);
    }
    if (fields.has_next())
    {
        fields.read(request.client_time_left.ms);
    }
    if (fields.has_next())
    {
        fields.read(request.is_retry);
    }
}

void read_result(field_cursor& fields, forward_result& result)
{
    std::uint8_t code = 0;
    fields.read(code);
    if (code > static_cast<std::uint8_t>(outcome::unknown))
    {
        throw msgpack::type_error();
    }
    result.outcome = static_cast<outcome>(code);
    fields.read(result.status);
    result.headers = unpack_headers(fields.next_field());
    fields.read(result.body);
    fields.read(result.step);
    fields.read(result.peer);
    fields.read(result.reason);
    fields.read(result.not_run_reason);
    fields.read(result.retry_after.ms);
    if (fields.has_next())
    {
        fields.read(result.may_send_again);
    }
    if (fields.has_next())
    {
        fields.read(result.queue_load);
    }
}

frame decode(const char* data, std::size_t size)
{
    // Strings reference the buffer until they are converted, which saves one copy.
    const auto reference = [](msgpack::type::object_type, std::size_t, void*) { return true; };
    const auto handle = msgpack::unpack(data, size, reference);
    field_cursor fields(handle.get());
    frame value;
    std::uint8_t type = 0;
    fields.read(type);
    value.type = static_cast<frame_type>(type);
    fields.read(value.id);
    switch (value.type)
    {
    case frame_type::hello:
        fields.read(value.text);
        fields.read(value.instance_id);
        break;
    case frame_type::forward:
        read_request(fields, value.request);
        break;
    case frame_type::result:
        read_result(fields, value.result);
        break;
    case frame_type::rpc_call:
    case frame_type::rpc_answer:
    case frame_type::message:
    case frame_type::message_answer:
        fields.read(value.text);
        break;
    case frame_type::cancel:
    case frame_type::ping:
    case frame_type::pong:
        break;
    default:
        throw msgpack::type_error();
    }
    return value;
}

} // namespace

void append_hello(std::string& out, const std::string& token, const std::string& instance_id)
{
    append_frame(out, frame_type::hello, 0, 2, [&](packer& pack) {
        pack.pack(token);
        pack.pack(instance_id);
    });
}

void append_forward(std::string& out, std::uint64_t id, const forward_request& request)
{
    constexpr std::uint32_t fields = 20;
    append_frame(out, frame_type::forward, id, fields, [&](packer& pack) {
        pack.pack(request.customer);
        pack.pack(request.service);
        pack.pack(request.key);
        pack.pack(request.backend_server);
        pack.pack(request.method);
        pack.pack(request.target);
        pack_headers(pack, request.headers);
        pack.pack(request.body);
        pack.pack(request.request_id);
        pack.pack(request.deadline.ms);
        pack.pack(request.is_idempotent);
        pack.pack(request.traceparent);
        pack.pack(request.route);
        pack.pack(request.priority);
        pack.pack(request.objective.ms);
        pack.pack(request.max_attempts);
        pack.pack(request.is_entry_stopping);
        pack.pack(request.tried_servers);
        pack.pack(request.client_time_left.ms);
        pack.pack(request.is_retry);
    });
}

void append_result(std::string& out, std::uint64_t id, const forward_result& result)
{
    constexpr std::uint32_t fields = 11;
    append_frame(out, frame_type::result, id, fields, [&](packer& pack) {
        pack.pack(static_cast<std::uint8_t>(result.outcome));
        pack.pack(result.status);
        pack_headers(pack, result.headers);
        pack.pack(result.body);
        pack.pack(result.step);
        pack.pack(result.peer);
        pack.pack(result.reason);
        pack.pack(result.not_run_reason);
        pack.pack(result.retry_after.ms);
        pack.pack(result.may_send_again);
        pack.pack(result.queue_load);
    });
}

void append_text(std::string& out, frame_type type, std::uint64_t id, const std::string& text)
{
    append_frame(out, type, id, 1, [&](packer& pack) { pack.pack(text); });
}

void append_empty(std::string& out, frame_type type, std::uint64_t id)
{
    append_frame(out, type, id, 0, [](packer&) {});
}

void clear_frames(std::string& frames)
{
    frames.clear();
    if (frames.capacity() > max_kept_bytes)
    {
        frames.shrink_to_fit();
    }
}

std::size_t frame_reader::frame_bytes() const
{
    if (filled_ - parsed_ < length_bytes)
    {
        return 0;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        length = (length << byte_bits) | static_cast<unsigned char>(buffer_[parsed_ + i]);
    }
    return length_bytes + length;
}

char* frame_reader::prepare(std::size_t size)
{
    if (parsed_ > 0)
    {
        std::memmove(buffer_.data(), buffer_.data() + parsed_, filled_ - parsed_);
        filled_ -= parsed_;
        parsed_ = 0;
    }
    if (filled_ == 0 && buffer_.size() > max_kept_bytes)
    {
        buffer_ = std::string();
    }
    if (buffer_.size() - filled_ < size)
    {
        // Doubling takes up to twice the memory of a large frame, so it ends at the length of the frame.
        const auto doubled = std::min(buffer_.size() * 2, std::max(frame_bytes(), max_kept_bytes));
        std::string grown;
        grown.reserve(std::max(doubled, filled_ + size));
        grown.assign(buffer_, 0, filled_);
        grown.resize(grown.capacity());
        buffer_ = std::move(grown);
    }
    return buffer_.data() + filled_;
}

std::optional<frame> frame_reader::next()
{
    if (filled_ - parsed_ < length_bytes)
    {
        return std::nullopt;
    }
    const std::size_t length = frame_bytes() - length_bytes;
    if (length > max_frame_bytes)
    {
        throw core::connection_error("read frame", "", "frame of " + std::to_string(length) + " bytes");
    }
    if (filled_ - parsed_ < length_bytes + length)
    {
        return std::nullopt;
    }
    const char* const data = buffer_.data() + parsed_ + length_bytes;
    parsed_ += length_bytes + length;
    try
    {
        return decode(data, length);
    }
    catch (const msgpack::type_error& failure)
    {
        throw core::connection_error("read frame", "", std::string("malformed frame: ") + failure.what());
    }
    catch (const msgpack::unpack_error& failure)
    {
        throw core::connection_error("read frame", "", std::string("malformed frame: ") + failure.what());
    }
}

} // namespace briarfold::wire::internal
