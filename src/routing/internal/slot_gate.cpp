#include "routing/internal/slot_gate.hpp"

namespace briarfold::routing::internal {

namespace {

namespace asio = core::asio;
using boost::system::error_code;

/// Maximum queued requests for each slot. With 32, the last one waits for 32 service times, which is longer
/// than most deadlines.
constexpr std::size_t queue_per_slot = 32;

std::size_t queue_limit(int slots)
{
    return queue_per_slot * static_cast<std::size_t>(std::max(slots, 1));
}

} // namespace

struct slot_gate::waiter : queue_item
{
    waiter(const asio::any_io_executor& strand, std::string customer_name, double customer_weight)
        : done(strand), customer(std::move(customer_name)), weight(customer_weight)
    {}

    asio::steady_timer done;
    std::string customer;
    double weight;
    slot_result result = slot_result::expired;
    bool is_queued = true;
};

slot_gate::slot_gate(asio::any_io_executor strand, int slots, routing_counters& counters)
    : strand_(std::move(strand)), counters_(counters), slots_(slots), queue_(queue_limit(slots))
{}

asio::awaitable<slot_result> slot_gate::acquire(std::string customer, double weight,
                                                core::time_point deadline,
                                                std::shared_ptr<core::cancellation> cancel)
{
    if (in_use_ < slots_ && queue_.empty())
    {
        ++in_use_;
        queue_.on_start(customer, weight);
        co_return slot_result::granted;
    }
    const auto self = shared_from_this();
    const auto item = std::make_shared<waiter>(strand_, customer, weight);
    item->done.expires_after(
        std::chrono::milliseconds(std::max<std::int64_t>((deadline - core::clock::now()).ms, 0)));
    ++counters_.queue_waits;
    if (const auto evicted = queue_.push(customer, weight, item))
    {
        ++counters_.queue_rejections;
        const auto evicted_waiter = std::static_pointer_cast<waiter>(evicted);
        evicted_waiter->is_queued = false;
        evicted_waiter->result = slot_result::overloaded;
        evicted_waiter->done.cancel();
        if (evicted_waiter == item)
        {
            co_return slot_result::overloaded;
        }
    }
    if (cancel)
    {
        cancel->set_hook([self, item] {
            asio::post(self->strand_, [self, item] { self->dequeue(item, slot_result::cancelled); });
        });
    }
    error_code ignored;
    co_await item->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (cancel)
    {
        cancel->set_hook({});
    }
    dequeue(item, slot_result::expired);
    co_return item->result;
}

void slot_gate::dequeue(const std::shared_ptr<waiter>& item, slot_result reason)
{
    if (!std::exchange(item->is_queued, false))
    {
        return;
    }
    queue_.remove(item->customer, item);
    item->result = reason;
    item->done.cancel();
}

void slot_gate::release(const std::string& customer, core::duration used)
{
    --in_use_;
    queue_.on_finish(customer, used);
    grant_waiting();
}

void slot_gate::set_slots(int slots)
{
    slots_ = slots;
    queue_.set_limit(queue_limit(slots));
    grant_waiting();
}

void slot_gate::grant_waiting()
{
    while (in_use_ < slots_)
    {
        const auto item = std::static_pointer_cast<waiter>(queue_.pop());
        if (!item)
        {
            return;
        }
        ++in_use_;
        queue_.on_start(item->customer, item->weight);
        item->is_queued = false;
        item->result = slot_result::granted;
        item->done.cancel();
    }
}

} // namespace briarfold::routing::internal
