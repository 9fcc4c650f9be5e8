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

/// Returns the duration for which the coordinator counts a lease: longer than on the router, whose clock may
/// run 1% slower.
constexpr core::duration add_drift_margin(core::duration span)
{
    constexpr std::int64_t percent = 100;
    constexpr std::int64_t margin_ms = 5;
    return {span.ms + span.ms / percent + margin_ms};
}

/// Returns the level at which the sum of min(demand, level) equals `capacity`; infinity when all demands fit.
double fair_level(std::vector<double> demands, double capacity)
{
    std::ranges::sort(demands);
    auto remaining = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i)
    {
        const auto level = remaining / static_cast<double>(demands.size() - i);
        if (demands[i] >= level)
        {
            return level;
        }
        remaining -= demands[i];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

share_coordinator::share_coordinator(shared_limits limits, core::time_point now)
    : limits_(limits), leases_known_at_(now + add_drift_margin(share_timing::lease))
{}

double share_coordinator::rate_for(const std::string& router, double capacity, std::size_t routers) const
{
    const auto demands_with = [this](double factor) {
        std::vector<double> demands;
        std::ranges::transform(leases_ | std::views::values, std::back_inserter(demands),
                               [factor](const lease& item) { return item.rate_demand * factor; });
        return demands;
    };
    auto factor = headroom;
    auto demands = demands_with(factor);
    auto total = std::accumulate(demands.begin(), demands.end(), 0.0);
    if (total > capacity)
    {
        // Headroom that one router does not use is not available to another.
        factor = contended_headroom;
        demands = demands_with(factor);
        total = std::accumulate(demands.begin(), demands.end(), 0.0);
    }
    const auto own = leases_.at(router).rate_demand * factor;
    const auto surplus = std::max(0.0, capacity - total);
    constexpr double split_surplus_fraction = 0.5;
    return std::min(own, fair_level(demands, capacity)) +
           surplus * split_surplus_fraction / static_cast<double>(std::max(routers, leases_.size()));
}

std::int64_t share_coordinator::concurrency_for(const std::string& router, std::int64_t capacity,
                                                std::size_t routers, core::time_point now) const
{
    std::vector<double> demands;
    std::ranges::transform(leases_ | std::views::values, std::back_inserter(demands), [](const lease& item) {
        return std::ceil(static_cast<double>(item.concurrency_demand) * headroom);
    });
    const auto total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const auto own = std::ceil(static_cast<double>(leases_.at(router).concurrency_demand) * headroom);
    const auto limit = static_cast<double>(capacity);
    if (total <= limit)
    {
        constexpr double split_surplus_fraction = 0.5;
        const auto count = static_cast<double>(std::max(routers, leases_.size()));
        return static_cast<std::int64_t>(own + std::floor((limit - total) * split_surplus_fraction / count));
    }
    const auto level = fair_level(demands, limit);
    const auto whole_share = std::min(own, std::floor(level));
    const auto whole_share_total =
        std::accumulate(demands.begin(), demands.end(), 0.0, [level](double sum, double demand) {
            return sum + std::min(demand, std::floor(level));
        });
    // The remainder after rounding down goes to other routers in each period, so that none starves when there
    // are more routers than requests allowed at a time.
    const auto period = std::to_string(now.ms / contended_lease.ms);
    const auto rotating_rank = [&period](const std::string& name) {
        return core::text_hash(name + "/" + period);
    };
    const auto ranked_before = std::ranges::count_if(leases_, [&](const auto& item) {
        const auto demand = std::ceil(static_cast<double>(item.second.concurrency_demand) * headroom);
        return demand > std::floor(level) && rotating_rank(item.first) < rotating_rank(router);
    });
    const bool has_extra =
        own > std::floor(level) && static_cast<double>(ranked_before) < limit - whole_share_total;
    return static_cast<std::int64_t>(whole_share) + (has_extra ? 1 : 0);
}

share_grant share_coordinator::grant(const std::string& router, const share_request& request,
                                     std::size_t routers, core::time_point now)
{
    std::erase_if(leases_, [now](const auto& item) { return item.second.end <= now; });
    auto& own = leases_[router];
    own.rate_demand = request.rate;
    own.concurrency_demand = request.concurrency;
    const auto unleased = reserve_share(limits_, routers);
    const auto unleased_routers = std::max(routers, leases_.size()) - leases_.size();
    const auto rate_capacity = limits_.rate - unleased.rate * static_cast<double>(unleased_routers);
    // With few requests allowed at a time, the minimum of one for each router without a lease would use up
    // the whole limit.
    const auto concurrency_capacity =
        std::max(limits_.concurrency - unleased.concurrency * static_cast<std::int64_t>(unleased_routers),
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
    // A rate lease is at least the reserve share, so that its end does not raise the sum that all routers may
    // use.
    own.rate = std::max(0.0, std::min(std::max(rate, unleased.rate), rate_capacity - others.rate));
    own.concurrency =
        std::max<std::int64_t>(0, std::min(concurrency, concurrency_capacity - others.concurrency));
    const bool is_below_demand = own.rate < request.rate || own.concurrency < request.concurrency;
    const auto total = leased(now);
    const bool is_contended = is_below_demand || total.rate > limits_.rate * (1 - reserve_fraction) ||
                              total.concurrency >= concurrency_capacity;
    const auto span = is_contended ? contended_lease : share_timing::lease;
    own.end = now + add_drift_margin(span);
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
