/// Fair queue of the customers for the slots of one backend server.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace briarfold::routing::internal {

/// A request that waits for a slot.
class queue_item
{
public:
    virtual ~queue_item() = default;
};

using queue_item_pointer = std::shared_ptr<queue_item>;

/// Weighted fair queue by slot time: the customer with the least slot time used per weight is next. The queue
/// is bounded: when it is full, the newest item of the customer with the most waiting items per weight is
/// evicted. Not thread-safe.
class fair_queue
{
public:
    explicit fair_queue(std::size_t limit) : limit_(limit) {}

    /// Adds the item. Returns the evicted item, which may be the added one, or null when there was space.
    queue_item_pointer push(const std::string& customer, double weight, queue_item_pointer item);
    /// Removes and returns the next item; null when the queue is empty. The caller charges the customer with
    /// `on_start`.
    queue_item_pointer pop();
    void remove(const std::string& customer, const queue_item_pointer& item);
    /// Records that a customer got a slot (`on_start`), or released one after the time `used` (`on_finish`).
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
        /// Slot time used in milliseconds, divided by the weight.
        double virtual_time = 0;
        std::size_t running = 0;
    };
    using flow_map = std::map<std::string, flow>;

    flow& activate(const std::string& customer, double weight);
    flow_map::iterator find_largest_backlog();
    void erase_if_idle(flow_map::iterator position);

    flow_map flows_;
    std::size_t limit_;
    std::size_t size_ = 0;
    double virtual_time_ = 0;
    /// Moving average of the slot time of a request. Charged at the start of a request and corrected at its
    /// end.
    double average_ms_ = 1;
};

} // namespace briarfold::routing::internal
