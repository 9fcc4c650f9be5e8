/// Queue between customers for the slots of one backend server.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace briarfold::routing::internal {

/// One request that waits for a slot.
class queue_item
{
public:
    virtual ~queue_item() = default;
};

using queue_item_pointer = std::shared_ptr<queue_item>;

/// Weighted fair queuing by slot time: the customer that used the least slot time for its weight is next.
/// Bounded: when it is full, the newest item of the customer that is furthest above its share gives way.
/// Not thread-safe.
class fair_queue
{
public:
    explicit fair_queue(std::size_t limit) : limit_(limit) {}

    /// Adds the item and returns the item that has to go, which may be the same one, or null.
    queue_item_pointer push(const std::string& customer, double weight, queue_item_pointer item);
    /// Removes the next item; null when the queue is empty. The customer is charged by `on_start`.
    queue_item_pointer pop();
    void remove(const std::string& customer, const queue_item_pointer& item);
    /// A customer got a slot, or gave one back after `used`.
    void on_start(const std::string& customer, double weight);
    void on_finish(const std::string& customer, core::duration used);

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void set_limit(std::size_t limit) { limit_ = limit; }

private:
    struct flow
    {
        std::deque<queue_item_pointer> waiting;
        double weight = 1;
        /// Slot time used, divided by the weight.
        double virtual_time = 0;
        std::size_t running = 0;
    };
    using flow_map = std::map<std::string, flow>;

    flow& activate(const std::string& customer, double weight);
    flow_map::iterator find_greediest();
    void forget_if_idle(flow_map::iterator position);

    flow_map flows_;
    std::size_t limit_;
    std::size_t size_ = 0;
    double virtual_time_ = 0;
    /// Estimate of the slot time of one request, charged at its start and corrected at its end.
    double average_ms_ = 1;
};

} // namespace briarfold::routing::internal
