/// The state machine of one router's ownership protocol. Its inputs are time, messages and rows, its outputs
/// are actions.
#pragma once

#include "membership/membership_types.hpp"
#include "ownership/internal/assignment.hpp"
#include "ownership/internal/row_controller.hpp"
#include "ownership/internal/witness.hpp"
#include "ownership/iownership.hpp"

#include <functional>
#include <set>

namespace briarfold::ownership::internal {

/// Not thread-safe. After each input, the caller executes the actions that take_actions() returns. Times are
/// passed in; the machine reads no clock.
class machine
{
public:
    /// `make_id` returns operation ids that are unique across all routers.
    machine(membership::router_info self, std::function<std::string()> make_id);

    void on_row(const store::row& row, core::time_point now);
    void on_live(const std::vector<membership::router_info>& live, core::time_point now);
    void tick(core::time_point now);

    void on_reply(const std::string& server, std::int64_t exchange, const grant_reply& reply,
                  core::time_point now);
    void on_failure(const std::string& server, std::int64_t exchange, core::time_point now);
    /// Handles the outcome of a commit_request.
    void on_commit(const std::string& operation_id, const store::commit_result& result, core::time_point now);
    fenced_rows on_heartbeat(const std::string& from, core::time_point now);
    void on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced);
    fence_answer on_fence(const fence_request& request, core::time_point now);
    void on_fence_answer(const std::string& from, const fence_request& request, const fence_answer& answer,
                         core::time_point now);
    void on_alive(const std::string& server, core::time_point now);
    /// Starts to take over the row and returns true. Returns false when this router is stopping, controls the
    /// row already, does not know it or has a pending write of it.
    bool on_hand_over(const std::string& server);

    /// Starts a move and returns true; a move_end with `move_id` reports its end. Returns false when the move
    /// is refused.
    bool move(const slice_move& request, std::int64_t move_id, core::time_point now);
    /// Starts to offer all rows to other routers. From then on, this router takes over no rows.
    void begin_stop()
    {
        is_stopping_ = true;
        next_hand_over_ = {};
    }
    std::size_t controlled() const { return controllers_.size(); }
    bool is_controller(const std::string& server) const { return controllers_.contains(server); }
    core::duration unchecked_authority(const std::string& server, core::time_point now) const;
    const std::map<std::string, known_row>& rows() const { return rows_; }
    const voucher_tracker& vouchers() const { return vouchers_; }

    actions take_actions() { return std::exchange(out_, {}); }

private:
    struct pending_commit
    {
        commit_request request;
        /// The backend server whose row_controller needs the write; empty for other writes.
        std::string server;
        row_update update = row_update::none;
        bool is_witness_change = false;
    };
    struct former_control
    {
        std::int64_t epoch = 0;
        std::optional<core::time_point> last_nonce_used;
    };

    row_context make_context(core::time_point now) { return {now, vouchers_, next_exchange_id_, out_}; }
    void update_controller(const known_row& row, core::time_point now);
    void drop_controller(const std::string& server);
    void submit(pending_commit commit);
    bool has_pending_write(const std::string& server) const
    {
        return pending_write_keys_.contains(row_key(server));
    }

    void choose_witnesses(core::time_point now);
    void tick_controllers(core::time_point now);
    void submit_due_update(row_controller& controller, core::time_point now);
    bool change_witnesses(row_controller& controller);
    void write_row(const row_controller& controller, backend_server changed, row_update update);
    void offer_hand_over_of_unreachable(const backend_server& server, core::time_point now);
    void reassign(row_controller& controller, core::time_point now);
    void commit_move(row_controller& controller, core::time_point now);
    void retire(row_controller& controller, core::time_point now);
    void probe_receivers(const row_controller& controller, core::time_point now);
    bool is_usable_receiver(const backend_server& server, core::time_point now) const;

    void tick_takeovers(core::time_point now);
    /// Returns whether rows of the controller may have to be taken over. Checked once for all of its rows.
    bool may_need_takeover(const std::string& controller, core::time_point now);
    bool is_takeover_due(const known_row& row, core::time_point now);
    std::size_t rank_for(const backend_server& server) const;
    void take_over(const known_row& row);
    void tick_hand_overs(core::time_point now);
    void offer_hand_over(const std::string& server, bool is_rebalancing);
    void tick_first_assignment(core::time_point now);

    membership::router_info self_;
    std::function<std::string()> make_id_;
    std::vector<membership::router_info> live_;
    std::set<std::string> live_ids_;
    core::time_point live_changed_at_{};
    std::map<std::string, core::time_point> absent_since_;

    std::map<std::string, known_row> rows_;
    std::map<std::string, std::set<std::string>> rows_by_controller_;
    std::map<std::string, std::int64_t> deleted_revisions_;
    std::map<std::string, core::time_point> first_seen_;
    std::set<std::string> services_;
    std::map<std::string, row_controller> controllers_;
    /// The last epoch and nonce of rows that this router no longer controls; later fence requests ask for
    /// them.
    std::map<std::string, former_control> former_controls_;
    /// Epochs by backend server up to which this router promised to stop acting.
    std::map<std::string, std::int64_t> fenced_epochs_;

    voucher_tracker vouchers_;
    witness witness_;
    std::map<std::string, core::time_point> silent_witnesses_;

    std::map<std::string, pending_commit> pending_;
    /// Keys of rows with a write whose outcome is unknown.
    std::set<std::string> pending_write_keys_;
    std::map<std::string, core::time_point> alive_at_;
    std::map<std::string, core::time_point> next_probe_;
    std::map<std::string, core::time_point> next_order_;
    core::time_point next_takeover_scan_{};
    core::time_point next_hand_over_{};
    core::time_point next_first_assignment_{};
    std::int64_t next_exchange_id_ = 1;
    bool is_stopping_ = false;
    actions out_;
};

} // namespace briarfold::ownership::internal
