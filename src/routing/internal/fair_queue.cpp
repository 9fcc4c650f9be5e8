#include "routing/internal/fair_queue.hpp"

#include <algorithm>

namespace briarfold::routing::internal {

namespace {

constexpr double min_weight = 0.001;
constexpr double smoothing_factor = 0.1;
/// Minimum cost of a request, because the clock measures requests shorter than 1 ms as 0.
constexpr double min_cost_ms = 0.5;

} // namespace

fair_queue::flow& fair_queue::activate(const std::string& customer, double weight)
{
    auto& customer_flow = flows_[customer];
    customer_flow.weight = std::max(weight, min_weight);
    if (customer_flow.waiting.empty() && customer_flow.running == 0)
    {
        // A customer earns no credit for the time in which it had no requests.
        customer_flow.virtual_time = std::max(customer_flow.virtual_time, virtual_time_);
    }
    return customer_flow;
}

queue_item_pointer fair_queue::push(const std::string& customer, double weight, queue_item_pointer item)
{
    activate(customer, weight).waiting.push_back(std::move(item));
    ++size_;
    if (size_ <= limit_)
    {
        return nullptr;
    }
    const auto largest = find_largest_backlog();
    auto evicted = std::move(largest->second.waiting.back());
    largest->second.waiting.pop_back();
    --size_;
    erase_if_idle(largest);
    return evicted;
}

fair_queue::flow_map::iterator fair_queue::find_largest_backlog()
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
    erase_if_idle(position);
}

void fair_queue::on_start(const std::string& customer, double weight)
{
    auto& customer_flow = activate(customer, weight);
    ++customer_flow.running;
    // The customer served last sets the current virtual time, whether or not it had to queue.
    virtual_time_ = std::max(virtual_time_, customer_flow.virtual_time);
    customer_flow.virtual_time += average_ms_ / customer_flow.weight;
}

void fair_queue::on_finish(const std::string& customer, core::duration used)
{
    const auto position = flows_.find(customer);
    if (position == flows_.end())
    {
        return;
    }
    auto& customer_flow = position->second;
    const auto cost = std::max(static_cast<double>(used.ms), min_cost_ms);
    customer_flow.virtual_time += (cost - average_ms_) / customer_flow.weight;
    average_ms_ += (cost - average_ms_) * smoothing_factor;
    --customer_flow.running;
    erase_if_idle(position);
}

void fair_queue::erase_if_idle(flow_map::iterator position)
{
    const auto& customer_flow = position->second;
    if (customer_flow.waiting.empty() && customer_flow.running == 0 &&
        customer_flow.virtual_time <= virtual_time_)
    {
        flows_.erase(position);
    }
}

} // namespace briarfold::routing::internal
