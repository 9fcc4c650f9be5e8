/// All metrics of a process, printed in the Prometheus text format.
#pragma once

#include "metrics/counter.hpp"
#include "metrics/gauge.hpp"
#include "metrics/summary.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace briarfold::metrics {

/// Label names and values, such as {{"customer", "reception"}}.
using labels = std::vector<std::pair<std::string, std::string>>;

/// Label sets of one metric; further ones share a series whose label values are "other", so that callers
/// cannot exhaust memory by inventing label values.
constexpr std::size_t most_series = 4096;

/// Thread-safe. Names follow Prometheus: `briarfold_<what>_<unit>`, counters end in `_total`. References stay
/// valid for the life of the registry; keep them instead of looking them up for each event.
class registry
{
public:
    metrics::counter& counter(const std::string& name, const std::string& help, const labels& set = {});
    metrics::gauge& gauge(const std::string& name, const std::string& help, const labels& set = {});
    metrics::summary& summary(const std::string& name, const std::string& help, const labels& set = {});
    /// A gauge whose value is asked for at each scrape. `read` must be thread-safe and stay callable.
    void computed_gauge(const std::string& name, const std::string& help, const labels& set,
                        std::function<double()> read);

    std::string to_prometheus() const;

private:
    template <class Metric>
    struct family
    {
        std::string help;
        std::map<labels, std::unique_ptr<Metric>> series;
    };

    template <class Metric>
    using families = std::map<std::string, family<Metric>>;

    template <class Metric>
    Metric& find(families<Metric>& all, const std::string& name, const std::string& help, const labels& set);

    std::string computed_lines() const;

    mutable std::mutex mutex_;
    families<metrics::counter> counters_;
    families<metrics::gauge> gauges_;
    families<metrics::summary> summaries_;
    families<std::function<double()>> computed_;
};

} // namespace briarfold::metrics
