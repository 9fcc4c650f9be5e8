/// Which key a request uses: uniform over all keys, with a share on a hot set that moves.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace briarfold::load {

struct key_settings
{
    std::uint64_t keys = 100000;
    /// Size of the hot set; 0 for none.
    std::uint64_t hot_keys = 31;
    /// Share of the requests that go to the hot set.
    double hot_share = 0.2;
    /// After this time the hot set consists of other keys.
    std::chrono::milliseconds hot_period{60000};
};

/// The same settings, seed and time give the same hot set in every worker.
class key_choice
{
public:
    key_choice(const key_settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {}

    /// `since_start` decides on the present hot set.
    std::string pick(std::mt19937_64& random, std::chrono::microseconds since_start) const;

private:
    key_settings settings_;
    std::uint64_t seed_;
};

} // namespace briarfold::load
