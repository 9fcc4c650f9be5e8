/// The controller of one backend server's row: grants, renewals, clearing of predecessors, loss and moves.
#pragma once

#include "ownership/internal/protocol_types.hpp"
#include "ownership/internal/voucher_book.hpp"

namespace briarfold::ownership::internal {

/// What a row_controller may use of its surroundings.
struct row_context
{
    core::time_point now;
    const voucher_book& vouchers;
    std::int64_t& next_exchange;
    actions& out;
};

/// A slice on its way from the controlled row to `target`.
struct moving_part
{
    slice part;
    std::string target;
    /// Number of the wish that iownership::move waits for; 0 for moves that the controller decided itself.
    std::int64_t wish = 0;
};

enum class row_need
{
    none,
    /// Record the incarnation, or the intent that follows from an accepted grant.
    record,
    /// Remove cleared predecessors from the row.
    clear_predecessors,
    /// The backend server is lost and its grant has ended: give its slices away.
    reassign,
    /// The moving parts are drained: commit the move.
    commit_move
};

class row_controller
{
public:
    row_controller(known_row row, core::time_point now);

    const known_row& row() const { return row_; }
    /// A newer version of the row under the same epoch.
    void update_row(known_row row, row_context& context);
    /// Exchanges and fence requests that are due.
    void tick(row_context& context);
    void on_reply(std::int64_t exchange, const grant_reply& reply, row_context& context);
    void on_failure(std::int64_t exchange, row_context& context);
    void on_fence_answer(const std::string& from, const fence_request& request, const fence_answer& answer,
                         core::time_point now);

    /// The write that the row needs now; the machine makes it when no other one is pending.
    row_need need(core::time_point now) const;
    /// Whether former grants have ended or were fenced, so that the row needs no predecessors any more.
    bool is_cleared() const { return cleared_at_.has_value(); }
    /// Intent and incarnation to record.
    backend_server recorded() const;
    /// The witnesses whose vouchers count while `replacement` may already be in the row.
    void begin_witness_change(const std::vector<std::string>& replacement);
    void end_witness_change() { pending_witnesses_.reset(); }

    /// Starts to move parts of the row's slices. Returns false when a move is under way or a part is not
    /// inside one of the slices.
    bool begin_move(std::vector<moving_part> parts, row_context& context);
    const std::vector<moving_part>& moving() const { return moving_; }
    /// While slices are being given away because of a loss, no grant may name them, even when the backend
    /// server answers again.
    void begin_release() { is_releasing_ = true; }
    void end_release(row_context& context);
    void end_move(bool is_done, row_context& context);

    /// Remaining time in which a backend server that does not check grants may be sent work.
    core::duration unchecked_authority(core::time_point now, const voucher_book& vouchers) const;
    /// When the last nonce used was received; absent when none was.
    std::optional<core::time_point> last_nonce_used() const { return last_nonce_used_; }
    /// Slices of the row that are not moving away.
    std::vector<slice> wanted_slices() const;
    std::int64_t held_version() const { return held_version_; }
    bool is_reachable(core::time_point now) const;
    /// A grant at the row's epoch was accepted.
    bool is_granted() const { return is_granted_; }
    /// Brings the next renewal forward, after the slices changed.
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

    core::duration cover(const voucher_book& vouchers, core::time_point now) const;
    std::vector<std::string> counted_witnesses() const;
    bool may_grant(const row_context& context) const;
    void send_exchange(row_context& context);
    void send_grant(grant_request request, row_context& context);
    void schedule_after_reply(const exchange_state& done, const row_context& context);
    void send_fences(row_context& context);
    void accept(const exchange_state& done, const grant_reply& reply, core::time_point now);
    void update_unchecked(core::time_point now);
    fence_state& fence_of(std::int64_t epoch) { return fences_[epoch]; }
    bool are_predecessors_cleared(core::time_point now) const;
    bool is_lost(core::time_point now) const;
    bool is_move_drained(core::time_point now) const;
    core::time_point own_expiry() const;

    known_row row_;
    core::time_point started_at_;
    std::optional<std::vector<std::string>> pending_witnesses_;
    std::vector<moving_part> moving_;
    bool is_releasing_ = false;

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
    /// The former grants have ended or were fenced by a grant of this controller.
    std::optional<core::time_point> cleared_at_;
    /// Since when a backend server that does not check grants may be sent nothing.
    std::optional<core::time_point> withdrawn_at_;
    std::optional<core::time_point> last_reply_;
    int failures_ = 0;
    /// A grant without an answer may still be applied until then.
    core::time_point unresolved_until_{};

    std::map<std::int64_t, fence_state> fences_;
    core::time_point next_fence_{};
};

} // namespace briarfold::ownership::internal
