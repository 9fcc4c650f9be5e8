#include "core/encoding.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <openssl/evp.h>
#include <zlib.h>

namespace briarfold::core {

namespace {

constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_digits = 4;
constexpr std::size_t block_bytes = std::size_t{64} * 1024;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string text((bytes.size() + group_bytes - 1) / group_bytes * group_digits, '\0');
    // The library writes a terminating zero, for which std::string has room.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    return text;
}

std::string decode_base64(std::string_view text)
{
    if (text.empty())
    {
        return {};
    }
    std::string bytes(text.size() / group_digits * group_bytes + group_bytes, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
    {
        throw error("decode", "", "invalid base64");
    }
    const auto padding = static_cast<std::size_t>(std::count(text.end() - 2, text.end(), '='));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::string compress(std::string_view bytes)
{
    std::string result(compressBound(bytes.size()), '\0');
    uLongf size = result.size();
    const int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size,
                                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (status != Z_OK)
    {
        throw error("compress", "", zError(status));
    }
    result.resize(size);
    return result;
}

std::string decompress(std::string_view bytes, std::size_t most_bytes)
{
    z_stream stream{};
    if (const int status = inflateInit(&stream); status != Z_OK)
    {
        throw error("decompress", "", zError(status));
    }
    std::string result;
    std::string block(block_bytes, '\0');
    // The library takes a pointer to mutable bytes and does not change them.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    int status = Z_OK;
    while (status == Z_OK && result.size() <= most_bytes)
    {
        stream.next_out = reinterpret_cast<Bytef*>(block.data());
        stream.avail_out = static_cast<uInt>(block.size());
        status = inflate(&stream, Z_NO_FLUSH);
        result.append(block, 0, block.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (status != Z_STREAM_END || result.size() > most_bytes)
    {
        throw error("decompress", "",
                    status == Z_STREAM_END || status == Z_OK ? "too long" : "malformed input");
    }
    return result;
}

} // namespace briarfold::core
