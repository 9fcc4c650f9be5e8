#include "core/key_hash.hpp"

#include "core/error.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <ranges>

namespace briarfold::core {

namespace {

constexpr std::size_t hex_digits = 16;
constexpr int hex_base = 16;

} // namespace

std::uint64_t key_hash(std::string_view service, std::string_view key)
{
    std::string text;
    text.reserve(service.size() + 1 + key.size());
    text.append(service).append(1, '/').append(key);
    return text_hash(text);
}

std::uint64_t text_hash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(hex_digits, '0');
    for (char& digit : text | std::views::reverse)
    {
        digit = digits[value % hex_base];
        value /= hex_base;
    }
    return text;
}

std::uint64_t from_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, hex_base);
    if (text.size() != hex_digits || code != std::errc{} || end != text.data() + text.size())
    {
        throw error("parse hash", "", "expected 16 hex digits, got \"" + std::string(text) + "\"");
    }
    return value;
}

} // namespace briarfold::core
