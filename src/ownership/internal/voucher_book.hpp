/// The controller's side of heartbeats: which witnesses vouch for this router, and until when.
#pragma once

#include "ownership/internal/protocol_types.hpp"

namespace briarfold::ownership::internal {

class voucher_book
{
public:
    /// Witnesses to which heartbeats go. Vouchers of routers that are no longer listed are dropped.
    void set_witnesses(const std::vector<std::string>& witnesses, core::time_point now);
    const std::vector<std::string>& witnesses() const { return witnesses_; }

    /// Heartbeats that are due.
    void tick(core::time_point now, actions& out);
    void on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced);

    /// How long the vouchers of `allowed` witnesses still cover the row at `epoch`; zero when none does.
    core::duration remaining(const std::vector<std::string>& allowed, const std::string& server,
                             std::int64_t epoch, core::time_point now) const;
    /// Witnesses of which no heartbeat was answered for `silence`.
    std::vector<std::string> silent(core::time_point now, core::duration silence) const;

private:
    struct entry
    {
        core::time_point listed_at;
        std::int64_t answered_seq = 0;
        std::optional<core::time_point> answered_sent;
        fenced_rows fenced;
        /// Heartbeats without an answer: sequence number and time of sending.
        std::map<std::int64_t, core::time_point> sent;
    };

    std::vector<std::string> witnesses_;
    std::map<std::string, entry> entries_;
    core::time_point next_heartbeat_{};
    core::time_point last_tick_{};
    std::int64_t next_seq_ = 1;
};

} // namespace briarfold::ownership::internal
