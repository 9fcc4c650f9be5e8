// bench-placement: compares imbalance, churn and unavailable time of the placement policy with two baselines.
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

/// Owners of the slices, and of hot keys that were split from their slice.
struct assignment
{
    std::vector<std::size_t> slice_owners;
    std::map<std::uint64_t, std::size_t> key_owners;
};

/// Assigns new owners for one period. Returns the load moved.
using algorithm = std::function<double(placement::load_state& state, assignment& assigned)>;

struct run_totals
{
    std::vector<double> imbalance;
    double moved_load = 0;
    double load = 0;
    double unavailable_s = 0;
    double cpu_ms = 0;
};

/// Applies the owners to the state. Hot keys with an owner of their own become slices of one key, as in the
/// ownership map.
void apply_assignment(placement::load_state& state, assignment& assigned)
{
    for (std::size_t index = 0; index < assigned.slice_owners.size(); ++index)
    {
        state.slices[index].owner = assigned.slice_owners[index];
    }
    std::vector<placement::hot_key> keys_in_slices;
    std::map<std::uint64_t, std::size_t> hot_key_owners;
    for (const auto& key : state.hot_keys)
    {
        const auto key_owner = assigned.key_owners.find(key.hash);
        if (key_owner == assigned.key_owners.end())
        {
            keys_in_slices.push_back(key);
            continue;
        }
        hot_key_owners.insert(*key_owner);
        state.slices[key.slice].load -= key.load;
        state.slices.push_back({{key.hash, key.hash}, key_owner->second, key.load});
    }
    state.hot_keys = keys_in_slices;
    // A key that is no longer hot returns to its slice. It has no load of its own in this workload, so its
    // return adds no churn.
    assigned.key_owners = std::move(hot_key_owners);
}

double run_policy(placement::load_state& state, assignment& assigned)
{
    apply_assignment(state, assigned);
    double moved = 0;
    for (const auto& move : placement::plan(state, {}, {.max_moves = state.targets.size() * 4}))
    {
        const bool is_single = move.part.first == move.part.last;
        if (is_single)
        {
            assigned.key_owners[move.part.first] = move.target;
        }
        else
        {
            assigned.slice_owners[move.slice] = move.target;
        }
        moved += move.load;
    }
    return moved;
}

/// Moves slices of a lost or leaving server to the next live one in rendezvous order, and nothing else.
double run_consistent_hashing(placement::load_state& state, assignment& assigned)
{
    double moved = 0;
    for (std::size_t index = 0; index < assigned.slice_owners.size(); ++index)
    {
        auto& owner = assigned.slice_owners[index];
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

/// Assigns all slices anew in each period, by longest processing time first.
double run_greedy(placement::load_state& state, assignment& assigned)
{
    std::vector<std::size_t> order(assigned.slice_owners.size());
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
        moved += assigned.slice_owners[index] != target ? state.slices[index].load : 0;
        assigned.slice_owners[index] = target;
    }
    return moved;
}

run_totals run(const bench::workload_size& size, std::uint64_t seed, const algorithm& choose)
{
    bench::workload load(size, seed);
    assignment assigned;
    assigned.slice_owners.resize(size.targets * size.slices_per_target);
    for (std::size_t index = 0; index < assigned.slice_owners.size(); ++index)
    {
        assigned.slice_owners[index] = index / size.slices_per_target;
    }
    run_totals sum;
    for (std::size_t period = 0; period < periods; ++period)
    {
        load.advance(period, periods);
        placement::load_state state;
        load.fill(state);
        const auto begin = std::chrono::steady_clock::now();
        const double moved = choose(state, assigned);
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        sum.cpu_ms += std::chrono::duration<double, std::milli>(elapsed).count();
        load.fill(state);
        state.slices.resize(assigned.slice_owners.size());
        apply_assignment(state, assigned);
        // The fair load of a server that warms up is what it may receive; a lost one must be empty.
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
