#include "standins/common/target.hpp"

#include "core/error.hpp"

#include <charconv>

namespace briarfold::standins {

namespace {

std::string percent_decode(const std::string& text)
{
    constexpr int hex_base = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned value = 0;
        const char* const begin = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(begin, begin + 2, value, hex_base).ptr == begin + 2)
        {
            decoded.push_back(static_cast<char>(value));
            i += 2;
            continue;
        }
        decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return decoded;
}

} // namespace

std::int64_t target::number(const std::string& name, std::int64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end())
    {
        return fallback;
    }
    std::int64_t value = 0;
    const char* const end = found->second.data() + found->second.size();
    const auto parsed = std::from_chars(found->second.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        throw core::error("parse target", "", name + " is not a number: \"" + found->second + "\"");
    }
    return value;
}

std::string target::after(const std::string& prefix) const
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string{};
}

target parse_target(const std::string& text)
{
    target value;
    const auto mark = text.find('?');
    value.path = percent_decode(text.substr(0, mark));
    std::string rest = mark == std::string::npos ? "" : text.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        const auto equals = pair.find('=');
        value.query[percent_decode(pair.substr(0, equals))] =
            equals == std::string::npos ? "" : percent_decode(pair.substr(equals + 1));
    }
    return value;
}

} // namespace briarfold::standins
