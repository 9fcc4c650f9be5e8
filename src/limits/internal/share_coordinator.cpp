#include "limits/share_coordinator.hpp"

#include "core/key_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <vector>

namespace briarfold::limits {

namespace {

using namespace share_timing;

/// A lease counts a little longer here than on the router, whose clock may run 1% slower.
constexpr core::duration with_drift(core::duration span)
{
    constexpr std::int64_t percent = 100;
    constexpr std::int64_t margin_ms = 5;
    return {span.ms + span.ms / percent + margin_ms};
}

/// The level at which the sum of min(want, level) equals `capacity`; infinite when all wants fit.
double fair_level(std::vector<double> wants, double capacity)
{
    std::ranges::sort(wants);
    auto left = capacity;
    for (std::size_t i = 0; i < wants.size(); ++i)
    {
        const auto level = left / static_cast<double>(wants.size() - i);
        if (wants[i] >= level)
        {
            return level;
        }
        left -= wants[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

share_coordinator::share_coordinator(shared_limits limits, core::time_point now)
    : limits_(limits), leases_known_at_(now + with_drift(share_timing::lease))
{}

double share_coordinator::rate_for(const std::string& router, double capacity, std::size_t routers) const
{
    const auto wants_with = [this](double factor) {
        std::vector<double> wants;
        std::ranges::transform(leases_ | std::views::values, std::back_inserter(wants),
                               [factor](const lease& item) { return item.rate_demand * factor; });
        return wants;
    };
    auto factor = headroom;
    auto wants = wants_with(factor);
    auto total = std::accumulate(wants.begin(), wants.end(), 0.0);
    if (total > capacity)
    {
        // Headroom that one router does not use is missing on another.
        factor = contended_headroom;
        wants = wants_with(factor);
        total = std::accumulate(wants.begin(), wants.end(), 0.0);
    }
    const auto own = leases_.at(router).rate_demand * factor;
    const auto surplus = std::max(0.0, capacity - total);
    constexpr double kept_for_shifts = 0.5;
    return std::min(own, fair_level(wants, capacity)) +
           surplus * kept_for_shifts / static_cast<double>(std::max(routers, leases_.size()));
}

std::int64_t share_coordinator::concurrency_for(const std::string& router, std::int64_t capacity,
                                                std::size_t routers, core::time_point now) const
{
    std::vector<double> wants;
    std::ranges::transform(leases_ | std::views::values, std::back_inserter(wants), [](const lease& item) {
        return std::ceil(static_cast<double>(item.concurrency_demand) * headroom);
    });
    const auto total = std::accumulate(wants.begin(), wants.end(), 0.0);
    const auto own = std::ceil(static_cast<double>(leases_.at(router).concurrency_demand) * headroom);
    const auto limit = static_cast<double>(capacity);
    if (total <= limit)
    {
        constexpr double kept_for_shifts = 0.5;
        const auto count = static_cast<double>(std::max(routers, leases_.size()));
        return static_cast<std::int64_t>(own + std::floor((limit - total) * kept_for_shifts / count));
    }
    const auto level = fair_level(wants, limit);
    const auto whole = std::min(own, std::floor(level));
    const auto used = std::accumulate(wants.begin(), wants.end(), 0.0, [level](double sum, double want) {
        return sum + std::min(want, std::floor(level));
    });
    // What is left after rounding down goes to other routers in each period, so that none starves when there
    // are more routers than requests allowed at a time.
    const auto period = std::to_string(now.ms / contended_lease.ms);
    const auto rank_of = [&period](const std::string& name) { return core::text_hash(name + "/" + period); };
    const auto before = std::ranges::count_if(leases_, [&](const auto& item) {
        const auto want = std::ceil(static_cast<double>(item.second.concurrency_demand) * headroom);
        return want > std::floor(level) && rank_of(item.first) < rank_of(router);
    });
    const bool has_extra = own > std::floor(level) && static_cast<double>(before) < limit - used;
    return static_cast<std::int64_t>(whole) + (has_extra ? 1 : 0);
}

share_grant share_coordinator::grant(const std::string& router, const share_request& request,
                                     std::size_t routers, core::time_point now)
{
    std::erase_if(leases_, [now](const auto& item) { return item.second.end <= now; });
    auto& own = leases_[router];
    own.rate_demand = request.rate;
    own.concurrency_demand = request.concurrency;
    const auto quiet = reserve_share(limits_, routers);
    const auto quiet_routers = std::max(routers, leases_.size()) - leases_.size();
    const auto rate_capacity = limits_.rate - quiet.rate * static_cast<double>(quiet_routers);
    // With few requests allowed at a time the minimum of one on each quiet router would leave nothing.
    const auto concurrency_capacity =
        std::max(limits_.concurrency - quiet.concurrency * static_cast<std::int64_t>(quiet_routers),
                 (limits_.concurrency + 1) / 2);
    own.rate = 0;
    own.concurrency = 0;
    const auto others = leased(now);
    auto rate = rate_for(router, rate_capacity, routers);
    auto concurrency = concurrency_for(router, concurrency_capacity, routers, now);
    if (now < leases_known_at_)
    {
        const auto equal = equal_share(limits_, routers);
        rate = std::min(rate, std::max(request.held_rate, equal.rate));
        concurrency = std::min(concurrency, std::max(request.held_concurrency, equal.concurrency));
    }
    // A lease is never less than the quiet share, so that its end does not raise what all routers may use.
    own.rate = std::max(0.0, std::min(std::max(rate, quiet.rate), rate_capacity - others.rate));
    own.concurrency =
        std::max<std::int64_t>(0, std::min(concurrency, concurrency_capacity - others.concurrency));
    const bool is_short = own.rate < request.rate || own.concurrency < request.concurrency;
    const auto total = leased(now);
    const bool is_contended = is_short || total.rate > limits_.rate * (1 - reserve_fraction) ||
                              total.concurrency >= concurrency_capacity;
    const auto span = is_contended ? contended_lease : share_timing::lease;
    own.end = now + with_drift(span);
    return {request.customer, own.rate, own.concurrency, span};
}

shared_limits share_coordinator::leased(core::time_point now) const
{
    shared_limits sum;
    for (const auto& item : leases_ | std::views::values)
    {
        if (item.end > now)
        {
            sum.rate += item.rate;
            sum.concurrency += item.concurrency;
        }
    }
    return sum;
}

} // namespace briarfold::limits
