// bench-lookup: measures the time to find the owner of a key on slice maps with 1 thousand, 100 thousand and
// 1 million slices.
#include "core/key_hash.hpp"
#include "ownership/internal/map_builder.hpp"
#include "ownership/ownership_types.hpp"

#include <chrono>
#include <iostream>
#include <random>

namespace {

using namespace briarfold;

/// Slices for each backend server at the target size of the project.
constexpr std::size_t slices_per_server = 64;
constexpr std::size_t lookups = 2000000;

std::vector<store::row> make_rows(std::size_t slices)
{
    const auto servers = std::max<std::size_t>(slices / slices_per_server, 1);
    std::vector<ownership::backend_server> values(servers);
    const auto width = UINT64_MAX / slices;
    for (std::size_t i = 0; i < slices; ++i)
    {
        const auto last = i + 1 == slices ? UINT64_MAX : width * (i + 1) - 1;
        values[i % servers].slices.push_back({width * i, last});
    }
    std::vector<store::row> rows;
    for (std::size_t i = 0; i < servers; ++i)
    {
        auto& server = values[i];
        server.id = "b" + std::to_string(i);
        server.service = "svc";
        server.address = http::endpoint("127.0.0.1", 1);
        server.zone = "z1";
        server.intent = ownership::intent::active;
        rows.emplace_back("backend-server/" + server.id, 1, 1, "op", ownership::to_json(server));
    }
    return rows;
}

void measure(std::size_t slices)
{
    ownership::internal::map_builder builder;
    builder.apply(make_rows(slices), 1);
    const auto map = builder.current();
    std::mt19937_64 random(1);
    std::vector<std::string> keys(100000);
    std::ranges::generate(keys, [&] { return "key-" + std::to_string(random()); });
    const std::string service = "svc";
    std::size_t found = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < lookups; ++i)
    {
        const auto hash = core::key_hash(service, keys[i % keys.size()]);
        found += map->owner(service, hash) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    std::cout << slices << " slices: " << spent.count() / lookups << " ns a lookup with hashing, " << found
              << " of " << lookups << " found\n";
}

} // namespace

int main()
{
    constexpr std::size_t thousand = 1000;
    for (const auto slices : {thousand, 100 * thousand, 1000 * thousand})
    {
        measure(slices);
    }
    return 0;
}
