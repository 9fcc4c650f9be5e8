/// Checks of the histories that a test cluster recorded.
#pragma once

#include "standins/edge/tests/edge_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace briarfold::standins {

/// Checks the invariants of every case: each caller gets the whole answer to its own request, a request that
/// is not idempotent runs at most once and not at all when it is refused, and slots are never exceeded.
inline void check_invariants(const edge_cluster& cluster)
{
    for (const auto& record : cluster.records)
    {
        const int runs = cluster.runs(record.attempt);
        if (record.status == 200)
        {
            BOOST_CHECK_MESSAGE(record.body.ends_with(" to " + record.attempt),
                                record.attempt << ": " << record.body);
            BOOST_CHECK_GE(runs, 1);
        }
        if (!record.is_idempotent)
        {
            BOOST_CHECK_MESSAGE(runs <= 1, record.attempt << " ran " << runs << " times");
            BOOST_CHECK_MESSAGE(record.status != 503 || runs == 0, record.attempt << " was refused and ran");
        }
    }
    for (const auto& item : cluster.backends)
    {
        BOOST_CHECK_LE(item->max_running(), 2);
    }
}

/// Calls `check` with each pair of spans in which two backend servers held a key, the earlier one first.
template <typename Check>
void for_each_shared_span(const edge_cluster& cluster, const Check& check)
{
    for (const auto& former : cluster.backends)
    {
        for (const auto& next : cluster.backends)
        {
            if (former == next)
            {
                continue;
            }
            const auto next_spans = next->spans();
            for (const auto& a : former->spans())
            {
                for (const auto& b : next_spans)
                {
                    if (a.from <= b.from && a.first <= b.last && b.first <= a.last)
                    {
                        check(former->id(), a, next->id(), b);
                    }
                }
            }
        }
    }
}

/// Checks that no key is held by two backend servers at the same time.
inline void check_exclusive_ownership(const edge_cluster& cluster)
{
    for_each_shared_span(cluster, [](const auto& former, const auto& a, const auto& next, const auto& b) {
        const bool share_time = a.from < b.until && b.from < a.until;
        BOOST_CHECK_MESSAGE(!share_time, former << " and " << next << " held keys "
                                                << std::max(a.first, b.first) << " to "
                                                << std::min(a.last, b.last));
    });
}

/// Checks that each key moved to another backend server with a higher fencing token.
inline void check_rising_tokens(const edge_cluster& cluster)
{
    for_each_shared_span(cluster, [](const auto& former, const auto& a, const auto& next, const auto& b) {
        BOOST_CHECK_MESSAGE(a.token < b.token, "key " << std::max(a.first, b.first) << " went to " << next
                                                      << " with token " << b.token << "; " << former
                                                      << " had it with token " << a.token);
    });
}

struct retry_bounds
{
    double ratio = 0.2;
    double slack = 60;
    core::duration window{10000};
};

/// Arrivals at a service beyond the first of each request in one window, and how many were allowed.
struct retry_window
{
    core::time_point start;
    std::size_t retries = 0;
    double allowed = 0;

    double used() const { return static_cast<double>(retries) / allowed; }
};

/// Returns the window in which the retries at the service used most of their bound. The requests are those of
/// that window, of the one before or of the one half a window before, whichever has most.
inline retry_window find_worst_retry_window(const edge_cluster& cluster, const std::string& service,
                                            const retry_bounds& bounds)
{
    std::vector<arrival> arrivals;
    for (const auto& item : cluster.backends)
    {
        if (item->service() == service)
        {
            std::ranges::copy(item->arrivals(), std::back_inserter(arrivals));
        }
    }
    std::ranges::sort(arrivals, {}, &arrival::at);
    std::set<std::string> arrived;
    std::vector<core::time_point> retries;
    for (const auto& item : arrivals)
    {
        if (!arrived.insert(item.attempt).second)
        {
            retries.push_back(item.at);
        }
    }
    std::vector<core::time_point> requests;
    for (const auto& record : cluster.records)
    {
        if (record.service == service)
        {
            requests.push_back(record.sent);
        }
    }
    std::ranges::sort(requests);
    const auto count = [&](const std::vector<core::time_point>& sorted, core::time_point from) {
        return std::ranges::lower_bound(sorted, from + bounds.window) -
               std::ranges::lower_bound(sorted, from);
    };
    retry_window worst{{}, 0, bounds.slack};
    for (const auto& start : retries)
    {
        const core::duration half{bounds.window.ms / 2};
        const auto sent = std::max(
            {count(requests, start), count(requests, start - half), count(requests, start - bounds.window)});
        const retry_window window{start, static_cast<std::size_t>(count(retries, start)),
                                  bounds.ratio * static_cast<double>(sent) + bounds.slack};
        worst = window.used() > worst.used() ? window : worst;
    }
    return worst;
}

/// Returns the number of requests that ran at more than `most` backend servers.
inline std::size_t count_attempts_beyond(const edge_cluster& cluster, std::size_t most)
{
    std::map<std::string, std::size_t> servers;
    for (const auto& item : cluster.backends)
    {
        for (const auto& [attempt, runs] : item->runs())
        {
            ++servers[attempt];
        }
    }
    return static_cast<std::size_t>(
        std::ranges::count_if(servers, [most](const auto& item) { return item.second > most; }));
}

/// Returns the index of the router that took the leadership last.
inline std::size_t find_leader(const edge_cluster& cluster)
{
    const auto& text = cluster.log_text;
    const auto position = text.rfind("\"event\":\"leadership taken\"");
    BOOST_REQUIRE(position != std::string::npos);
    const auto start = text.rfind('\n', position) + 1;
    const auto line = nlohmann::json::parse(text.substr(start, text.find('\n', position) - start));
    const auto found = std::ranges::find(cluster.names, line.at("node").get<std::string>());
    BOOST_REQUIRE(found != cluster.names.end());
    return static_cast<std::size_t>(found - cluster.names.begin());
}

inline double success_ratio(const edge_cluster& cluster)
{
    return static_cast<double>(cluster.count(200)) / static_cast<double>(cluster.records.size());
}

} // namespace briarfold::standins
