/// Times of the ownership protocol of key grants.
#pragma once

#include "core/clock.hpp"

namespace briarfold::grants {

/// Duration of a grant. A silent backend server keeps its keys at most this long after its last renewal;
/// three renewals fit in, so that two lost ones in a row do no harm.
constexpr core::duration grant_duration{4000};
/// Duration while the store cannot be reached, when no router could take over as front. The platform allows
/// 10 s.
constexpr core::duration outage_grant_duration{9500};
constexpr core::duration renewal_interval{1200};
/// Time before the end of a grant from which no work is sent: covers the delay of a request to the target.
constexpr core::duration send_margin{100};
/// The clock of a backend server may run this much slower than ours.
constexpr double clock_rate_bound = 0.02;
/// Covers the delay of the answer and the wake-up of both sides.
constexpr core::duration bound_margin{150};
/// A front renews only while the leader confirmed it within this time.
constexpr core::duration max_confirmation_age{4000};

/// Latest end of a grant whose call can have arrived until `arrival`.
constexpr core::time_point latest_grant_end(core::time_point arrival, core::duration length)
{
    const auto slow = static_cast<std::int64_t>(static_cast<double>(length.ms) * (1 + clock_rate_bound));
    return arrival + core::duration{slow} + bound_margin;
}

} // namespace briarfold::grants
