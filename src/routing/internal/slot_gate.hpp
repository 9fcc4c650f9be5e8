/// Admission to the slots of one backend server, with a queue of waiting requests.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "core/clock.hpp"
#include "routing/counters.hpp"
#include "routing/internal/fair_queue.hpp"

#include <memory>
#include <string>

namespace briarfold::routing::internal {

enum class slot_result
{
    granted,
    overloaded,
    expired,
    cancelled
};

/// Not thread-safe. All calls on the strand given at construction.
class slot_gate : public std::enable_shared_from_this<slot_gate>
{
public:
    slot_gate(core::asio::any_io_executor strand, int slots, routing_counters& counters);

    /// Waits for a slot. After `granted` the caller must call `release` once.
    core::asio::awaitable<slot_result> acquire(std::string customer, double weight, core::time_point deadline,
                                               std::shared_ptr<core::cancellation> cancel);
    /// Frees a slot. `used` is the time for which the slot was in use.
    void release(const std::string& customer, core::duration used);
    void set_slots(int slots);

    int in_use() const { return in_use_; }
    std::size_t waiting() const { return queue_.size(); }

private:
    struct waiter;

    void grant_waiting();
    void dequeue(const std::shared_ptr<waiter>& item, slot_result reason);

    core::asio::any_io_executor strand_;
    routing_counters& counters_;
    int slots_;
    int in_use_ = 0;
    fair_queue queue_;
};

} // namespace briarfold::routing::internal
