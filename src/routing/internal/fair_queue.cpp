#include "routing/internal/fair_queue.hpp"

#include <algorithm>

namespace briarfold::routing::internal {

namespace {

constexpr double least_weight = 0.001;
constexpr double average_gain = 0.1;
/// Requests shorter than the clock's millisecond still cost something.
constexpr double least_cost_ms = 0.5;

} // namespace

fair_queue::flow& fair_queue::activate(const std::string& customer, double weight)
{
    auto& entry = flows_[customer];
    entry.weight = std::max(weight, least_weight);
    if (entry.waiting.empty() && entry.running == 0)
    {
        // Time in which a customer asked for nothing gives it no credit.
        entry.virtual_time = std::max(entry.virtual_time, virtual_time_);
    }
    return entry;
}

queue_item_pointer fair_queue::push(const std::string& customer, double weight, queue_item_pointer item)
{
    activate(customer, weight).waiting.push_back(std::move(item));
    ++size_;
    if (size_ <= limit_)
    {
        return nullptr;
    }
    const auto greediest = find_greediest();
    auto evicted = std::move(greediest->second.waiting.back());
    greediest->second.waiting.pop_back();
    --size_;
    forget_if_idle(greediest);
    return evicted;
}

fair_queue::flow_map::iterator fair_queue::find_greediest()
{
    return std::ranges::max_element(flows_, {}, [](const flow_map::value_type& item) {
        return static_cast<double>(item.second.waiting.size()) / item.second.weight;
    });
}

queue_item_pointer fair_queue::pop()
{
    auto next = flows_.end();
    for (auto position = flows_.begin(); position != flows_.end(); ++position)
    {
        const auto& candidate = position->second;
        if (!candidate.waiting.empty() &&
            (next == flows_.end() || candidate.virtual_time < next->second.virtual_time))
        {
            next = position;
        }
    }
    if (next == flows_.end())
    {
        return nullptr;
    }
    auto item = std::move(next->second.waiting.front());
    next->second.waiting.pop_front();
    --size_;
    return item;
}

void fair_queue::remove(const std::string& customer, const queue_item_pointer& item)
{
    const auto position = flows_.find(customer);
    if (position == flows_.end())
    {
        return;
    }
    size_ -= std::erase(position->second.waiting, item);
    forget_if_idle(position);
}

void fair_queue::on_start(const std::string& customer, double weight)
{
    auto& entry = activate(customer, weight);
    ++entry.running;
    // The customer served last defines the present, with and without a queue.
    virtual_time_ = std::max(virtual_time_, entry.virtual_time);
    entry.virtual_time += average_ms_ / entry.weight;
}

void fair_queue::on_finish(const std::string& customer, core::duration used)
{
    const auto position = flows_.find(customer);
    if (position == flows_.end())
    {
        return;
    }
    auto& entry = position->second;
    const auto cost = std::max(static_cast<double>(used.ms), least_cost_ms);
    entry.virtual_time += (cost - average_ms_) / entry.weight;
    average_ms_ += (cost - average_ms_) * average_gain;
    --entry.running;
    forget_if_idle(position);
}

void fair_queue::forget_if_idle(flow_map::iterator position)
{
    const auto& entry = position->second;
    if (entry.waiting.empty() && entry.running == 0 && entry.virtual_time <= virtual_time_)
    {
        flows_.erase(position);
    }
}

} // namespace briarfold::routing::internal
