#include "bench/control/measure.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace briarfold::bench {

namespace {

constexpr double us_per_s = 1e6;
constexpr double ns_per_us = 1e3;
constexpr double round_us = 20000;
constexpr int rounds = 7;

double cpu_now_us()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * us_per_s + static_cast<double>(value.tv_nsec) / ns_per_us;
}

} // namespace

double cpu_us(const std::function<void()>& call)
{
    std::vector<double> results;
    for (int round = 0; round < rounds; ++round)
    {
        const auto begin = cpu_now_us();
        double used = 0;
        std::int64_t calls = 0;
        while (used < round_us)
        {
            call();
            ++calls;
            used = cpu_now_us() - begin;
        }
        results.push_back(used / static_cast<double>(calls));
    }
    std::ranges::sort(results);
    return results[rounds / 2];
}

std::int64_t heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

void print_slope(const std::string& name, const std::string& unit, const std::string& per,
                 const std::vector<point>& points)
{
    double mean_size = 0;
    double mean_value = 0;
    const auto count = static_cast<double>(points.size());
    for (const auto& item : points)
    {
        mean_size += item.size / count;
        mean_value += item.value / count;
    }
    double covariance = 0;
    double variance = 0;
    std::string list;
    for (const auto& item : points)
    {
        covariance += (item.size - mean_size) * (item.value - mean_value);
        variance += (item.size - mean_size) * (item.size - mean_size);
        char text[64];
        std::snprintf(text, sizeof text, " %.4g@%.0f", item.value, item.size);
        list += text;
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    std::printf("%-44s%s %s; slope %.4g %s/%s; base %.4g\n", name.c_str(), list.c_str(), unit.c_str(), slope,
                unit.c_str(), per.c_str(), mean_value - slope * mean_size);
}

void print_value(const std::string& name, double value, const std::string& unit)
{
    std::printf("%-44s %.4g %s\n", name.c_str(), value, unit.c_str());
}

} // namespace briarfold::bench
