/// Constants of the ownership protocol. docs/design.md section 4 derives the 2 s recovery budget from them.
#pragma once

#include "core/clock.hpp"

namespace briarfold::ownership::timing {

constexpr core::duration grant_duration{900};
constexpr core::duration renewal_interval{300};
constexpr core::duration heartbeat_interval{250};
constexpr core::duration voucher_duration{700};
/// Silence after which the first witness takes over.
constexpr core::duration suspicion{700};
/// The second witness waits longer, so that the two do not race for the same rows.
constexpr core::duration second_witness_delay{200};
constexpr core::duration margin{20};
/// Clocks of two machines drift apart by at most this share.
constexpr std::int64_t clock_rate_bound_percent = 1;
/// Least remaining voucher for an order to a backend server that does not check who sends it.
constexpr core::duration unchecked_order_margin{200};

/// The longest time that `span`, measured on another machine's clock, can take on this one.
constexpr core::duration with_rate_bound(core::duration span)
{
    constexpr std::int64_t percent = 100;
    return {span.ms + (span.ms * clock_rate_bound_percent + percent - 1) / percent};
}

} // namespace briarfold::ownership::timing
