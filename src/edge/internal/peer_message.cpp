#include "edge/internal/peer_message.hpp"

#include "core/encoding.hpp"
#include "core/json.hpp"

namespace briarfold::edge::internal {

namespace {

using nlohmann::json;

/// First byte of a compressed message. JSON texts begin with a brace.
constexpr char compressed_mark = 'z';
/// Shorter texts fit into two network packets, so compression would save nothing.
constexpr std::size_t min_compressed_bytes = 2048;
/// A configuration of 1,700 routes has 300 KB; the limit protects the memory of a small instance.
constexpr std::size_t max_text_bytes = std::size_t{16} * 1024 * 1024;
/// Messages hold values of rows inside other values.
constexpr int max_depth = 2 * core::max_json_depth;

} // namespace

std::string encode_message(const std::string& text)
{
    if (text.size() < min_compressed_bytes)
    {
        return text;
    }
    return compressed_mark + core::compress(text);
}

json decode_message(const std::string& bytes)
{
    if (bytes.empty() || bytes.front() != compressed_mark)
    {
        return core::parse_json(bytes, max_depth);
    }
    return core::parse_json(core::decompress(std::string_view(bytes).substr(1), max_text_bytes), max_depth);
}

json position_to_json(const store::position& value)
{
    return json::array({value.era, value.number});
}

store::position position_from_json(const json& value)
{
    return {value.at(0).get<std::int64_t>(), value.at(1).get<std::int64_t>()};
}

std::string pack(const json& document)
{
    return core::encode_base64(core::compress(document.dump()));
}

json unpack(const std::string& text)
{
    return core::parse_json(core::decompress(core::decode_base64(text), max_text_bytes));
}

} // namespace briarfold::edge::internal
