/// The controller's side of heartbeats: tracks which witnesses vouch for this router, and until when.
#pragma once

#include "ownership/internal/protocol_types.hpp"

namespace briarfold::ownership::internal {

class voucher_tracker
{
public:
    /// Sets the witnesses to which heartbeats are sent. Drops the vouchers of all other routers.
    void set_witnesses(const std::vector<std::string>& witnesses, core::time_point now);
    const std::vector<std::string>& witnesses() const { return witnesses_; }

    /// Emits the heartbeats that are due.
    void tick(core::time_point now, actions& out);
    void on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced);

    /// Returns how long the vouchers of `allowed` witnesses still cover the row at `epoch`; zero when none
    /// does.
    core::duration remaining(const std::vector<std::string>& allowed, const std::string& server,
                             std::int64_t epoch, core::time_point now) const;
    /// Returns the witnesses that have answered no heartbeat for `silence`.
    std::vector<std::string> silent_witnesses(core::time_point now, core::duration silence) const;

private:
    struct entry
    {
        core::time_point listed_at;
        std::int64_t answered_seq = 0;
        std::optional<core::time_point> answered_sent;
        fenced_rows fenced;
        /// Sending times of unanswered heartbeats by sequence number.
        std::map<std::int64_t, core::time_point> sent;
    };

    std::vector<std::string> witnesses_;
    std::map<std::string, entry> entries_;
    core::time_point next_heartbeat_{};
    core::time_point last_tick_{};
    std::int64_t next_seq_ = 1;
};

} // namespace briarfold::ownership::internal
