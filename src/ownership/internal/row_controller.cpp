#include "ownership/internal/row_controller.hpp"

#include "ownership/internal/slice_sets.hpp"
#include "ownership/timing.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace briarfold::ownership::internal {

namespace {

using core::duration;
using core::time_point;

/// Age above which a nonce is replaced before a grant, as too little of the grant would remain.
constexpr duration max_nonce_age{400};
constexpr duration retry_delay{20};
constexpr duration retry_interval{150};
constexpr duration lost_poll_interval{500};
constexpr duration drain_poll_interval{10};
/// Delay before cleared predecessors are removed from the row, so that a burst of takeovers causes one write
/// per row.
constexpr duration predecessor_removal_delay{5000};
constexpr int max_quick_retries = 6;

} // namespace

row_controller::row_controller(known_row row, time_point now)
    : row_(std::move(row)), started_at_(now), last_version_(row_.server.slices_version)
{
    if (row_.server.predecessors.empty())
    {
        cleared_at_ = now;
    }
}

void row_controller::update_row(known_row row, row_context& context)
{
    const bool are_slices_changed = row.server.slices != row_.server.slices;
    row_ = std::move(row);
    last_version_ = std::max(last_version_, row_.server.slices_version);
    if (are_slices_changed)
    {
        renew_now();
        tick(context);
    }
}

void row_controller::renew_now()
{
    next_exchange_ = {};
    next_grant_ = {};
}

std::vector<std::string> row_controller::effective_witnesses() const
{
    const auto& recorded = row_.server.witnesses;
    // A row without witnesses cannot be fenced through them, so the new list is the stricter one.
    if (!pending_witnesses_ || recorded.empty())
    {
        return pending_witnesses_.value_or(recorded);
    }
    std::vector<std::string> both;
    std::ranges::copy_if(recorded, std::back_inserter(both), [&](const std::string& witness) {
        return std::ranges::find(*pending_witnesses_, witness) != pending_witnesses_->end();
    });
    return both;
}

void row_controller::begin_witness_change(const std::vector<std::string>& replacement)
{
    pending_witnesses_ = replacement;
}

duration row_controller::remaining_voucher(const voucher_tracker& vouchers, time_point now) const
{
    const auto& server = row_.server;
    if (server.witnesses.empty() && (!pending_witnesses_ || pending_witnesses_->empty()))
    {
        return timing::voucher_duration;
    }
    return vouchers.remaining(effective_witnesses(), server.id, server.epoch, now);
}

std::vector<slice> row_controller::grantable_slices() const
{
    if (is_reassigning_)
    {
        return {};
    }
    return std::accumulate(moving_.begin(), moving_.end(), row_.server.slices,
                           [](const std::vector<slice>& held, const moving_part& item) {
                               return set_difference(held, item.part);
                           });
}

void row_controller::tick(row_context& context)
{
    const auto now = context.now;
    update_unchecked(now);
    if (!are_predecessors_cleared(now) && now >= next_fence_)
    {
        send_fences(context);
    }
    if (!cleared_at_ && are_predecessors_cleared(now))
    {
        cleared_at_ = now;
    }
    if (!exchange_ && now >= next_exchange_)
    {
        send_exchange(context);
    }
}

bool row_controller::may_grant(const row_context& context) const
{
    const bool is_fresh = !nonce_.empty() && context.now - nonce_received_ <= max_nonce_age;
    return is_fresh && seen_incarnation_ == row_.server.incarnation && context.now >= next_grant_ &&
           remaining_voucher(context.vouchers, context.now) > duration{0};
}

void row_controller::send_exchange(row_context& context)
{
    grant_request request;
    request.exchange = context.next_exchange_id++;
    request.server = row_.server.id;
    request.address = row_.server.address;
    request.checks_grants = row_.server.checks_grants;
    request.epoch = row_.server.epoch;
    exchange_ = exchange_state();
    exchange_->id = request.exchange;
    exchange_->sent = context.now;
    if (row_.server.checks_grants && may_grant(context))
    {
        send_grant(std::move(request), context);
        return;
    }
    context.out.emplace_back(std::move(request));
}

