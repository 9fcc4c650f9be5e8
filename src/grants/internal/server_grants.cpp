#include "grants/server_grants.hpp"

#include <algorithm>

namespace briarfold::grants {

namespace {

/// Pause after a call without an answer, so that a backend server that is down is not flooded.
constexpr core::duration retry_pause{150};
/// Tokens above this belong to the next front.
constexpr std::int64_t most_token_step = (std::int64_t{1} << 12) - 1;

} // namespace

server_grants::server_grants(const directory::entry& entry, core::time_point now)
    : start_time_ms_(entry.server.start_time_ms), token_base_(entry.token_base)
{
    add_pieces(entry, now + entry.prior_grant_remaining);
    update(entry, now);
}

void server_grants::add_pieces(const directory::entry& entry, core::time_point bound)
{
    keyspace::key_set known;
    std::ranges::transform(pieces_, std::back_inserter(known), &piece::range);
    const auto add = [&](const keyspace::key_range& range, const std::string& handover) {
        piece item;
        item.range = range;
        item.bound = bound;
        item.handover = handover;
        pieces_.push_back(std::move(item));
    };
    auto missing = keyspace::set_difference(entry.keys, known);
    for (const auto& token : entry.handovers)
    {
        for (const auto& range : keyspace::set_intersection({token.range}, missing))
        {
            add(range, token.token);
        }
        missing = keyspace::set_difference(missing, {token.range});
    }
    std::ranges::for_each(missing, [&](const auto& range) { add(range, ""); });
}

void server_grants::split_at(const keyspace::key_range& range)
{
    std::vector<piece> next;
    for (const auto& item : pieces_)
    {
        const auto inside = keyspace::set_intersection({item.range}, {range});
        const auto outside = keyspace::set_difference({item.range}, {range});
        for (const auto& parts : {inside, outside})
        {
            for (const auto& part : parts)
            {
                next.push_back(item);
                next.back().range = part;
            }
        }
    }
    pieces_ = std::move(next);
    std::ranges::sort(pieces_, {}, [](const piece& item) { return item.range.first; });
}

void server_grants::update(const directory::entry& entry, core::time_point now)
{
    if (entry.token_base > token_base_)
    {
        token_base_ = entry.token_base;
        token_step_ = 0;
    }
    if (entry.server.start_time_ms != start_time_ms_)
    {
        // A new life holds nothing, and what the former one held ended with it.
        start_time_ms_ = entry.server.start_time_ms;
        ++token_step_;
        pieces_.clear();
    }
    std::ranges::for_each(entry.keys, [this](const auto& range) { split_at(range); });
    std::erase_if(pieces_, [&](const piece& item) { return !keyspace::covers(entry.keys, {item.range}); });
    add_pieces(entry, now);
    std::ranges::for_each(entry.withdrawn, [this](const auto& range) { split_at(range); });
    for (auto& item : pieces_)
    {
        const bool is_withdrawn = keyspace::covers(entry.withdrawn, {item.range});
        if (is_withdrawn && item.release == release_state::none)
        {
            item.release = release_state::wanted;
            item.retry_at = now;
        }
        else if (!is_withdrawn && item.release != release_state::none)
        {
            item.release = release_state::none;
            item.is_granted = false;
            item.retry_at = now;
        }
    }
    merge();
}

void server_grants::merge()
{
    std::ranges::sort(pieces_, {}, [](const piece& item) { return item.range.first; });
    std::vector<piece> joined;
    for (const auto& item : pieces_)
    {
        const bool fits =
            !joined.empty() && joined.back().range.last + 1 == item.range.first && joined.back().is_granted &&
            item.is_granted && joined.back().is_under_way == item.is_under_way &&
            joined.back().release == release_state::none && item.release == release_state::none &&
            joined.back().handover.empty() && item.handover.empty();
        if (!fits)
        {
            joined.push_back(item);
            continue;
        }
        auto& last = joined.back();
        last.range.last = item.range.last;
        last.renewed = std::min(last.renewed, item.renewed);
        last.valid_until = std::min(last.valid_until, item.valid_until);
        last.bound = std::max(last.bound, item.bound);
        last.unanswered_bound = std::max(last.unanswered_bound, item.unanswered_bound);
    }
    pieces_ = std::move(joined);
}

std::optional<grant_call> server_grants::next_call(core::time_point now, bool may_grant,
                                                   core::duration length)
{
    for (auto& item : pieces_)
    {
        const bool may_hold = item.is_granted || item.unanswered_bound > now;
        const bool is_idle = !item.is_under_way && item.retry_at <= now;
        if (item.release == release_state::wanted && may_hold && is_idle)
        {
            item.release = release_state::under_way;
            return grant_call{call_kind::release, item.range, token_base_ + token_step_, {}, "", now};
        }
    }
    if (!may_grant)
    {
        return std::nullopt;
    }
    for (auto& item : pieces_)
    {
        const bool is_due = !item.is_granted || item.renewed + renewal_interval <= now;
        if (item.release == release_state::none && is_due && !item.is_under_way && item.retry_at <= now)
        {
            item.is_under_way = true;
            return grant_call{call_kind::grant, item.range,    token_base_ + token_step_,
                              length,           item.handover, now};
        }
    }
    return std::nullopt;
}

server_grants::piece* server_grants::find(const keyspace::key_range& range)
{
    const auto position = std::ranges::find(pieces_, range, &piece::range);
    return position == pieces_.end() ? nullptr : &*position;
}

void server_grants::end_call(const keyspace::key_range& range)
{
    split_at(range);
    for (auto& item : pieces_)
    {
        if (keyspace::covers({range}, {item.range}))
        {
            item.is_under_way = false;
        }
    }
}

void server_grants::on_granted(const grant_call& call, core::time_point now)
{
    end_call(call.range);
    for (auto& item : pieces_)
    {
        if (!keyspace::covers({call.range}, {item.range}))
        {
            continue;
        }
        item.is_granted = true;
        item.renewed = call.sent;
        item.valid_until = call.sent + call.valid_for - send_margin;
        item.bound = latest_grant_end(now, call.valid_for);
        item.unanswered_bound = {};
        item.handover.clear();
    }
    merge();
}

void server_grants::on_superseded(const grant_call& call, core::time_point now)
{
    end_call(call.range);
    token_step_ = std::min(token_step_ * 2 + 1, most_token_step);
    for (auto& item : pieces_)
    {
        if (keyspace::covers({call.range}, {item.range}))
        {
            item.is_granted = false;
            item.valid_until = now;
            item.retry_at = now + retry_pause;
        }
    }
}

void server_grants::on_released(const grant_call& call, const std::string& handover, core::time_point now)
{
    split_at(call.range);
    for (auto& item : pieces_)
    {
        if (keyspace::covers({call.range}, {item.range}) && item.release != release_state::none)
        {
            item.release = release_state::done;
            item.is_granted = false;
            item.valid_until = now;
            item.bound = now;
            item.handover = handover;
        }
    }
}

void server_grants::on_not_sent(const grant_call& call, core::time_point now)
{
    if (call.kind == call_kind::grant)
    {
        end_call(call.range);
    }
    split_at(call.range);
    for (auto& item : pieces_)
    {
        if (!keyspace::covers({call.range}, {item.range}))
        {
            continue;
        }
        item.retry_at = now + retry_pause;
        if (item.release == release_state::under_way && call.kind == call_kind::release)
        {
            item.release = release_state::wanted;
        }
    }
}

void server_grants::pause(core::time_point now)
{
    std::ranges::for_each(pieces_, [now](piece& item) { item.retry_at = now + retry_pause; });
}

void server_grants::on_lost(const grant_call& call, core::time_point now)
{
    // The next call needs a higher token, since the lost one may be applied after it.
    token_step_ = std::min(token_step_ + 1, most_token_step);
    on_not_sent(call, now);
    if (call.kind != call_kind::grant)
    {
        return;
    }
    for (auto& item : pieces_)
    {
        if (keyspace::covers({call.range}, {item.range}))
        {
            item.unanswered_bound = std::max(item.unanswered_bound, latest_grant_end(now, call.valid_for));
        }
    }
}

bool server_grants::may_send(std::uint32_t key, core::time_point now) const
{
    return std::ranges::any_of(pieces_, [&](const piece& item) {
        return item.range.contains(key) && item.is_granted && item.release == release_state::none &&
               now < item.valid_until;
    });
}

bool server_grants::is_assigned(std::uint32_t key) const
{
    return std::ranges::any_of(pieces_, [&](const piece& item) {
        return item.range.contains(key) && item.release == release_state::none;
    });
}

core::time_point server_grants::free_at(const piece& item)
{
    return std::max(item.bound, item.unanswered_bound);
}

std::vector<freed_keys> server_grants::freed(core::time_point now) const
{
    std::vector<freed_keys> result;
    for (const auto& item : pieces_)
    {
        if (item.release != release_state::none && !item.is_under_way && free_at(item) <= now)
        {
            result.push_back({item.range, item.release == release_state::done ? item.handover : ""});
        }
    }
    return result;
}

core::time_point server_grants::next_due(core::time_point now) const
{
    auto due = now + renewal_interval;
    for (const auto& item : pieces_)
    {
        if (item.release == release_state::none)
        {
            const auto wanted = item.is_granted ? item.renewed + renewal_interval : now;
            due = std::min(due, std::max(wanted, item.retry_at));
        }
        else if (item.release == release_state::wanted)
        {
            due = std::min(due, std::max(now, item.retry_at));
        }
    }
    return due;
}

} // namespace briarfold::grants
