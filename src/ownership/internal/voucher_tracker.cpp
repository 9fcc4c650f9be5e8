#include "ownership/internal/voucher_tracker.hpp"

#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

/// Unanswered heartbeats that are kept per witness. Answers to older ones carry expired vouchers.
constexpr std::size_t max_unanswered_heartbeats = 8;
constexpr core::duration pause_threshold{200};

} // namespace

void voucher_tracker::set_witnesses(const std::vector<std::string>& witnesses, core::time_point now)
{
    witnesses_ = witnesses;
    std::erase_if(entries_, [&](const auto& item) {
        return std::ranges::find(witnesses, item.first) == witnesses.end();
    });
    for (const auto& witness : witnesses)
    {
        if (!entries_.contains(witness))
        {
            entries_[witness].listed_at = now;
            next_heartbeat_ = now;
        }
    }
}

void voucher_tracker::tick(core::time_point now, actions& out)
{
    if (now - last_tick_ > pause_threshold)
    {
        // This process was paused, which explains the silence.
        std::ranges::for_each(entries_, [&](auto& item) { item.second.listed_at = now; });
    }
    last_tick_ = now;
    if (now < next_heartbeat_)
    {
        return;
    }
    next_heartbeat_ = now + timing::heartbeat_interval;
    for (auto& [witness, entry] : entries_)
    {
        const auto seq = next_seq_++;
        entry.sent[seq] = now;
        if (entry.sent.size() > max_unanswered_heartbeats)
        {
            entry.sent.erase(entry.sent.begin());
        }
        out.emplace_back(heartbeat_request{witness, seq});
    }
}

void voucher_tracker::on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced)
{
    const auto found = entries_.find(from);
    if (found == entries_.end())
    {
        return;
    }
    auto& entry = found->second;
    const auto sent = entry.sent.find(seq);
    if (sent == entry.sent.end() || seq <= entry.answered_seq)
    {
        return;
    }
    entry.answered_seq = seq;
    entry.answered_sent = sent->second;
    entry.fenced = std::move(fenced);
    entry.sent.erase(entry.sent.begin(), std::next(sent));
}

core::duration voucher_tracker::remaining(const std::vector<std::string>& allowed, const std::string& server,
                                          std::int64_t epoch, core::time_point now) const
{
    core::duration best{0};
    for (const auto& witness : allowed)
    {
        const auto found = entries_.find(witness);
        if (found == entries_.end() || !found->second.answered_sent)
        {
            continue;
        }
        const auto fence = found->second.fenced.find(server);
        if (fence != found->second.fenced.end() && fence->second >= epoch)
        {
            continue;
        }
        best = std::max(best, *found->second.answered_sent + timing::voucher_duration - now);
    }
    return best;
}

std::vector<std::string> voucher_tracker::silent_witnesses(core::time_point now, core::duration silence) const
{
    std::vector<std::string> result;
    for (const auto& [witness, entry] : entries_)
    {
        const auto last = std::max(entry.listed_at, entry.answered_sent.value_or(entry.listed_at));
        if (now - last > silence)
        {
            result.push_back(witness);
        }
    }
    return result;
}

} // namespace briarfold::ownership::internal
