/// Order of leaders and of their writes.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>

namespace briarfold::directory {

/// Generation of the leadership row. Each write of the row has a later one; a leader's term is the generation
/// with which it took the leadership. The era of the store comes first, since a restored store holds earlier
/// numbers again.
struct generation
{
    std::int64_t era = 0;
    std::int64_t number = 0;

    /// Whether it is that of a router that has not followed any leader yet.
    bool is_none() const { return *this == generation(); }
    auto operator<=>(const generation&) const = default;
};

void to_json(nlohmann::json& output, const generation& value);
/// Throws nlohmann::json::exception for a malformed value.
void from_json(const nlohmann::json& input, generation& value);

/// Returns the lowest fencing token of a backend server whose keys were written with this generation, after
/// `front_changes` changes of its front. Tokens rise with the generation, then with the front; the lower
/// `1 << call_token_bits` tokens are left to the calls of the front. Throws core::error when a part exceeds
/// its share of the token.
std::int64_t first_token(const generation& written, std::int64_t front_changes);

/// Latest era for which there are tokens.
constexpr std::int64_t max_era = 4095;
constexpr int call_token_bits = 12;
constexpr int front_token_bits = 8;
/// Changes of front that fit into tokens of the same generation.
constexpr std::int64_t max_front_changes = (std::int64_t{1} << front_token_bits) - 1;

} // namespace briarfold::directory
