#include "directory/generation.hpp"

#include "core/error.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace briarfold::directory {

namespace {

/// A leader writes at most about 16 times per second, so the numbers of one era last for more than four years
/// of incessant moves.
constexpr int number_token_bits = 31;
constexpr int era_token_bits = 63 - number_token_bits - front_token_bits - call_token_bits;

static_assert(max_era < std::int64_t{1} << era_token_bits);

std::int64_t checked(std::int64_t value, int bits, const char* part)
{
    if (value < 0 || value >= std::int64_t{1} << bits)
    {
        throw core::error("make token", part, std::to_string(value) + " is out of range");
    }
    return value;
}

} // namespace

void to_json(nlohmann::json& output, const generation& value)
{
    output = nlohmann::json::array({value.era, value.number});
}

void from_json(const nlohmann::json& input, generation& value)
{
    value.era = input.at(0).get<std::int64_t>();
    value.number = input.at(1).get<std::int64_t>();
}

std::int64_t first_token(const generation& written, std::int64_t front_changes)
{
    const auto era = checked(written.era, era_token_bits, "era");
    const auto number = checked(written.number, number_token_bits, "number");
    const auto front = checked(front_changes, front_token_bits, "front changes");
    return ((((era << number_token_bits) + number) << front_token_bits) + front) << call_token_bits;
}

} // namespace briarfold::directory
