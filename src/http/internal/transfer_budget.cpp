#include "http/transfer_budget.hpp"

#include <algorithm>
#include <utility>

namespace briarfold::http {

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
        ++budget_->given_up_;
        largest->is_given_up_ = true;
        largest->set_bytes(0);
        if (largest == this)
        {
            return false;
        }
        std::exchange(largest->give_up_, {})();
    }
    budget_->peak_bytes_ = std::max(budget_->peak_bytes_, budget_->held_bytes_);
    return true;
}

} // namespace briarfold::http
