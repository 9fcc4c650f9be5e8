/// The controller of one backend server's row: grants, renewals, clearing of predecessors, loss and moves.
#pragma once

#include "ownership/internal/protocol_types.hpp"
#include "ownership/internal/voucher_tracker.hpp"

namespace briarfold::ownership::internal {

/// The state of the machine that a row_controller uses during a call.
struct row_context
{
    core::time_point now;
    const voucher_tracker& vouchers;
    std::int64_t& next_exchange_id;
    actions& out;
};

/// A slice that is being moved from the controlled row to `target`.
struct moving_part
{
    slice part;
    std::string target;
    /// Identifies the iownership::move call that waits for the move; 0 for moves that the controller starts
    /// itself.
    std::int64_t move_id = 0;
};

enum class row_update
{
    none,
    /// Record a new incarnation, or the intent that follows from an accepted grant.
    record,
    /// Remove cleared predecessors from the row.
    clear_predecessors,
    /// The backend server is lost and its grant has ended: reassign its slices.
    reassign,
    /// The moving parts are drained: commit the move.
    commit_move
};

class row_controller
{
public:
    row_controller(known_row row, core::time_point now);

    const known_row& row() const { return row_; }
    /// Takes in a newer version of the row under the same epoch.
    void update_row(known_row row, row_context& context);
    /// Emits the exchanges and fence requests that are due.
    void tick(row_context& context);
    void on_reply(std::int64_t exchange, const grant_reply& reply, row_context& context);
    void on_failure(std::int64_t exchange, row_context& context);
    void on_fence_answer(const std::string& from, const fence_request& request, const fence_answer& answer,
                         core::time_point now);

    /// Returns the update that the row needs now. The machine writes it when no other write of the row is
    /// pending.
    row_update due_update(core::time_point now) const;
    /// Returns whether former grants have ended or were fenced, so that the row no longer needs predecessors.
    bool is_cleared() const { return cleared_at_.has_value(); }
    /// Returns the row with the intent and incarnation to record.
    backend_server row_to_record() const;
    /// Until end_witness_change, counts only vouchers of witnesses that are both in the row and in
    /// `replacement`, as the row may already list either. If the row has no witnesses, `replacement` counts.
    void begin_witness_change(const std::vector<std::string>& replacement);
    void end_witness_change() { pending_witnesses_.reset(); }

    /// Starts to move parts of the row's slices and returns true. Returns false, without any change, when a
    /// move is in progress, `parts` is empty or a part is not inside one of the slices.
    bool begin_move(std::vector<moving_part> parts, row_context& context);
    const std::vector<moving_part>& moving() const { return moving_; }
    /// Keeps all slices out of grants until end_reassignment, even when the lost backend server answers
    /// again.
    void begin_reassignment() { is_reassigning_ = true; }
    void end_reassignment(row_context& context);
    void end_move(bool is_committed, row_context& context);

    /// Returns the remaining time in which work may be sent to a backend server that does not check grants.
    /// Zero when none may be sent.
    core::duration unchecked_authority(core::time_point now, const voucher_tracker& vouchers) const;
    /// Returns the time at which the last nonce used was received; absent when none was used.
    std::optional<core::time_point> last_nonce_used() const { return last_nonce_used_; }
    /// Returns the slices of the row that are neither being moved nor being reassigned.
    std::vector<slice> grantable_slices() const;
    std::int64_t held_version() const { return held_version_; }
    bool is_reachable(core::time_point now) const;
    /// Returns whether the backend server has accepted a grant at the row's epoch.
    bool is_granted() const { return is_granted_; }
    /// Makes the next renewal due at once, after the slices changed.
    void renew_now();

private:
    struct exchange_state
    {
        std::int64_t id = 0;
        core::time_point sent;
        std::vector<slice> slices;
        std::int64_t slices_version = 0;
        bool is_grant = false;
    };
    struct fence_state
    {
        std::map<std::string, core::time_point> bounds;
        std::optional<core::time_point> expiry;
    };

    core::duration remaining_voucher(const voucher_tracker& vouchers, core::time_point now) const;
    std::vector<std::string> effective_witnesses() const;
    bool may_grant(const row_context& context) const;
    void send_exchange(row_context& context);
    void send_grant(grant_request request, row_context& context);
    void schedule_after_reply(const exchange_state& done, const row_context& context);
    void send_fences(row_context& context);
    void accept(const exchange_state& done, const grant_reply& reply, core::time_point now);
    void update_unchecked(core::time_point now);
    fence_state& fence_state_of(std::int64_t epoch) { return fences_[epoch]; }
    bool are_predecessors_cleared(core::time_point now) const;
    bool is_lost(core::time_point now) const;
    bool is_move_drained(core::time_point now) const;
    core::time_point own_authority_expiry() const;

    known_row row_;
    core::time_point started_at_;
    std::optional<std::vector<std::string>> pending_witnesses_;
    std::vector<moving_part> moving_;
    bool is_reassigning_ = false;

    std::optional<exchange_state> exchange_;
    core::time_point next_exchange_{};
    core::time_point next_grant_{};
    std::string nonce_;
    core::time_point nonce_received_{};
    std::optional<core::time_point> last_nonce_used_;
    std::string seen_incarnation_;
    std::int64_t last_version_ = 0;
    std::int64_t held_version_ = -1;
    std::vector<slice> held_slices_;
    std::int64_t draining_ = 0;
    bool is_granted_ = false;
    /// Time at which the former grants had ended or were fenced by a grant of this controller; absent before.
    std::optional<core::time_point> cleared_at_;
    /// Time since which no work may be sent to a backend server that does not check grants; absent when work
    /// may be sent.
    std::optional<core::time_point> withdrawn_at_;
    std::optional<core::time_point> last_reply_;
    int consecutive_failures_ = 0;
    /// Time until which the backend server may still apply a grant that it has not answered.
    core::time_point unresolved_until_{};

    std::map<std::int64_t, fence_state> fences_;
    core::time_point next_fence_{};
};

} // namespace briarfold::ownership::internal
