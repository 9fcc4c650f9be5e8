/// Overshoot and starvation of leased shares against a fixed equal split, and their cost in messages.
/// Deterministic for a seed; the first argument is the seed (1).
#include "simulation.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace briarfold::bench;

constexpr double limit = 1000;
constexpr std::int64_t shift_ms = 5000;

/// All of the load on two routers, and another pair every five seconds.
double shifting(std::size_t router, std::int64_t now_ms, double total)
{
    const auto pair = static_cast<std::size_t>(now_ms / shift_ms) % 6;
    return router / 2 == pair ? total / 2 : 0;
}

/// Router 0 takes half of the load, router 1 a quarter, and so on.
double skewed(std::size_t router, double total)
{
    return total / static_cast<double>(std::size_t{1} << std::min<std::size_t>(router + 1, 11));
}

struct named_load
{
    const char* name;
    std::function<double(std::size_t, std::int64_t, double)> offered;
};

const std::vector<named_load>& loads()
{
    static const std::vector<named_load> list{
        {"equal", [](std::size_t, std::int64_t, double total) { return total / 12; }},
        {"skewed", [](std::size_t router, std::int64_t, double total) { return skewed(router, total); }},
        {"shifting", shifting}};
    return list;
}

void print(const char* name, double load, const char* policy, const simulation_result& f)
{
    std::cout << fmt::format(
        "{:<18} {:>4.1f} {:<8} {:>9} {:>9} {:>9} {:>10.2f} {:>10.2f} {:>10.2f} {:>8.2f}\n", name, load,
        policy, f.offered, f.ideal, f.admitted, f.total_overshoot * 100, f.max_second_overshoot * 100,
        f.starvation * 100, f.messages_per_router_s);
}

void compare(std::uint64_t seed)
{
    std::cout << fmt::format("12 routers, 1000 requests/s, burst 200, 60 s, seed {}\n", seed);
    std::cout << fmt::format("{:<18} {:>4} {:<8} {:>9} {:>9} {:>9} {:>10} {:>10} {:>10} {:>8}\n", "arrival",
                             "load", "policy", "offered", "ideal", "admitted", "over-%", "over-1s-%",
                             "starve-%", "msg/s");
    for (const auto& load : loads())
    {
        for (const double factor : {0.8, 2.0, 10.0})
        {
            scenario input;
            input.seed = seed;
            input.offered = [&](std::size_t router, std::int64_t now_ms) {
                return load.offered(router, now_ms, limit * factor);
            };
            print(load.name, factor, "leased", simulate(input, policy::leased));
            print(load.name, factor, "fixed", simulate(input, policy::fixed_split));
        }
    }
    scenario lost;
    lost.seed = seed;
    lost.coordinator_losses = {20000, 40000};
    lost.offered = [](std::size_t router, std::int64_t) { return skewed(router, limit * 2); };
    print("coordinator lost", 2, "leased", simulate(lost, policy::leased));
}

/// Limit and load grow with the number of routers, so the cost of one router shows the slope.
void slope(std::uint64_t seed)
{
    std::cout
        << "\nCost of one customer on one router (JSON parameters and results, without frame headers)\n";
    std::cout << fmt::format("{:>8} {:>6} {:>14} {:>14}\n", "routers", "load", "messages/s", "bytes/s");
    for (const std::size_t routers : {12, 100, 630})
    {
        for (const double factor : {0.5, 2.0})
        {
            scenario input;
            input.routers = routers;
            input.limit_per_s = 20.0 * static_cast<double>(routers);
            input.burst = input.limit_per_s / 5;
            input.concurrency = static_cast<std::int64_t>(routers) * 20;
            input.duration_ms = 20000;
            input.seed = seed;
            input.offered = [factor](std::size_t, std::int64_t) { return 20.0 * factor; };
            const auto f = simulate(input, policy::leased);
            std::cout << fmt::format("{:>8} {:>6.1f} {:>14.2f} {:>14.1f}\n", routers, factor,
                                     f.messages_per_router_s, f.bytes_per_router_s);
        }
    }
}

} // namespace

int main(int count, char** words)
{
    const auto seed = count > 1 ? std::strtoull(words[1], nullptr, 10) : 1;
    compare(seed);
    slope(seed);
    return 0;
}
