#include "ownership/internal/voucher_book.hpp"

#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

/// Answers to older heartbeats carry no valid voucher any more.
constexpr std::size_t max_unanswered = 8;
constexpr core::duration pause_threshold{200};

} // namespace

void voucher_book::set_witnesses(const std::vector<std::string>& witnesses, core::time_point now)
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

void voucher_book::tick(core::time_point now, actions& out)
{
    if (now - last_tick_ > pause_threshold)
    {
        // This process was paused: the silence it sees is its own.
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
        if (entry.sent.size() > max_unanswered)
        {
            entry.sent.erase(entry.sent.begin());
        }
        out.emplace_back(heartbeat_request{witness, seq});
    }
}

void voucher_book::on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced)
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

core::duration voucher_book::remaining(const std::vector<std::string>& allowed, const std::string& server,
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

std::vector<std::string> voucher_book::silent(core::time_point now, core::duration silence) const
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
