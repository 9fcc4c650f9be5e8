// bench-placement: imbalance, churn and unavailable time of the placement policy against two baselines.
//
// Deterministic by seed except for the CPU column. Unavailable time is moves times the pause of one move,
// which is an input here (the stated target of 50 ms), not a measurement.
#include "bench/placement/workload.hpp"
#include "core/key_hash.hpp"
#include "placement/policy.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <numeric>

namespace {

using namespace briarfold;

constexpr std::size_t periods = 360;
constexpr double period_s = 10;
constexpr double pause_s = 0.05;

/// Owners of the slices, and of hot keys that left their slice.
struct assignment
{
    std::vector<std::size_t> owners;
    std::map<std::uint64_t, std::size_t> single_keys;
};

/// Chooses new owners for one period; returns the load moved.
using algorithm = std::function<double(placement::load_state& state, assignment& owners)>;

struct totals
{
    std::vector<double> imbalance;
    double moved_load = 0;
    double load = 0;
    double unavailable_s = 0;
    double cpu_ms = 0;
};

/// Hot keys with an owner of their own become slices of one key, as in the ownership map.
void place(placement::load_state& state, assignment& owners)
{
    for (std::size_t index = 0; index < owners.owners.size(); ++index)
    {
        state.slices[index].owner = owners.owners[index];
    }
    std::vector<placement::hot_key> inside;
    std::map<std::uint64_t, std::size_t> still_hot;
    for (const auto& key : state.hot_keys)
    {
        const auto single = owners.single_keys.find(key.hash);
        if (single == owners.single_keys.end())
        {
            inside.push_back(key);
            continue;
        }
        still_hot.insert(*single);
        state.slices[key.slice].load -= key.load;
        state.slices.push_back({{key.hash, key.hash}, single->second, key.load});
    }
    state.hot_keys = inside;
    // A key that is no longer hot returns to its slice. It has no load of its own in this workload, so its
    // return adds no churn.
    owners.single_keys = std::move(still_hot);
}

double run_policy(placement::load_state& state, assignment& owners)
{
    place(state, owners);
    double moved = 0;
    for (const auto& move : placement::plan(state, {}, {.max_moves = state.targets.size() * 4}))
    {
        const bool is_single = move.part.first == move.part.last;
        if (is_single)
        {
            owners.single_keys[move.part.first] = move.target;
        }
        else
        {
            owners.owners[move.slice] = move.target;
        }
        moved += move.load;
    }
    return moved;
}

/// Slices of a lost or leaving server go to the next live one in rendezvous order; nothing else moves.
double run_consistent_hashing(placement::load_state& state, assignment& owners)
{
    double moved = 0;
    for (std::size_t index = 0; index < owners.owners.size(); ++index)
    {
        auto& owner = owners.owners[index];
        if (state.targets[owner].capacity_factor > 0)
        {
            continue;
        }
        std::size_t best = owner;
        std::uint64_t weight = 0;
        for (std::size_t target = 0; target < state.targets.size(); ++target)
        {
            const auto rank = core::text_hash(std::to_string(index) + "|" + std::to_string(target));
            if (state.targets[target].capacity_factor > 0 && rank >= weight)
            {
                best = target;
                weight = rank;
            }
        }
        owner = best;
        moved += state.slices[index].load;
    }
    return moved;
}

/// Longest processing time first, over all slices, each period.
double run_greedy(placement::load_state& state, assignment& owners)
{
    std::vector<std::size_t> order(owners.owners.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, std::ranges::greater{},
                      [&](std::size_t index) { return state.slices[index].load; });
    std::multimap<double, std::size_t> by_load;
    for (std::size_t target = 0; target < state.targets.size(); ++target)
    {
        if (state.targets[target].capacity_factor > 0)
        {
            by_load.emplace(0, target);
        }
    }
    double moved = 0;
    for (const auto index : order)
    {
        const auto [load, target] = *by_load.begin();
        by_load.erase(by_load.begin());
        by_load.emplace(load + state.slices[index].load / state.targets[target].capacity_factor, target);
        moved += owners.owners[index] != target ? state.slices[index].load : 0;
        owners.owners[index] = target;
    }
    return moved;
}

totals run(const bench::workload_size& size, std::uint64_t seed, const algorithm& choose)
{
    bench::workload load(size, seed);
    assignment owners;
    owners.owners.resize(size.targets * size.slices_per_target);
    for (std::size_t index = 0; index < owners.owners.size(); ++index)
    {
        owners.owners[index] = index / size.slices_per_target;
    }
    totals sum;
    for (std::size_t period = 0; period < periods; ++period)
    {
        load.advance(period, periods);
        placement::load_state state;
        load.fill(state);
        const auto begin = std::chrono::steady_clock::now();
        const double moved = choose(state, owners);
        const auto spent = std::chrono::steady_clock::now() - begin;
        sum.cpu_ms += std::chrono::duration<double, std::milli>(spent).count();
        load.fill(state);
        state.slices.resize(owners.owners.size());
        place(state, owners);
        // Cold servers are judged by what they may receive, lost ones must be empty.
        sum.imbalance.push_back(placement::imbalance(state));
        sum.moved_load += moved;
        sum.unavailable_s += moved * pause_s;
        sum.load += std::accumulate(state.slices.begin(), state.slices.end(), 0.0,
                                    [](double total, const auto& item) { return total + item.load; });
    }
    std::ranges::sort(sum.imbalance);
    return sum;
}

double quantile(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void report(const bench::workload_size& size, std::uint64_t seed)
{
    const std::vector<std::pair<const char*, algorithm>> algorithms{
        {"policy", run_policy}, {"consistent hashing", run_consistent_hashing}, {"greedy", run_greedy}};
    for (const auto& [name, choose] : algorithms)
    {
        const auto sum = run(size, seed, choose);
        const double hours = periods * period_s / 3600;
        std::printf(
            "%-10s %-18s imbalance median %6.3f p95 %6.3f max %6.3f | churn %8.2f%% of load an hour | "
            "unavailable %9.2f load-s | plan %8.3f ms\n",
            size.name.c_str(), name, quantile(sum.imbalance, 0.5), quantile(sum.imbalance, 0.95),
            sum.imbalance.back(), 100 * sum.moved_load / (sum.load / periods) / hours, sum.unavailable_s,
            sum.cpu_ms / periods);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu, %zu periods of %.0f s, hot keys change every %zu periods\n",
                static_cast<unsigned long long>(seed), periods, period_s,
                bench::workload::hot_change_periods);
    report({"fleetdesk", 30, 6, 3}, seed);
    report({"courseline", 6, 6, 3}, seed);
    report({"accueil", 25, 2, 4}, seed);
    report({"delegations", 8, 2, 4}, seed);
    report({"target", 1890, 6, 10}, seed);
    return 0;
}
