#include "apps/load/recorder.hpp"

#include <algorithm>
#include <sstream>

namespace briarfold::load {

namespace {

using std::chrono::microseconds;
using namespace std::chrono_literals;

constexpr std::array kind_names = {"answered", "refused", "unknown", "not_sent"};
constexpr unsigned hash_bits = 64;
/// A request that took longer counts as time in which its key group was not served.
constexpr microseconds slow_limit = 200ms;
constexpr microseconds least_gap = 50ms;
constexpr std::size_t max_gaps = 1000;
constexpr std::size_t max_reasons = 100;

double to_ms(microseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

nlohmann::json latency_json(const latency_histogram& latency)
{
    return {{"p50", to_ms(latency.percentile(0.5))},
            {"p90", to_ms(latency.percentile(0.9))},
            {"p99", to_ms(latency.percentile(0.99))},
            {"p999", to_ms(latency.percentile(0.999))},
            {"max", to_ms(latency.max())}};
}

} // namespace

void recorder::add(const sample& value)
{
    const std::scoped_lock lock(mutex_);
    const auto second = static_cast<std::size_t>(std::max(value.intended, 0us) / 1s);
    if (intervals_.size() <= second)
    {
        intervals_.resize(second + 1);
    }
    for (auto* part : {&intervals_[second], &total_})
    {
        ++part->counts[static_cast<std::size_t>(value.kind)];
        if (value.kind == result_kind::answered)
        {
            part->latency.add(value.finished - value.intended);
        }
        if (!value.backend.empty())
        {
            ++part->backends[value.backend];
        }
    }
    if (value.kind != result_kind::answered &&
        (reasons_.size() < max_reasons || reasons_.contains(value.reason)))
    {
        ++reasons_[value.reason];
    }
    note_gap(value);
}

void recorder::note_gap(const sample& value)
{
    const auto index = static_cast<std::size_t>(value.key_hash >> (hash_bits - group_bits));
    auto& group = groups_[index];
    const bool is_served =
        value.kind == result_kind::answered && value.finished - value.intended < slow_limit;
    if (!is_served && group.failing_since < 0us)
    {
        group.failing_since = value.intended;
    }
    if (value.kind != result_kind::answered || group.failing_since < 0us)
    {
        return;
    }
    const auto length = value.finished - group.failing_since;
    if (length >= least_gap && gaps_.size() < max_gaps)
    {
        gaps_.push_back({index, group.failing_since, length});
    }
    group.failing_since = -1us;
}

double recorder::imbalance(const std::map<std::string, std::uint64_t>& backends)
{
    if (backends.empty())
    {
        return 0;
    }
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const auto& [name, count] : backends)
    {
        sum += count;
        most = std::max(most, count);
    }
    return static_cast<double>(most) * static_cast<double>(backends.size()) / static_cast<double>(sum);
}

nlohmann::json recorder::report() const
{
    const std::scoped_lock lock(mutex_);
    nlohmann::json result;
    for (std::size_t i = 0; i < kind_names.size(); ++i)
    {
        result["outcomes"][kind_names[i]] = total_.counts[i];
    }
    result["latency_ms"] = latency_json(total_.latency);
    result["imbalance"] = imbalance(total_.backends);
    result["backend_servers"] = total_.backends;
    result["reasons"] = reasons_;
    result["gaps"] = nlohmann::json::array();
    for (const auto& item : gaps_)
    {
        result["gaps"].push_back({{"key_group", item.group},
                                  {"start_s", to_ms(item.start) / 1000},
                                  {"length_ms", to_ms(item.length)}});
    }
    result["series"] = nlohmann::json::array();
    for (std::size_t second = 0; second < intervals_.size(); ++second)
    {
        const auto& part = intervals_[second];
        nlohmann::json line = {{"second", second},
                               {"latency_ms", latency_json(part.latency)},
                               {"imbalance", imbalance(part.backends)}};
        for (std::size_t i = 0; i < kind_names.size(); ++i)
        {
            line[kind_names[i]] = part.counts[i];
        }
        result["series"].push_back(std::move(line));
    }
    return result;
}

std::string recorder::series() const
{
    const std::scoped_lock lock(mutex_);
    std::ostringstream text;
    text << "second\tanswered\trefused\tunknown\tnot_sent\tp50_ms\tp99_ms\timbalance\n";
    for (std::size_t second = 0; second < intervals_.size(); ++second)
    {
        const auto& part = intervals_[second];
        text << second;
        for (const auto count : part.counts)
        {
            text << '\t' << count;
        }
        text << '\t' << to_ms(part.latency.percentile(0.5)) << '\t' << to_ms(part.latency.percentile(0.99))
             << '\t' << imbalance(part.backends) << '\n';
    }
    return text.str();
}

std::string recorder::summary() const
{
    const std::scoped_lock lock(mutex_);
    std::ostringstream text;
    for (std::size_t i = 0; i < kind_names.size(); ++i)
    {
        text << kind_names[i] << ' ' << total_.counts[i] << "  ";
    }
    text << "p50 " << to_ms(total_.latency.percentile(0.5)) << " ms  p99 "
         << to_ms(total_.latency.percentile(0.99)) << " ms";
    return text.str();
}

} // namespace briarfold::load
