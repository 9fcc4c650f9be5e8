#include "http/transfer_budget.hpp"

#include <algorithm>
#include <utility>

namespace briarfold::http {

namespace {

/// Requests without a large body, with all copies.
constexpr std::size_t small_message_bytes = 65536;
/// Share of the limit that other messages may take beside a large one that exceeds it: one part of eight.
constexpr std::size_t beside_divisor = 8;

} // namespace

bool transfer_budget::has_reserve_for(std::size_t message_bytes) const
{
    const bool is_alone = held_bytes_ - message_bytes <= limit_bytes_ / beside_divisor;
    return held_bytes_ <= reserve_bytes_ && (is_alone || message_bytes <= small_message_bytes);
}

held_message::held_message(std::shared_ptr<transfer_budget> budget, std::function<void()> give_up)
    : budget_(std::move(budget)), give_up_(std::move(give_up))
{
    if (budget_)
    {
        budget_->messages_.insert(this);
    }
}

held_message::~held_message()
{
    if (budget_)
    {
        set_bytes(0);
        budget_->messages_.erase(this);
    }
}

void held_message::set_bytes(std::size_t bytes)
{
    budget_->held_bytes_ += bytes;
    budget_->held_bytes_ -= bytes_;
    bytes_ = bytes;
}

held_message* held_message::find_largest()
{
    auto* largest = this;
    for (auto* const item : budget_->messages_)
    {
        if (item->give_up_ && item->bytes_ > largest->bytes_)
        {
            largest = item;
        }
    }
    return largest;
}

void held_message::give_up()
{
    ++budget_->given_up_;
    is_given_up_ = true;
    set_bytes(0);
    if (const auto end_work = std::exchange(give_up_, {}))
    {
        end_work();
    }
}

void held_message::count(std::size_t bytes)
{
    if (!budget_ || bytes == bytes_)
    {
        return;
    }
    const bool is_growth = bytes > bytes_;
    set_bytes(bytes);
    while (is_growth && budget_->held_bytes_ > budget_->limit_bytes_)
    {
        auto* const largest = find_largest();
        if (largest == this || budget_->has_reserve_for(largest->bytes_))
        {
            break;
        }
        largest->give_up();
    }
    budget_->peak_bytes_ = std::max(budget_->peak_bytes_, budget_->held_bytes_);
}

bool held_message::resize(std::size_t bytes)
{
    if (!budget_)
    {
        return true;
    }
    if (is_given_up_)
    {
        return false;
    }
    const bool is_growth = bytes > bytes_;
    set_bytes(bytes);
    while (is_growth && budget_->held_bytes_ > budget_->limit_bytes_)
    {
        auto* const largest = find_largest();
        if (budget_->has_reserve_for(largest->bytes_))
        {
            break;
        }
        if (largest == this)
        {
            // The caller learns it from the result.
            keep();
            give_up();
            return false;
        }
        largest->give_up();
    }
    budget_->peak_bytes_ = std::max(budget_->peak_bytes_, budget_->held_bytes_);
    return true;
}

} // namespace briarfold::http
