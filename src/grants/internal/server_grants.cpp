#include "grants/server_grants.hpp"

#include <algorithm>
#include <ranges>

namespace briarfold::grants {

namespace {

/// Delay after a call without an answer, so that a backend server that is down is not flooded with calls.
constexpr core::duration retry_delay{150};
/// Higher tokens belong to the next front.
constexpr std::int64_t max_token_step = (std::int64_t{1} << 12) - 1;

} // namespace

server_grants::server_grants(const directory::entry& entry, core::time_point now)
    : start_time_ms_(entry.server.start_time_ms), address_(entry.server.address),
      token_base_(entry.token_base), front_token_(entry.front_token)
{
    add_missing_ranges(entry, now + entry.prior_grant_remaining);
    update(entry, now);
}

void server_grants::add_missing_ranges(const directory::entry& entry, core::time_point prior_end)
{
    keyspace::key_set known;
    std::ranges::transform(ranges_, std::back_inserter(known), &range_state::range);
    const auto add = [&](const keyspace::key_range& range, const std::string& handover) {
        range_state item;
        item.range = range;
        item.prior_end = prior_end;
        item.handover = handover;
        ranges_.push_back(std::move(item));
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
    std::vector<range_state> next;
    for (const auto& item : ranges_)
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
    ranges_ = std::move(next);
    std::ranges::sort(ranges_, {}, [](const range_state& item) { return item.range.first; });
}

void server_grants::update_prior_grants(const directory::entry& entry, core::time_point now)
{
    const auto prior_end = now + entry.prior_grant_remaining;
    const bool is_new_term = entry.front_token > front_token_;
    front_token_ = std::max(front_token_, entry.front_token);
    for (auto& item : ranges_)
    {
        if (is_new_term)
        {
            item.is_fenced = false;
            item.prior_end = std::max(item.prior_end, prior_end);
        }
        else
        {
            item.prior_end = std::min(item.prior_end, prior_end);
        }
    }
}

void server_grants::update(const directory::entry& entry, core::time_point now)
{
    const bool is_new_term = entry.front_token > front_token_;
    update_prior_grants(entry, now);
    if (entry.token_base > token_base_)
    {
        token_base_ = entry.token_base;
        token_step_ = 0;
        superseded_until_ = {};
    }
    if (entry.server.address != address_)
    {
        address_ = entry.server.address;
        address_since_ = now;
        // The end of a process at this address does not end what was granted at another one.
        for (auto& item : ranges_)
        {
            item.elsewhere_end = std::max({item.elsewhere_end, item.latest_end, item.unanswered_latest_end});
        }
    }
    if (entry.server.start_time_ms != start_time_ms_)
    {
        start_time_ms_ = entry.server.start_time_ms;
        on_restarted(now);
    }
    std::ranges::for_each(entry.keys, [this](const auto& range) { split_at(range); });
    std::erase_if(ranges_,
                  [&](const range_state& item) { return !keyspace::covers(entry.keys, {item.range}); });
    // Another front may have been given these keys first.
    add_missing_ranges(entry, is_new_term ? now + entry.prior_grant_remaining : now);
    std::ranges::for_each(entry.withdrawn, [this](const auto& range) { split_at(range); });
    for (auto& item : ranges_)
    {
        const bool is_withdrawn = keyspace::covers(entry.withdrawn, {item.range});
        if (is_withdrawn && item.release == release_state::none)
        {
            item.release = release_state::pending;
            item.retry_at = now;
        }
        else if (!is_withdrawn && item.release != release_state::none)
        {
            item.release = release_state::none;
            item.is_granted = false;
            item.retry_at = now;
        }
    }
    merge_adjacent();
}

void server_grants::on_connected()
{
    const bool is_first = last_sequence_ == 0;
    if (!is_first)
    {
        token_step_ = std::min(token_step_ + 1, max_token_step);
    }
}

void server_grants::on_key_missing(std::uint32_t key, core::time_point now)
{
    for (auto& item : ranges_)
    {
        if (item.range.contains(key) && item.renewed + retry_delay <= now)
        {
            item.renewed = {};
        }
    }
}

void server_grants::on_restarted(core::time_point now)
{
    // The registration arrives late, so earlier calls may have reached the new process. Its grants are those
    // of a later token, and a release that is in flight may be answered by either process.
    token_step_ = std::min(token_step_ + 1, max_token_step);
    for (auto& item : ranges_)
    {
        item.is_fenced = false;
        item.renewed = {};
        item.valid_until = now;
        item.retry_at = now;
        if (item.release == release_state::in_flight)
        {
            item.release = release_state::pending;
        }
    }
}

void server_grants::merge_adjacent()
{
    std::ranges::sort(ranges_, {}, [](const range_state& item) { return item.range.first; });
    std::vector<range_state> merged;
    for (const auto& item : ranges_)
    {
        const bool can_merge =
            !merged.empty() && merged.back().range.last + 1 == item.range.first && merged.back().is_granted &&
            item.is_granted && merged.back().is_fenced == item.is_fenced &&
            merged.back().is_in_flight == item.is_in_flight && merged.back().release == release_state::none &&
            item.release == release_state::none && merged.back().handover.empty() && item.handover.empty();
        if (!can_merge)
        {
            merged.push_back(item);
            continue;
        }
        auto& last = merged.back();
        last.range.last = item.range.last;
        last.renewed = std::min(last.renewed, item.renewed);
        last.valid_until = std::min(last.valid_until, item.valid_until);
        last.latest_end = std::max(last.latest_end, item.latest_end);
        last.prior_end = std::max(last.prior_end, item.prior_end);
        last.elsewhere_end = std::max(last.elsewhere_end, item.elsewhere_end);
        last.unanswered_latest_end = std::max(last.unanswered_latest_end, item.unanswered_latest_end);
        last.ended_at = std::min(last.ended_at, item.ended_at);
    }
    ranges_ = std::move(merged);
}

std::optional<grant_call> server_grants::next_call(core::time_point now, bool may_grant,
                                                   core::duration valid_for)
{
    for (auto& item : ranges_)
    {
        const bool may_hold_keys = item.is_granted || item.unanswered_latest_end > now;
        const bool is_idle = !item.is_in_flight && item.retry_at <= now;
        if (item.release == release_state::pending && may_hold_keys && is_idle && !may_fence(item, now))
        {
            item.release = release_state::in_flight;
            item.release_sequence = ++last_sequence_;
            return grant_call{call_kind::release, item.range, token_base_ + token_step_, {}, "", now,
                              last_sequence_};
        }
    }
    if (!may_grant || now < superseded_until_ || token_step_ == max_token_step)
    {
        return std::nullopt;
    }
    const auto is_due = [now](const range_state& item) {
        const bool is_renewal_due = item.release == release_state::none &&
                                    (!item.is_granted || item.renewed + renewal_interval <= now);
        return (is_renewal_due || may_fence(item, now)) && !item.is_in_flight && item.retry_at <= now;
    };
    auto due = ranges_ | std::views::filter(is_due);
    // In turn, since a backend server may close its connection after each answer.
    const auto next = std::ranges::min_element(due, {}, &range_state::renewed);
    if (next == due.end())
    {
        return std::nullopt;
    }
    next->is_in_flight = true;
    return grant_call{call_kind::grant, next->range, token_base_ + token_step_, valid_for,
                      next->handover,   now,         ++last_sequence_};
}

server_grants::range_state* server_grants::find(const keyspace::key_range& range)
{
    const auto position = std::ranges::find(ranges_, range, &range_state::range);
    return position == ranges_.end() ? nullptr : &*position;
}

void server_grants::clear_in_flight(const keyspace::key_range& range)
{
    split_at(range);
    for (auto& item : ranges_)
    {
        if (keyspace::covers({range}, {item.range}))
        {
            item.is_in_flight = false;
        }
    }
}

void server_grants::on_granted(const grant_call& call, core::time_point now)
{
    clear_in_flight(call.range);
    for (auto& item : ranges_)
    {
        if (!keyspace::covers({call.range}, {item.range}))
        {
            continue;
        }
        item.is_granted = true;
        item.is_fenced = call.token >= front_token_;
        item.renewed = call.sent;
        item.valid_until = call.sent + call.valid_for - send_margin;
        // A grant does not shorten a longer one, also one that was applied although its answer was lost.
        const auto former_end = std::max(item.latest_end, item.unanswered_latest_end);
        item.latest_end = std::max(latest_grant_end(now, call.valid_for),
                                   std::min(former_end, latest_grant_end(now, outage_grant_duration)));
        if (item.is_fenced)
        {
            // Grants of earlier fronts arrived before this one, whose token fences them.
            item.prior_end = std::min(item.prior_end, latest_grant_end(now, outage_grant_duration));
        }
        item.unanswered_latest_end = {};
        item.handover.clear();
    }
    merge_adjacent();
}

void server_grants::on_superseded(const grant_call& call, core::time_point now)
{
    clear_in_flight(call.range);
    if (call.token >= token_base_)
    {
        // The call was not sent before this front was assigned anew.
        token_step_ = std::min(token_step_ * 2 + 1, max_token_step);
        superseded_until_ = now + max_storeless_time + max_confirmation_age;
    }
    for (auto& item : ranges_)
    {
        if (keyspace::covers({call.range}, {item.range}))
        {
            item.is_granted = false;
            item.valid_until = now;
            item.retry_at = now + retry_delay;
        }
    }
}

bool server_grants::may_fence(const range_state& item, core::time_point now)
{
    // The answer to a release that was sent would free keys that are granted after it. A lost grant is not
    // repeated for this: each one may be applied and would hold the keys for longer.
    const bool is_releasing = item.release == release_state::in_flight || item.release == release_state::done;
    return !is_releasing && !item.is_fenced && item.prior_end > now && item.unanswered_latest_end <= now;
}

bool server_grants::is_current_release(const range_state& item, const grant_call& call)
{
    return item.release == release_state::in_flight && item.release_sequence == call.sequence;
}

void server_grants::on_released(const grant_call& call, const std::string& handover, core::time_point now)
{
    split_at(call.range);
    for (auto& item : ranges_)
    {
        if (!keyspace::covers({call.range}, {item.range}) || !is_current_release(item, call))
        {
            continue;
        }
        item.release = release_state::done;
        item.valid_until = now;
        // Without an accepted grant of this term of office, the backend server may not know its token, and an
        // earlier front may still renew.
        if (item.is_granted && (item.is_fenced || item.prior_end <= now))
        {
            item.latest_end = now;
            item.prior_end = now;
            item.ended_at = now;
            item.has_process_ended = false;
            item.handover = handover;
        }
        item.is_granted = false;
    }
}

void server_grants::on_not_sent(const grant_call& call, core::time_point now)
{
    if (call.kind == call_kind::grant)
    {
        clear_in_flight(call.range);
    }
    split_at(call.range);
    for (auto& item : ranges_)
    {
        if (!keyspace::covers({call.range}, {item.range}))
        {
            continue;
        }
        item.retry_at = now + retry_delay;
        if (is_current_release(item, call))
        {
            item.release = release_state::pending;
        }
    }
}

void server_grants::pause(core::time_point now)
{
    std::ranges::for_each(ranges_, [now](range_state& item) { item.retry_at = now + retry_delay; });
}

void server_grants::on_ended(core::time_point now)
{
    for (auto& item : ranges_)
    {
        item.is_granted = false;
        item.is_fenced = false;
        item.valid_until = now;
        item.latest_end = std::min(item.latest_end, now);
        item.unanswered_latest_end = {};
        item.ended_at = now;
        item.has_process_ended = true;
        item.handover.clear();
    }
}

void server_grants::on_lost(const grant_call& call, core::time_point now)
{
    // The lost call may be applied after the next one, so the next one needs a higher token.
    token_step_ = std::min(token_step_ + 1, max_token_step);
    on_not_sent(call, now);
    if (call.kind != call_kind::grant)
    {
        return;
    }
    for (auto& item : ranges_)
    {
        if (keyspace::covers({call.range}, {item.range}))
        {
            // No call at the present address ends a grant that was sent to an earlier one.
            auto& latest_end = call.sent <= address_since_ ? item.elsewhere_end : item.unanswered_latest_end;
            latest_end = std::max(latest_end, latest_grant_end(now, call.valid_for));
        }
    }
}

bool server_grants::may_send(std::uint32_t key, core::time_point now) const
{
    return std::ranges::any_of(ranges_, [&](const range_state& item) {
        return item.range.contains(key) && item.is_granted && item.release == release_state::none &&
               now < item.valid_until;
    });
}

bool server_grants::is_assigned(std::uint32_t key) const
{
    return std::ranges::any_of(ranges_, [&](const range_state& item) {
        return item.range.contains(key) && item.release == release_state::none;
    });
}

core::time_point server_grants::free_from(const range_state& item)
{
    return std::max({item.latest_end, item.prior_end, item.elsewhere_end, item.unanswered_latest_end});
}

free_proof server_grants::find_proof(const range_state& item)
{
    const auto from = free_from(item);
    if (item.ended_at != core::time_point() && from <= item.ended_at)
    {
        return item.has_process_ended ? free_proof::process_end : free_proof::release;
    }
    return from == item.latest_end              ? free_proof::grant_end
           : from == item.unanswered_latest_end ? free_proof::unanswered_grant_end
           : from == item.prior_end             ? free_proof::earlier_front_end
                                                : free_proof::earlier_address_end;
}

const char* to_text(free_proof proof)
{
    switch (proof)
    {
    case free_proof::release:
        return "release answered";
    case free_proof::process_end:
        return "process ended";
    case free_proof::grant_end:
        return "grant ended";
    case free_proof::unanswered_grant_end:
        return "unanswered grant ended";
    case free_proof::earlier_front_end:
        return "grants of earlier fronts ended";
    case free_proof::earlier_address_end:
        return "grants at an earlier address ended";
    }
    return "";
}

std::vector<freed_keys> server_grants::freed(core::time_point now) const
{
    std::vector<freed_keys> result;
    for (const auto& item : ranges_)
    {
        if (item.release != release_state::none && !item.is_in_flight && free_from(item) <= now)
        {
            result.push_back(
                {item.range, item.release == release_state::done ? item.handover : "", find_proof(item)});
        }
    }
    return result;
}

bool server_grants::is_short_of_tokens() const
{
    return token_step_ > max_token_step / 2;
}

core::time_point server_grants::next_due(core::time_point now) const
{
    auto due = now + renewal_interval;
    for (const auto& item : ranges_)
    {
        if (item.release == release_state::none)
        {
            if (now < superseded_until_ || token_step_ == max_token_step)
            {
                continue;
            }
            const bool is_renewed = item.is_granted && !may_fence(item, now);
            const auto due_at = is_renewed ? item.renewed + renewal_interval : now;
            due = std::min(due, std::max(due_at, item.retry_at));
        }
        else if (item.release == release_state::pending)
        {
            due = std::min(due, std::max(now, item.retry_at));
        }
    }
    return due;
}

} // namespace briarfold::grants