void row_controller::send_grant(grant_request request, row_context& context)
{
    auto slices = grantable_slices();
    const bool is_held = held_version_ >= 0 && slices == held_slices_;
    const auto version = is_held ? held_version_ : last_version_ + 1;
    last_version_ = std::max(last_version_, version);
    request.nonce = nonce_;
    request.slices_version = version;
    if (!is_held)
    {
        request.slices = slices;
    }
    exchange_->is_grant = true;
    exchange_->slices = std::move(slices);
    exchange_->slices_version = version;
    last_nonce_used_ = std::max(last_nonce_used_.value_or(nonce_received_), nonce_received_);
    nonce_.clear();
    context.out.emplace_back(std::move(request));
}

void row_controller::on_reply(std::int64_t exchange, const grant_reply& reply, row_context& context)
{
    if (!exchange_ || exchange_->id != exchange)
    {
        return;
    }
    const auto done = *exchange_;
    exchange_.reset();
    consecutive_failures_ = 0;
    last_reply_ = context.now;
    if (!row_.server.checks_grants)
    {
        schedule_after_reply(done, context);
        return;
    }
    nonce_ = reply.next_nonce;
    nonce_received_ = context.now;
    if (seen_incarnation_ != reply.incarnation)
    {
        seen_incarnation_ = reply.incarnation;
        held_version_ = -1;
    }
    last_version_ = std::max(last_version_, reply.slices_version);
    if (done.is_grant && reply.is_accepted)
    {
        accept(done, reply, context.now);
    }
    else if (done.is_grant)
    {
        held_version_ = -1;
    }
    if (held_version_ == reply.slices_version)
    {
        draining_ = reply.draining;
    }
    else
    {
        held_version_ = -1;
    }
    schedule_after_reply(done, context);
    tick(context);
}

void row_controller::accept(const exchange_state& done, const grant_reply& reply, time_point now)
{
    held_version_ = done.slices_version;
    held_slices_ = done.slices;
    draining_ = reply.draining;
    is_granted_ = true;
    next_grant_ = done.sent + timing::renewal_interval;
    // From now on the backend server refuses the former controllers.
    cleared_at_ = cleared_at_.value_or(now);
}

void row_controller::schedule_after_reply(const exchange_state& done, const row_context& context)
{
    const auto now = context.now;
    const bool is_waiting_for_drain =
        !moving_.empty() && held_version_ >= 0 && held_slices_ == grantable_slices();
    if (is_waiting_for_drain)
    {
        next_exchange_ = now + drain_poll_interval;
        return;
    }
    if (!row_.server.checks_grants)
    {
        next_exchange_ = done.sent + timing::renewal_interval;
        return;
    }
    if (done.is_grant)
    {
        const bool is_refused = held_version_ < 0;
        next_exchange_ = is_refused ? now + retry_delay : done.sent + timing::renewal_interval;
        next_grant_ = is_refused ? next_exchange_ : next_grant_;
        return;
    }
    next_exchange_ = may_grant(context) ? now : now + retry_delay;
}

void row_controller::on_failure(std::int64_t exchange, row_context& context)
{
    if (!exchange_ || exchange_->id != exchange)
    {
        return;
    }
    const auto failed = *exchange_;
    exchange_.reset();
    ++consecutive_failures_;
    nonce_.clear();
    if (failed.is_grant && (moving_.empty() || failed.slices != grantable_slices()))
    {
        unresolved_until_ = std::max(unresolved_until_, own_authority_expiry());
    }
    const bool is_quick = consecutive_failures_ <= max_quick_retries;
    next_grant_ = {};
    next_exchange_ =
        std::max(context.now + retry_delay, failed.sent + (is_quick ? retry_interval : lost_poll_interval));
}

time_point row_controller::own_authority_expiry() const
{
    if (!row_.server.checks_grants)
    {
        return withdrawn_at_ ? *withdrawn_at_ + timing::with_clock_drift(timing::max_unchecked_deadline) +
                                   timing::safety_margin
                             : time_point{std::numeric_limits<std::int64_t>::max()};
    }
    return last_nonce_used_
               ? *last_nonce_used_ + timing::with_clock_drift(timing::grant_duration) + timing::safety_margin
               : time_point{};
}

