#include "metrics/registry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace briarfold::metrics {

namespace {

std::string escape(const std::string& text)
{
    std::string result;
    for (const char character : text)
    {
        if (character == '\n')
        {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            result += '\\';
        }
        result += character;
    }
    return result;
}

std::string to_text(const labels& set)
{
    std::vector<std::string> parts;
    std::ranges::transform(set, std::back_inserter(parts), [](const auto& label) {
        return fmt::format("{}=\"{}\"", label.first, escape(label.second));
    });
    return parts.empty() ? "" : fmt::format("{{{}}}", fmt::join(parts, ","));
}

std::string to_text(double value)
{
    return std::isnan(value) ? "NaN" : fmt::format("{}", value);
}

std::string head(const std::string& name, const std::string& help, const char* type)
{
    return fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

std::string summary_lines(const std::string& name, const labels& set, const summary& metric)
{
    const auto values = metric.values();
    std::string text;
    for (std::size_t i = 0; i < summary_quantiles.size(); ++i)
    {
        auto extended = set;
        extended.emplace_back("quantile", fmt::format("{}", summary_quantiles[i]));
        text += fmt::format("{}{} {}\n", name, to_text(extended), to_text(values.quantiles[i]));
    }
    text += fmt::format("{0}_sum{1} {2}\n{0}_count{1} {3}\n", name, to_text(set), values.sum, values.count);
    return text;
}

labels overflow_of(labels set)
{
    std::ranges::for_each(set, [](auto& label) { label.second = "other"; });
    return set;
}

} // namespace

template <class Metric>
Metric& registry::find(families<Metric>& all, const std::string& name, const std::string& help,
                       const labels& set)
{
    const std::scoped_lock lock(mutex_);
    auto& group = all[name];
    group.help = help;
    const bool is_full = group.series.size() >= most_series && !group.series.contains(set);
    auto& metric = group.series[is_full ? overflow_of(set) : set];
    if (!metric)
    {
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

counter& registry::counter(const std::string& name, const std::string& help, const labels& set)
{
    return find(counters_, name, help, set);
}

gauge& registry::gauge(const std::string& name, const std::string& help, const labels& set)
{
    return find(gauges_, name, help, set);
}

summary& registry::summary(const std::string& name, const std::string& help, const labels& set)
{
    return find(summaries_, name, help, set);
}

void registry::computed_gauge(const std::string& name, const std::string& help, const labels& set,
                              std::function<double()> read)
{
    auto& slot = find(computed_, name, help, set);
    const std::scoped_lock lock(mutex_);
    slot = std::move(read);
}

std::string registry::computed_lines() const
{
    // Hooks take locks of other modules, which come before this one in the lock order, so they run unlocked.
    families<std::function<double()>> copies;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [name, group] : computed_)
        {
            copies[name].help = group.help;
            for (const auto& [set, read] : group.series)
            {
                copies[name].series[set] = std::make_unique<std::function<double()>>(*read);
            }
        }
    }
    std::string text;
    for (const auto& [name, group] : copies)
    {
        text += head(name, group.help, "gauge");
        for (const auto& [set, read] : group.series)
        {
            text += fmt::format("{}{} {}\n", name, to_text(set), to_text(*read ? (*read)() : std::nan("")));
        }
    }
    return text;
}

std::string registry::to_prometheus() const
{
    std::string text = computed_lines();
    const std::scoped_lock lock(mutex_);
    for (const auto& [name, group] : counters_)
    {
        text += head(name, group.help, "counter");
        for (const auto& [set, metric] : group.series)
        {
            text += fmt::format("{}{} {}\n", name, to_text(set), metric->value());
        }
    }
    for (const auto& [name, group] : gauges_)
    {
        text += head(name, group.help, "gauge");
        for (const auto& [set, metric] : group.series)
        {
            text += fmt::format("{}{} {}\n", name, to_text(set), to_text(metric->value()));
        }
    }
    for (const auto& [name, group] : summaries_)
    {
        text += head(name, group.help, "summary");
        for (const auto& [set, metric] : group.series)
        {
            text += summary_lines(name, set, *metric);
        }
    }
    return text;
}

} // namespace briarfold::metrics
