/// Compares overshoot and starvation of leased shares with those of a fixed equal split, and reports their
/// cost in messages. Deterministic for a seed, which is the first argument (default 1).
#include "simulation.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace briarfold::bench;

constexpr double limit = 1000;
constexpr std::int64_t shift_interval_ms = 5000;

/// Puts all of the load on one pair of routers, and on the next pair every five seconds.
double shifting(std::size_t router, std::int64_t now_ms, double total)
{
    const auto pair = static_cast<std::size_t>(now_ms / shift_interval_ms) % 6;
    return router / 2 == pair ? total / 2 : 0;
}

/// Puts half of the load on router 0, a quarter on router 1, and so on.
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

void print(const char* name, double load, const char* policy, const simulation_result& result)
{
    std::cout << fmt::format(
        "{:<18} {:>4.1f} {:<8} {:>9} {:>9} {:>9} {:>10.2f} {:>10.2f} {:>10.2f} {:>8.2f}\n", name, load,
        policy, result.offered, result.ideal, result.admitted, result.total_overshoot * 100,
        result.max_second_overshoot * 100, result.starvation * 100, result.messages_per_router_s);
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
    scenario coordinator_loss;
    coordinator_loss.seed = seed;
    coordinator_loss.coordinator_losses = {20000, 40000};
    coordinator_loss.offered = [](std::size_t router, std::int64_t) { return skewed(router, limit * 2); };
    print("coordinator lost", 2, "leased", simulate(coordinator_loss, policy::leased));
}

/// Prints the message cost of one router for several numbers of routers. Limit and load grow with the number
/// of routers.
void report_scaling(std::uint64_t seed)
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
            const auto result = simulate(input, policy::leased);
            std::cout << fmt::format("{:>8} {:>6.1f} {:>14.2f} {:>14.1f}\n", routers, factor,
                                     result.messages_per_router_s, result.bytes_per_router_s);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    compare(seed);
    report_scaling(seed);
    return 0;
}
