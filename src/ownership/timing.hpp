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

/// Longest deadline of a request to a backend server that does not check who sends it. A new owner waits for
/// it on top of the end of the former authority.
constexpr core::duration max_unchecked_deadline{2000};
/// One exchange with a backend server; two attempts fit into a renewal interval.
constexpr core::duration exchange_timeout{140};
/// Silence of a new controller's backend server after which it counts as lost, once former grants have ended.
constexpr core::duration first_contact_limit{600};
/// A heartbeat without an answer for this long makes the controller replace the witness. Longer than
/// voucher_duration, so that no voucher of the witness is in use any more.
constexpr core::duration witness_silence{1000};
/// The epoch rises by this with each controller; the low bits are reserved for ballots.
constexpr std::int64_t epoch_step = 256;

/// The longest time that `span`, measured on another machine's clock, can take on this one.
constexpr core::duration with_rate_bound(core::duration span)
{
    constexpr std::int64_t percent = 100;
    return {span.ms + (span.ms * clock_rate_bound_percent + percent - 1) / percent};
}

} // namespace briarfold::ownership::timing
