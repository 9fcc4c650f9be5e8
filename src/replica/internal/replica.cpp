#include "replica/replica.hpp"

#include <algorithm>

namespace briarfold::replica {

namespace {

/// The table has a few hundred deletions a day. A follower that needs older deletions reads all rows.
constexpr std::size_t max_deletions = 4096;

} // namespace

replica::replica() : current_(std::make_shared<snapshot>()) {}

std::shared_ptr<const snapshot> replica::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

core::time_point replica::confirmed_at() const
{
    const std::scoped_lock lock(mutex_);
    return confirmed_at_;
}

void replica::confirm(core::time_point at)
{
    const std::scoped_lock lock(mutex_);
    confirmed_at_ = std::max(confirmed_at_, at);
}

void replica::on_change(change_hook hook)
{
    const std::scoped_lock lock(mutex_);
    hooks_.push_back(std::move(hook));
}

bool replica::is_newer(const row_map& rows, const store::row& candidate) const
{
    if (candidate.revision <= current_->revision)
    {
        return false;
    }
    const auto deleted = deletions_.find(candidate.key);
    if (deleted != deletions_.end() && candidate.revision <= deleted->second)
    {
        return false;
    }
    const auto held = rows.find(candidate.key);
    return held == rows.end() || candidate.revision > held->second->revision;
}

void replica::apply_row(row_map& rows, const store::row& changed)
{
    if (changed.value.is_null())
    {
        rows.erase(changed.key);
        deletions_[changed.key] = changed.revision;
        return;
    }
    deletions_.erase(changed.key);
    rows[changed.key] = std::make_shared<const store::row>(changed);
}

void replica::apply(const store::row_batch& batch)
{
    std::unique_lock lock(mutex_);
    std::vector<store::row> changed;
    std::ranges::copy_if(batch.rows, std::back_inserter(changed),
                         [&](const store::row& item) { return is_newer(current_->rows, item); });
    if (changed.empty() && batch.revision <= current_->revision)
    {
        return;
    }
    auto rows = current_->rows;
    std::ranges::for_each(changed, [&](const store::row& item) { apply_row(rows, item); });
    publish(std::move(rows), std::max(batch.revision, current_->revision), changed, std::move(lock));
}

void replica::apply_all(const store::row_batch& batch)
{
    std::unique_lock lock(mutex_);
    if (batch.revision <= current_->revision)
    {
        return;
    }
    std::vector<store::row> changed;
    std::ranges::copy_if(batch.rows, std::back_inserter(changed),
                         [&](const store::row& item) { return is_newer(current_->rows, item); });
    std::map<std::string_view, bool> present;
    std::ranges::for_each(batch.rows, [&](const store::row& item) { present[item.key] = true; });
    for (const auto& [key, held] : current_->rows)
    {
        if (!present.contains(key) && held->revision <= batch.revision)
        {
            changed.emplace_back(key, held->version, batch.revision, "", nlohmann::json());
        }
    }
    auto rows = current_->rows;
    std::ranges::for_each(changed, [&](const store::row& item) { apply_row(rows, item); });
    // Rows that were created and deleted between the two revisions are unknown here, so older deletions are
    // incomplete.
    deletions_complete_after_ = batch.revision;
    publish(std::move(rows), batch.revision, changed, std::move(lock));
}

void replica::publish(row_map rows, std::int64_t revision, const std::vector<store::row>& changed,
                      std::unique_lock<std::mutex> lock)
{
    if (deletions_.size() > max_deletions)
    {
        deletions_complete_after_ = revision;
        std::erase_if(deletions_, [&](const auto& item) { return item.second <= revision; });
    }
    auto next = std::make_shared<snapshot>();
    next->revision = revision;
    next->rows = std::move(rows);
    current_ = std::move(next);
    const auto published = current_;
    const auto hooks = hooks_;
    lock.unlock();
    if (!changed.empty())
    {
        std::ranges::for_each(hooks, [&](const change_hook& hook) { hook(published, changed); });
    }
}

store::row_batch replica::changes_since(std::int64_t since) const
{
    const std::scoped_lock lock(mutex_);
    store::row_batch batch;
    batch.revision = current_->revision;
    if (since < deletions_complete_after_ || since < 0)
    {
        batch.is_truncated = true;
        return batch;
    }
    for (const auto& [key, held] : current_->rows)
    {
        if (held->revision > since)
        {
            batch.rows.push_back(*held);
        }
    }
    for (const auto& [key, revision] : deletions_)
    {
        if (revision > since)
        {
            batch.rows.emplace_back(key, 0, revision, "", nlohmann::json());
        }
    }
    return batch;
}

store::row_batch replica::all_rows() const
{
    const auto held = current();
    store::row_batch batch;
    batch.revision = held->revision;
    std::ranges::transform(held->rows, std::back_inserter(batch.rows),
                           [](const auto& item) { return *item.second; });
    return batch;
}

} // namespace briarfold::replica