bool row_controller::is_reachable(time_point now) const
{
    const auto limit = last_reply_ ? timing::grant_duration : timing::first_contact_timeout;
    return consecutive_failures_ < 2 || now - last_reply_.value_or(started_at_) <= limit;
}

bool row_controller::is_lost(time_point now) const
{
    const auto& server = row_.server;
    const bool is_in_use = !server.slices.empty() || server.intent == intent::active;
    if (!is_in_use || is_reassigning_ || server.intent == intent::lost || server.intent == intent::joining)
    {
        return false;
    }
    // The operator's statement that the backend server has stopped replaces the proof that former grants
    // ended.
    const bool have_former_grants_ended = are_predecessors_cleared(now) || server.intent == intent::stopped;
    return !is_reachable(now) && have_former_grants_ended && now > own_authority_expiry();
}

bool row_controller::is_move_drained(time_point now) const
{
    if (!row_.server.checks_grants)
    {
        return now > own_authority_expiry() && are_predecessors_cleared(now);
    }
    return held_version_ >= 0 && held_slices_ == grantable_slices() && draining_ == 0 &&
           now >= unresolved_until_ && seen_incarnation_ == row_.server.incarnation;
}

row_update row_controller::due_update(time_point now) const
{
    if (is_lost(now))
    {
        return row_update::reassign;
    }
    if (!moving_.empty() && is_move_drained(now))
    {
        return row_update::commit_move;
    }
    const auto updated = row_to_record();
    const bool is_restarted = updated.incarnation != row_.server.incarnation;
    // The former incarnation may be frozen instead of terminated, so its grants must end first.
    const bool may_restart =
        row_.server.incarnation.empty() || (are_predecessors_cleared(now) && now > own_authority_expiry());
    if ((is_restarted && may_restart) || updated.intent != row_.server.intent)
    {
        return row_update::record;
    }
    if (!row_.server.predecessors.empty() && cleared_at_ && now - *cleared_at_ > predecessor_removal_delay)
    {
        return row_update::clear_predecessors;
    }
    return row_update::none;
}

backend_server row_controller::row_to_record() const
{
    auto server = row_.server;
    const bool is_usable =
        server.checks_grants ? is_granted_ : last_reply_.has_value() && consecutive_failures_ == 0;
    const bool is_new = server.intent == intent::joining || server.intent == intent::lost;
    if (!seen_incarnation_.empty() && seen_incarnation_ != server.incarnation)
    {
        server.incarnation = seen_incarnation_;
        return server;
    }
    if (is_usable && is_new && consecutive_failures_ == 0)
    {
        server.intent = intent::active;
    }
    return server;
}

bool row_controller::begin_move(std::vector<moving_part> parts, row_context& context)
{
    const bool is_inside = std::ranges::all_of(
        parts, [&](const moving_part& item) { return covers(row_.server.slices, item.part); });
    if (!moving_.empty() || parts.empty() || !is_inside)
    {
        return false;
    }
    moving_ = std::move(parts);
    update_unchecked(context.now);
    renew_now();
    tick(context);
    return true;
}

void row_controller::end_move(bool is_committed, row_context& context)
{
    std::ranges::for_each(moving_, [&](const moving_part& item) {
        if (item.move_id != 0)
        {
            context.out.emplace_back(move_end{item.move_id, is_committed});
        }
    });
    moving_.clear();
    update_unchecked(context.now);
    renew_now();
    tick(context);
}

void row_controller::end_reassignment(row_context& context)
{
    is_reassigning_ = false;
    update_unchecked(context.now);
    renew_now();
}

void row_controller::update_unchecked(time_point now)
{
    if (row_.server.checks_grants)
    {
        return;
    }
    const bool is_withdrawn = is_reassigning_ || !moving_.empty() || !is_reachable(now);
    if (!is_withdrawn)
    {
        withdrawn_at_.reset();
    }
    else if (!withdrawn_at_)
    {
        withdrawn_at_ = now;
    }
}

duration row_controller::unchecked_authority(time_point now, const voucher_tracker& vouchers) const
{
    if (row_.server.checks_grants || withdrawn_at_ || !are_predecessors_cleared(now))
    {
        return {0};
    }
    return std::max(duration{0}, remaining_voucher(vouchers, now) - timing::unchecked_order_margin);
}

} // namespace briarfold::ownership::internal
