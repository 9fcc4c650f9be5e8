#include "http/internal/response_order.hpp"

#include <algorithm>

namespace briarfold::http::internal {

bool response_order::may_read(const pipeline_limits& limits, bool is_ending) const
{
    if (is_closing_ || is_last_started_)
    {
        return false;
    }
    if (entries_.empty())
    {
        return true;
    }
    // A request that runs alone is the only entry, because nothing is read behind it.
    return !is_ending && entries_.back().is_concurrent && entries_.size() < limits.requests &&
           bytes_ < limits.bytes;
}

bool response_order::may_start(bool is_concurrent, bool is_ending) const
{
    if (is_closing_ || is_last_started_)
    {
        return false;
    }
    return entries_.empty() || (is_concurrent && entries_.back().is_concurrent && !is_ending);
}

response_order::request_id response_order::start(bool is_concurrent, bool is_last, std::size_t bytes)
{
    const auto id = next_id_++;
    entries_.push_back({id, is_concurrent, is_last, false, bytes});
    bytes_ += bytes;
    is_last_started_ = is_last_started_ || is_last;
    return id;
}

void response_order::complete(request_id id, std::size_t bytes)
{
    const auto found = std::ranges::find(entries_, id, &entry::id);
    if (found == entries_.end() || found->is_ready)
    {
        return;
    }
    found->is_ready = true;
    found->bytes += bytes;
    bytes_ += bytes;
}

std::optional<response_order::write_step> response_order::begin_write(bool is_ending)
{
    if (is_writing_ || entries_.empty() || !entries_.front().is_ready)
    {
        return std::nullopt;
    }
    const auto& next = entries_.front();
    is_writing_ = true;
    is_closing_ = next.is_last || (is_ending && entries_.size() == 1);
    return write_step{next.id, is_closing_};
}

void response_order::end_write()
{
    is_writing_ = false;
    remove(entries_.front().id);
}

void response_order::remove(request_id id)
{
    const auto found = std::ranges::find(entries_, id, &entry::id);
    if (found != entries_.end())
    {
        bytes_ -= found->bytes;
        entries_.erase(found);
    }
}

} // namespace briarfold::http::internal
