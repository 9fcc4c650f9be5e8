/// Timing of grants, the leases under which backend servers hold keys.
#pragma once

#include "core/clock.hpp"

namespace briarfold::grants {

/// Normal duration of a grant. A silent backend server keeps its keys for at most this time after its last
/// renewal. Three renewals fit in, so that two lost ones in a row do no harm.
constexpr core::duration grant_duration{4000};
/// Duration of a grant while the store is unreachable and no router could take over as front. The platform
/// allows at most 10 s.
constexpr core::duration outage_grant_duration{9500};
constexpr core::duration renewal_interval{1200};
/// No work is sent in this last part of a grant, which covers the delay of a request to the backend server.
constexpr core::duration send_margin{100};
/// Largest fraction by which the clock of a backend server may run slower than that of the router.
constexpr double max_clock_drift = 0.02;
/// Margin for the delay of the answer and for the wake-up of both processes.
constexpr core::duration grant_end_margin{150};
/// A front renews grants only if the leader confirmed it within this time.
constexpr core::duration max_confirmation_age{4000};
/// Time for which a leader that misses a router goes on without the store, so that a router that is lost
/// during an outage can be replaced. The bound of a new leader for earlier grants includes it.
constexpr core::duration max_storeless_time{10000};

/// Returns the latest end of a grant whose call arrived at `arrival` at the latest.
constexpr core::time_point latest_grant_end(core::time_point arrival, core::duration valid_for)
{
    const auto drifted_ms =
        static_cast<std::int64_t>(static_cast<double>(valid_for.ms) * (1 + max_clock_drift));
    return arrival + core::duration{drifted_ms} + grant_end_margin;
}

} // namespace briarfold::grants
