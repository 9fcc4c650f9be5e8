#include "metrics/summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace briarfold::metrics {

namespace {

namespace acc = boost::accumulators;

/// The estimate is undefined for fewer values than markers, so small windows keep their values.
constexpr std::size_t exact_values = 64;

using estimator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

double exact_quantile(const std::vector<double>& sorted, double probability)
{
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace

struct summary::window
{
    estimator estimate{acc::tag::extended_p_square::probabilities = summary_quantiles};
    std::vector<double> first;

    std::array<double, summary_quantiles.size()> quantiles() const
    {
        std::array<double, summary_quantiles.size()> result{};
        result.fill(std::numeric_limits<double>::quiet_NaN());
        if (acc::count(estimate) == 0)
        {
            return result;
        }
        if (acc::count(estimate) <= exact_values)
        {
            auto sorted = first;
            std::ranges::sort(sorted);
            std::ranges::transform(summary_quantiles, result.begin(),
                                   [&sorted](double p) { return exact_quantile(sorted, p); });
            return result;
        }
        const auto estimates = acc::extended_p_square(estimate);
        std::copy(estimates.begin(), estimates.end(), result.begin());
        return result;
    }
};

summary::summary() : current_(std::make_unique<window>()), last_(std::make_unique<window>()) {}

summary::~summary() = default;

void summary::rotate(core::time_point now) const
{
    if (window_end_.ms == 0)
    {
        window_end_ = now + summary_window;
    }
    if (now < window_end_)
    {
        return;
    }
    const bool is_recent = now < window_end_ + summary_window;
    last_ = is_recent ? std::move(current_) : std::make_unique<window>();
    current_ = std::make_unique<window>();
    window_end_ = now + summary_window;
}

void summary::record(double value, core::time_point now)
{
    const std::scoped_lock lock(mutex_);
    rotate(now);
    current_->estimate(value);
    if (current_->first.size() < exact_values)
    {
        current_->first.push_back(value);
    }
    ++count_;
    sum_ += value;
}

summary_values summary::values(core::time_point now) const
{
    const std::scoped_lock lock(mutex_);
    rotate(now);
    const auto& shown = last_->first.empty() ? *current_ : *last_;
    return {count_, sum_, shown.quantiles()};
}

} // namespace briarfold::metrics
