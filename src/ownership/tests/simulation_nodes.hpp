/// The simulated routers, backend server processes and table.
#pragma once

#include "ownership/tests/simulation.hpp"

#include <algorithm>

namespace briarfold::ownership::tests {

/// Returns a random clock rate. Any two rates differ by less than the 1% that the protocol allows.
inline double random_rate(std::mt19937_64& random)
{
    std::uniform_real_distribution<double> rate(0.9952, 1.0048);
    return rate(random);
}

inline std::int64_t random_offset(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> offset(1000000, 900000000);
    return offset(random);
}

struct simulation::router
{
    router(int index, std::mt19937_64& random)
        : info(make_info(index)), clock_offset(random_offset(random)), clock_rate(random_rate(random)),
          state_machine(info, [this] { return info.instance_id + "-" + std::to_string(next_operation++); })
    {}

    static membership::router_info make_info(int index)
    {
        membership::router_info value;
        value.instance_id = "r" + std::to_string(index);
        value.zone = std::string(1, static_cast<char>('a' + index % 3));
        return value;
    }

    membership::router_info info;
    std::int64_t clock_offset;
    double clock_rate;
    std::int64_t next_operation = 1;
    internal::machine state_machine;
    std::int64_t paused_until = 0;
    std::int64_t isolated_until = 0;
    std::int64_t cut_from_backends_until = 0;
    bool is_crashed = false;
    std::int64_t revision = 0;
    std::vector<membership::router_info> live;
    /// Suspected routers and the times at which they are asked again.
    std::map<std::string, std::int64_t> suspects;
    std::map<std::string, bool> finished_operations;
};

struct simulation::process
{
    struct request
    {
        std::uint64_t hash;
        std::int64_t end;
        standins::grant_series series;
    };

    process(int server_index, int process_number, bool is_checking, std::mt19937_64& random)
        : server(server_index), number(process_number), checks_grants(is_checking),
          clock_offset(random_offset(random)), clock_rate(random_rate(random))
    {}

    std::string name() const { return "s" + std::to_string(server) + "/process " + std::to_string(number); }

    bool owns(std::uint64_t hash, std::int64_t now, core::time_point local) const
    {
        if (is_ended || now < frozen_until)
        {
            return false;
        }
        if (checks_grants)
        {
            return grants.covers(hash, local);
        }
        return now < unchecked_until &&
               std::ranges::any_of(unchecked_slices, [&](const slice& part) { return part.contains(hash); });
    }

    int server;
    int number;
    bool checks_grants;
    std::int64_t clock_offset;
    double clock_rate;
    standins::grant_state grants;
    std::vector<request> work;
    std::int64_t frozen_until = 0;
    bool is_ended = false;
    int only_router = -1;
    std::int64_t split_until = 0;
    /// Work of a backend server that does not check grants may run until then on these slices.
    std::int64_t unchecked_until = 0;
    std::vector<slice> unchecked_slices;
};

struct simulation::table
{
    store::commit_result apply(const internal::commit_request& request)
    {
        store::commit_result result;
        for (const auto& write : request.writes)
        {
            const auto held = rows.find(write.key);
            const auto version = held == rows.end() ? 0 : held->second.version;
            if (version != write.expected_version)
            {
                result.conflicts.push_back(held == rows.end() ? store::row() : held->second);
            }
        }
        const auto own = std::ranges::find(result.conflicts, request.operation_id, &store::row::operation_id);
        if (own != result.conflicts.end())
        {
            return {true, own->revision, {}};
        }
        std::erase_if(result.conflicts, [](const store::row& row) { return row.key.empty(); });
        if (!result.conflicts.empty())
        {
            return result;
        }
        ++revision;
        for (const auto& write : request.writes)
        {
            rows[write.key] = {write.key, write.expected_version + 1, revision, request.operation_id,
                               write.value};
        }
        return {true, revision, {}};
    }

    std::vector<store::row> changes(std::int64_t since) const
    {
        std::vector<store::row> result;
        for (const auto& [key, row] : rows)
        {
            if (row.revision > since)
            {
                result.push_back(row);
            }
        }
        return result;
    }

    bool is_up(std::int64_t now) const { return now >= down_until; }

    std::map<std::string, store::row> rows;
    std::int64_t revision = 0;
    std::int64_t down_until = 0;
    std::int64_t lossy_until = 0;
};

} // namespace briarfold::ownership::tests
