#include "apps/load/key_choice.hpp"

#include "core/key_hash.hpp"

namespace briarfold::load {

std::string key_choice::pick(std::mt19937_64& random, std::chrono::microseconds since_start) const
{
    std::uint64_t number = std::uniform_int_distribution<std::uint64_t>(0, settings_.keys - 1)(random);
    if (settings_.hot_keys > 0 && std::uniform_real_distribution<>()(random) < settings_.hot_share)
    {
        const auto period = since_start / settings_.hot_period;
        const auto index = std::uniform_int_distribution<std::uint64_t>(0, settings_.hot_keys - 1)(random);
        const auto name = std::to_string(seed_) + "/" + std::to_string(period) + "/" + std::to_string(index);
        number = core::text_hash(name) % settings_.keys;
    }
    return "key-" + std::to_string(number);
}

} // namespace briarfold::load
