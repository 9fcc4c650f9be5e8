/// Until when a leader may confirm the assignments of the routers. Does no I/O and reads no clock.
#pragma once

#include "grants/grant_timing.hpp"

#include <optional>

namespace briarfold::leader {

/// Limits the time for which a leader that cannot reach the store goes on. Situation: a leader is cut off
/// from the store, and perhaps from other routers, which elect another one meanwhile.
class leadership_confirmation
{
public:
    static constexpr core::duration max_storeless_time = grants::max_storeless_time;
    /// A leader that is silent for longer may be replaced.
    static constexpr core::duration max_pause{1000};

    explicit leadership_confirmation(core::time_point now) : confirmed_at_(now), last_tick_(now) {}

    /// Records that the store showed the leadership to be undisputed, in an answer to a call that was sent at
    /// `sent`. The answer may have been on its way while this process stood still.
    void on_confirmed(core::time_point sent);
    core::time_point confirmed_at() const { return confirmed_at_; }
    /// Records that this process runs, and whether fewer than half of the routers follow this leader. Call
    /// several times a second.
    void on_tick(bool is_isolated, core::time_point now);
    /// Whether the leadership should be looked up in the store, because that was long ago or because this
    /// process stood still.
    bool is_check_due(core::time_point now) const;

    /// Has the leadership looked up in the store once more.
    void request_proof(core::time_point now) { proof_requested_at_ = now; }
    /// Returns when the store last showed that no other router had taken the leadership. A replaced leader
    /// believes to be undisputed until it notices. While the store fails, nothing better than
    /// `undisputed_at` is known, or a lost router could not be replaced.
    core::time_point proved_at(core::time_point now, bool all_routers_follow, bool is_store_failing) const;

    /// Returns when the leadership was last undisputed. `all_routers_follow` is whether every router that
    /// this leader has ever known follows it: the others may follow another leader. An isolated leader
    /// confirms nothing without the store, since a connection to a backend server that is opened now may
    /// reach a process that knows no tokens of the other leader's fronts. Neither does a leader that stood
    /// still, until the store or all routers show that nobody has replaced it.
    core::time_point undisputed_at(core::time_point now, bool all_routers_follow,
                                   bool is_store_failing) const;

private:
    core::time_point confirmed_at_;
    core::time_point last_tick_;
    core::time_point proof_requested_at_;
    std::optional<core::time_point> isolated_since_;
    /// When this process last ran before it stood still.
    std::optional<core::time_point> stood_still_since_;
    /// When it ran again.
    core::time_point resumed_at_;
};

} // namespace briarfold::leader
