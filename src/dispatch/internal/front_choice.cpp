#include "dispatch/front_choice.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::dispatch {

namespace {

/// Among equally loaded fronts, one in this router's zone saves a round trip between zones.
constexpr double other_zone_cost = 0.1;
/// A front that is full or stopping is asked only when there is no other.
constexpr double full_cost = 1e3;
constexpr double stopping_cost = 1e6;
/// Time constant with which the relevance of a reported load decays. Requests last some hundred milliseconds,
/// so an older report says little.
constexpr double load_memory_ms = 300;
/// Requests seldom wait for a slot until most slots are busy.
constexpr double load_exponent = 4;
/// Longest time for which one rejection keeps a front from being asked. Its slots free up one by one.
constexpr core::duration max_full_time{150};

} // namespace

void front_choice::on_result(const std::string& front, double queue_load, core::time_point now)
{
    auto& item = states_[front];
    --item.in_flight;
    if (queue_load >= 0)
    {
        item.reported_load = queue_load;
        item.reported_at = now;
    }
}

void front_choice::on_full(const std::string& front, core::duration wait, core::time_point now)
{
    states_[front].full_until = now + std::clamp(wait, core::duration{0}, max_full_time);
}

double front_choice::cost_of(const front_option& option, core::time_point now) const
{
    double cost = (option.is_near ? 0 : other_zone_cost) + (option.is_stopping ? stopping_cost : 0);
    const auto known = states_.find(option.name);
    if (known == states_.end())
    {
        return cost;
    }
    const auto& item = known->second;
    const double relevance = std::exp(-static_cast<double>((now - item.reported_at).ms) / load_memory_ms);
    cost += static_cast<double>(item.in_flight) / std::max(option.slots, 1) +
            std::pow(item.reported_load, load_exponent) * relevance;
    return cost + (now < item.full_until ? full_cost : 0);
}

const front_option* front_choice::choose(const std::vector<front_option>& options,
                                         const std::set<std::string>& rejected_by, core::time_point now) const
{
    const front_option* best = nullptr;
    double best_cost = 0;
    for (const auto& option : options)
    {
        const double cost = cost_of(option, now);
        if (!rejected_by.contains(option.name) && (best == nullptr || cost < best_cost))
        {
            best = &option;
            best_cost = cost;
        }
    }
    return best;
}

bool front_choice::has_room(const std::vector<front_option>& options,
                            const std::set<std::string>& rejected_by, core::time_point now) const
{
    const auto* const best = choose(options, rejected_by, now);
    return best != nullptr && cost_of(*best, now) < full_cost;
}

} // namespace briarfold::dispatch
