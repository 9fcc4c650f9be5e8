/// What one router knows about whether its leader lives. Does no I/O and reads no clock.
#pragma once

#include "core/clock.hpp"

namespace briarfold::leader {

/// Tells a lost leader from a busy one. Load pattern: hundreds of routers start at once, or one leader
/// follows another, and all of them report to one process; some reports are answered late or not at all
/// although it works.
class leader_contact
{
public:
    static constexpr core::duration min_report_interval{350};
    /// Failed reports in a row after which the leader may be lost.
    static constexpr int max_failures = 3;

    /// A leader that is known from the store only counts as heard of at `now`.
    explicit leader_contact(core::time_point now) : last_answer_(now) {}

    /// Sets the interval between two reports, as the leader asked for it; the timeouts grow with it.
    void set_report_interval(core::duration interval);
    core::duration report_interval() const { return report_interval_; }

    /// Records an answer or a push of the leader.
    void on_contact(core::time_point now);
    /// Records that the store or others name a leader, which has yet to answer this router.
    void on_leader_named(core::time_point now);
    /// Records a report that was not answered in time; the leader may be busy.
    void on_timeout() { is_last_report_answered_ = false; }
    /// Records a report that could not be delivered, or that its recipient did not accept.
    void on_failure();
    /// Records that no leader is known.
    void on_no_leader() { failures_ = max_failures; }

    int failures() const { return failures_; }
    /// Whether it is time to look for another leader; `patience` differs between routers.
    bool is_lost(core::time_point now, core::duration patience) const;
    /// Whether this router can assure another one that the leader lives.
    bool can_vouch(core::time_point now) const;
    bool is_heard_of_since(core::time_point now, core::duration span) const
    {
        return now - last_answer_ < span;
    }
    /// Whether there was no contact for so long that possibly no router can take over.
    bool may_be_outage(core::time_point now) const;
    /// Whether the directory is recent enough to take requests.
    bool is_connected(core::time_point now) const;

private:
    core::time_point last_answer_;
    core::duration report_interval_ = min_report_interval;
    int failures_ = 0;
    bool is_last_report_answered_ = false;
};

} // namespace briarfold::leader
