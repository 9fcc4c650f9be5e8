/// Hash of a key, the coordinate in which slices are expressed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarfold::core {

/// xxh3_64 of `<service>/<key>`.
std::uint64_t key_hash(std::string_view service, std::string_view key);

/// xxh3_64 of any text, used for rendezvous hashing.
std::uint64_t text_hash(std::string_view text);

/// 16 lower-case hex digits.
std::string to_hex(std::uint64_t value);

/// Parses 16 hex digits. Throws core::error for anything else.
std::uint64_t from_hex(std::string_view text);

} // namespace briarfold::core
