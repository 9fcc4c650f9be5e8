#include "core/ids.hpp"

#include "core/key_hash.hpp"

#include <random>

namespace briarfold::core {

std::string make_id(const std::string& prefix)
{
    static thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return prefix + "-" + to_hex(engine());
}

} // namespace briarfold::core
