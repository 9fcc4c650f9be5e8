/// Text encodings of bytes.
#pragma once

#include <string>
#include <string_view>

namespace briarfold::core {

/// Base64 with padding, without line breaks.
std::string encode_base64(std::string_view bytes);

/// Throws core::error for anything that is not base64 with padding.
std::string decode_base64(std::string_view text);

/// Deflated bytes in the zlib format, made for speed rather than for size.
std::string compress(std::string_view bytes);

/// Throws core::error for malformed input and for output of more than `most_bytes`.
std::string decompress(std::string_view bytes, std::size_t most_bytes);

} // namespace briarfold::core
