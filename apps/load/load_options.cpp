#include "apps/load/load_options.hpp"

#include "core/error.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace briarfold::load {

namespace {

namespace options = boost::program_options;

/// One run never becomes a flood: loopback only needs a fraction of these.
constexpr double max_rate = 100000;
constexpr double max_duration_s = 3600;
constexpr std::size_t max_threads = 4;
constexpr std::size_t max_connections = 4096;

void check_range(const char* name, double value, double least, double most)
{
    if (value < least || value > most)
    {
        throw core::error("options", "",
                          std::string("--") + name + " must be from " + std::to_string(least) + " to " +
                              std::to_string(most));
    }
}

void check(const load_options& values)
{
    check_range("rate", values.rate, 0.1, max_rate);
    check_range("duration", values.duration_s, 0.1, max_duration_s);
    check_range("threads", static_cast<double>(values.threads), 1, max_threads);
    check_range("connections", static_cast<double>(values.connections), 1, max_connections);
    check_range("idempotent-share", values.idempotent_share, 0, 1);
    check_range("hot-share", values.keys.hot_share, 0, 1);
    check_range("keys", static_cast<double>(values.keys.keys), 1, 1e12);
    if (values.targets.empty() || values.customers.empty())
    {
        throw core::error("options", "", "at least one --target and one --customer are needed");
    }
}

} // namespace

std::optional<load_options> parse_options(int argc, const char* const* argv)
{
    load_options values;
    std::vector<std::string> targets;
    std::int64_t hot_period_ms = values.keys.hot_period.count();
    options::options_description all("briarfold-load: open-loop load with latencies from the intended start");
    auto add = all.add_options();
    add("help", "show the options");
    add("target", options::value(&targets)->multitoken(), "ip:port of entries, or of backend servers");
    add("direct", options::bool_switch(&values.is_direct), "call backend servers without routers");
    add("service", options::value(&values.service), "service name");
    add("customer", options::value(&values.customers)->multitoken(), "customers, chosen evenly");
    add("rate", options::value(&values.rate), "requests/s, Poisson arrivals");
    add("duration", options::value(&values.duration_s), "seconds");
    add("max-requests", options::value(&values.max_requests), "end after this many requests");
    add("keys", options::value(&values.keys.keys), "number of keys");
    add("hot-keys", options::value(&values.keys.hot_keys), "size of the hot set");
    add("hot-share", options::value(&values.keys.hot_share), "share of requests for the hot set");
    add("hot-period-ms", options::value(&hot_period_ms), "time after which the hot set moves");
    add("idempotent-share", options::value(&values.idempotent_share), "share of idempotent requests");
    add("deadline-ms", options::value(&values.deadline.ms), "deadline of each request");
    add("body-bytes", options::value(&values.body_bytes), "size of the request body");
    add("connections", options::value(&values.connections), "most connections in total");
    add("threads", options::value(&values.threads), "worker threads");
    add("seed", options::value(&values.seed), "seed of arrivals and keys");
    add("report", options::value(&values.report), "JSON report; the series also goes to <report>.tsv");
    add("history", options::value(&values.history), "file for call and outcome lines");
    add("quiet", options::bool_switch(&values.is_quiet), "no progress line");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, all), given);
    if (given.contains("help"))
    {
        std::cout << all;
        return std::nullopt;
    }
    options::notify(given);
    for (const auto& target : targets)
    {
        values.targets.push_back(http::parse_endpoint(target));
    }
    values.keys.hot_period = std::chrono::milliseconds(std::max<std::int64_t>(hot_period_ms, 1));
    check(values);
    return values;
}

} // namespace briarfold::load
