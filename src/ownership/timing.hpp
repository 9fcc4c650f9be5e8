/// Constants of the ownership protocol. docs/design.md section 4 derives the 2 s recovery budget from them.
#pragma once

#include "core/clock.hpp"

namespace briarfold::ownership::timing {

constexpr core::duration grant_duration{900};
constexpr core::duration renewal_interval{300};
constexpr core::duration heartbeat_interval{250};
constexpr core::duration voucher_duration{700};
/// Silence of a controller after which its first witness takes over.
constexpr core::duration suspicion_timeout{700};
/// Added to suspicion_timeout for the second witness, so that the two do not race for the same rows.
constexpr core::duration second_witness_delay{200};
constexpr core::duration safety_margin{20};
/// Upper bound on the drift between the clocks of two machines.
constexpr std::int64_t max_clock_drift_percent = 1;
/// Remaining voucher time below which no work is sent to a backend server that does not check grants.
constexpr core::duration unchecked_order_margin{200};

/// Longest deadline of a request to a backend server that does not check grants. A new owner waits for it in
/// addition to the expiry of the former controller's authority.
constexpr core::duration max_unchecked_deadline{2000};
/// Timeout of one exchange with a backend server. Two attempts fit into a renewal interval.
constexpr core::duration exchange_timeout{140};
/// Time after which a backend server that never answered its new controller counts as lost, once former
/// grants have ended.
constexpr core::duration first_contact_timeout{600};
/// Time without an answer to heartbeats after which the controller replaces a witness. Longer than
/// voucher_duration, so that no voucher of the witness is still in use.
constexpr core::duration witness_timeout{1000};
/// Increment of the epoch with each new controller. The low bits are reserved for ballots.
constexpr std::int64_t epoch_step = 256;

/// Returns the longest time on this machine's clock of a `span` measured on another machine's clock.
constexpr core::duration with_clock_drift(core::duration span)
{
    constexpr std::int64_t percent = 100;
    return {span.ms + (span.ms * max_clock_drift_percent + percent - 1) / percent};
}

} // namespace briarfold::ownership::timing
