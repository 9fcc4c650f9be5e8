#include "standins/backend/grant_state.hpp"

#include "core/ids.hpp"

#include <algorithm>

namespace briarfold::standins {

namespace {

/// Older nonces cannot start a grant that is still in effect.
constexpr core::duration nonce_lifetime{10000};

} // namespace

std::string grant_state::issue_nonce(core::time_point now)
{
    while (!nonces_.empty() && nonces_.front().issued + nonce_lifetime < now)
    {
        nonces_.pop_front();
    }
    nonces_.push_back({core::make_id("nonce"), now});
    return nonces_.back().id;
}

std::optional<core::time_point> grant_state::take_nonce(const std::string& id, core::time_point now)
{
    const auto found = std::ranges::find(nonces_, id, &nonce::id);
    if (found == nonces_.end() || found->issued + nonce_lifetime < now)
    {
        return std::nullopt;
    }
    const auto issued = found->issued;
    nonces_.erase(found);
    return issued;
}

std::string grant_state::apply(const grant_order& order, core::time_point now)
{
    const bool is_same_epoch = order.epoch == epoch_;
    // A grant that was overtaken by a newer one of the same controller must not bring removed slices back.
    if (order.epoch < epoch_ || (is_same_epoch && order.slices_version < slices_version_))
    {
        return "stale_epoch";
    }
    // A version counts within one epoch: a controller that lost the row may have numbered slices that were
    // never committed.
    const bool holds_slices = is_same_epoch && order.slices_version == slices_version_;
    if (!holds_slices && !order.slices)
    {
        return "slices_required";
    }
    const auto issued = take_nonce(order.nonce, now);
    if (!issued || *issued + order.duration <= now)
    {
        return "unknown_nonce";
    }
    if (!is_in_effect(now))
    {
        ++series_;
    }
    const auto end = *issued + order.duration;
    // A controller counts the end from the last nonce it used; only its own earlier grants may end later.
    valid_until_ = is_same_epoch ? std::max(valid_until_, end) : end;
    epoch_ = order.epoch;
    slices_version_ = order.slices_version;
    if (!holds_slices)
    {
        slices_ = *order.slices;
    }
    return "";
}

void grant_state::release()
{
    valid_until_ = {};
    slices_.clear();
    ++series_;
}

bool grant_state::covers(std::uint64_t hash, core::time_point now) const
{
    return is_in_effect(now) &&
           std::ranges::any_of(slices_, [&](const ownership::slice& part) { return part.contains(hash); });
}

bool grant_state::permits_effect(std::uint64_t hash, grant_series series, core::time_point now) const
{
    return covers(hash, now) || (is_in_effect(now) && series == series_);
}

} // namespace briarfold::standins
