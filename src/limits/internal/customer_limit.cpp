#include "limits/customer_limit.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::limits {

namespace {

using namespace share_timing;

/// Demand is measured over the last ten intervals of this length.
constexpr core::duration interval_length{100};
constexpr double ms_per_second = 1000;
constexpr core::duration idle_timeout{60000};
/// Changes of demand, relative to the last request, after which a router asks again early.
constexpr double demand_rise_factor = 1.25;
constexpr double demand_fall_factor = 0.5;
/// This many arrivals in the short window count as a rise of demand before a full second has passed.
constexpr std::int64_t min_arrivals_for_rise = 10;
/// With this many arrivals expected in the short window, their random variation stays below a fifth.
constexpr double min_arrivals_for_short_window = 30;

std::int64_t interval_index(core::time_point now)
{
    return now.ms / interval_length.ms;
}

} // namespace

customer_limit::customer_limit(std::string customer, shared_limits limits, std::size_t routers,
                               core::time_point now)
    : customer_(std::move(customer)), limits_(limits), routers_(std::max<std::size_t>(routers, 1)),
      bucket_(reserve_share(limits, routers).rate, reserve_share(limits, routers).burst, now),
      lease_end_(now - core::duration{1}), last_request_(now - lease), last_arrival_(now)
{}

void customer_limit::set_limits(const shared_limits& limits, std::size_t routers, core::time_point now)
{
    routers = std::max<std::size_t>(routers, 1);
    if (limits == limits_ && routers == routers_)
    {
        return;
    }
    if (limits != limits_)
    {
        // A lease must not exceed the new contract: a lowered limit applies at once.
        lease_.rate = std::min(lease_.rate, limits.rate);
        lease_.concurrency = std::min(lease_.concurrency, limits.concurrency);
        last_request_ = now - lease;
    }
    limits_ = limits;
    routers_ = routers;
    update_bucket(now);
}

customer_limit::demand_interval& customer_limit::current_interval(core::time_point now)
{
    const auto index = interval_index(now);
    auto& current = recent_intervals_[static_cast<std::size_t>(index) % interval_count];
    if (current.index != index)
    {
        current = {index, 0, in_flight_};
        refused_in_interval_ = 0;
    }
    return current;
}

double customer_limit::rate_demand(core::time_point now) const
{
    const auto index = interval_index(now);
    constexpr std::int64_t short_interval_count = 3;
    std::int64_t arrivals = 0;
    std::int64_t short_window_arrivals = 0;
    for (const auto& item : recent_intervals_)
    {
        const bool is_recent =
            item.index > index - static_cast<std::int64_t>(interval_count) && item.index <= index;
        arrivals += is_recent ? item.arrivals : 0;
        short_window_arrivals += is_recent && item.index > index - short_interval_count ? item.arrivals : 0;
    }
    const auto short_window_ms = static_cast<double>(short_interval_count * interval_length.ms);
    const auto short_window_rate =
        static_cast<double>(short_window_arrivals) * ms_per_second / short_window_ms;
    // With many expected arrivals the short window shows rises and falls reliably, otherwise only rises.
    if (requested_rate_ * short_window_ms / ms_per_second >= min_arrivals_for_short_window)
    {
        return short_window_rate;
    }
    return std::max(static_cast<double>(arrivals),
                    short_window_arrivals >= min_arrivals_for_rise ? short_window_rate : 0);
}

std::int64_t customer_limit::concurrency_demand(core::time_point now) const
{
    const auto index = interval_index(now);
    std::int64_t peak = in_flight_;
    for (const auto& item : recent_intervals_)
    {
        const bool is_recent =
            item.index > index - static_cast<std::int64_t>(interval_count) && item.index <= index;
        peak = std::max(peak, is_recent ? item.peak : 0);
    }
    return peak;
}

bool customer_limit::is_coordinator_unreachable(core::time_point now) const
{
    return failing_since_ && now - *failing_since_ >= coordinator_timeout;
}

shared_limits customer_limit::share(core::time_point now) const
{
    if (has_lease(now))
    {
        const auto part = limits_.rate > 0 ? lease_.rate / limits_.rate : 0;
        return {lease_.rate, std::max(1.0, limits_.burst * part), lease_.concurrency};
    }
    return is_coordinator_unreachable(now) ? equal_share(limits_, routers_)
                                           : reserve_share(limits_, routers_);
}

void customer_limit::update_bucket(core::time_point now)
{
    const auto allowed = share(now);
    if (allowed.rate != bucket_.rate() || allowed.burst != bucket_.burst())
    {
        bucket_.set_limits(allowed.rate, allowed.burst, now);
    }
}

core::duration customer_limit::concurrency_retry_after(core::time_point now) const
{
    // Capacity is released when a request ends, which this router cannot predict; the next share may also be
    // larger.
    const auto next = has_lease(now) ? lease_end_ - now : min_request_interval;
    return std::clamp(next, min_request_interval, contended_lease);
}

admission_result customer_limit::admit(core::time_point now)
{
    auto& current = current_interval(now);
    ++current.arrivals;
    last_arrival_ = now;
    update_bucket(now);
    if (in_flight_ >= share(now).concurrency)
    {
        ++refused_in_interval_;
        current.peak = std::max(current.peak, in_flight_ + refused_in_interval_);
        return {limit_kind::concurrency, concurrency_retry_after(now)};
    }
    if (const auto wait = bucket_.take(now))
    {
        return {limit_kind::rate, *wait};
    }
    ++in_flight_;
    current.peak = std::max(current.peak, in_flight_);
    return {};
}

void customer_limit::release()
{
    --in_flight_;
}

std::optional<share_request> customer_limit::next_request(core::time_point now)
{
    if (is_request_pending_ || now - last_request_ < min_request_interval)
    {
        return std::nullopt;
    }
    const auto rate = rate_demand(now);
    const auto concurrency = concurrency_demand(now);
    const auto unleased = reserve_share(limits_, routers_);
    const bool has_demand = rate > unleased.rate || concurrency >= unleased.concurrency;
    bool is_due = has_demand;
    if (has_lease(now))
    {
        const bool is_half_over = now >= lease_start_ + core::duration{lease_.lease.ms / 2};
        const bool has_risen = (rate > lease_.rate && rate > requested_rate_ * demand_rise_factor) ||
                               (concurrency > lease_.concurrency && concurrency > requested_concurrency_);
        const bool has_fallen =
            rate < requested_rate_ * demand_fall_factor && lease_.rate > unleased.rate * 2;
        is_due = (is_half_over && (has_demand || in_flight_ > 0)) || has_risen || has_fallen;
    }
    if (!is_due)
    {
        return std::nullopt;
    }
    is_request_pending_ = true;
    last_request_ = now;
    requested_rate_ = rate;
    requested_concurrency_ = concurrency;
    const bool is_leased = has_lease(now);
    return share_request{customer_, rate, concurrency, is_leased ? lease_.rate : 0,
                         is_leased ? lease_.concurrency : 0};
}

void customer_limit::on_grant(const share_grant& grant, core::time_point sent, core::time_point now)
{
    is_request_pending_ = false;
    failing_since_.reset();
    lease_ = grant;
    lease_start_ = sent;
    lease_end_ = sent + grant.lease;
    update_bucket(now);
}

void customer_limit::on_failure(core::time_point now)
{
    is_request_pending_ = false;
    failing_since_ = failing_since_.value_or(now);
    update_bucket(now);
}

bool customer_limit::is_idle(core::time_point now) const
{
    return in_flight_ == 0 && now - last_arrival_ >= idle_timeout;
}

} // namespace briarfold::limits
