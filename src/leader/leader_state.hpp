/// Assigns fronts and keys. Pure: registrations, reports and time come in; a directory, rows to write and
/// decisions come out.
#pragma once

#include "grants/grant_timing.hpp"
#include "keyspace/move_planner.hpp"
#include "leader/leader_types.hpp"

#include <functional>
#include <optional>
#include <set>

namespace briarfold::leader {

struct leader_settings
{
    /// Quiet time after the last new registration before the keys of a service are first assigned.
    core::duration settle{500};
    core::duration most_settle{2500};
    /// A router is lost after this time without a report: three reports and a retransmission.
    core::duration router_silence{1300};
    /// A leader that knows no other router waits this long for them before it assigns their backend servers:
    /// after a loss of all routers they start within some tenths of a second of each other.
    core::duration router_grace{900};
    /// Interval between two searches for keys without an owner.
    core::duration free_check_interval{200};
    /// Interval between two moves of fronts that even out the routers' loads.
    core::duration balance_interval{250};
    /// A backend server that its front cannot reach for this time loses its keys.
    core::duration unreachable_limit{900};
    /// Interval between two plans of moves; a move takes about one request's time.
    core::duration plan_interval{300};
    /// Registrations that vanished around an outage of the store are back within about 2 s of its return.
    core::duration vanished_grace{2200};
    /// Time in which a front that was cut off may still renew grants.
    core::duration max_confirmation_age = grants::max_confirmation_age;
    /// Longest duration of a grant.
    core::duration max_grant_duration = grants::outage_grant_duration;
};

/// One line of the decision log: what was decided, about whom, on what grounds.
using decision_hook =
    std::function<void(const char* decision, const std::string& subject, nlohmann::json grounds)>;

class leader_state
{
public:
    leader_state(leader_settings settings, directory::router self, std::int64_t term, core::time_point now,
                 decision_hook on_decision);

    /// Before the first tick: the rows of the store and what was known of routers.
    void load_row(const assignment_row& row, std::int64_t version, core::time_point now);
    void load_router(const directory::router& known, core::time_point now);

    /// Services with key ownership, from the configuration.
    void set_keyed_services(std::set<std::string> names) { keyed_services_ = std::move(names); }
    void on_registered(const directory::backend_server& server, core::time_point now);
    /// `is_certain` is false when the registration may have lapsed because of an outage of the store.
    void on_unregistered(const std::string& id, bool is_certain, core::time_point now);
    void on_report(const router_report& report, core::time_point now);
    /// Chooses the routers that read the store beside the leader: the strongest, in different zones.
    void choose_deputies(core::time_point now);

    /// Plans; call every tenth of a second or so.
    void tick(core::time_point now);
    /// Rows to write now, at most one set at a time. Conditional on the leadership.
    std::vector<assignment_row> take_pending_rows();
    void on_written(std::int64_t version);
    void on_write_failed();

    const directory::snapshot& current() const { return published_; }
    /// For a router that has `term` and `revision`.
    directory::update update_for(std::int64_t term, std::int64_t revision, core::time_point now) const;
    /// Time for which a grant of an earlier front may still hold.
    core::duration prior_grant_remaining(const std::string& id, core::time_point now) const;
    bool is_alive(const std::string& router, core::time_point now) const;
    /// Keys of keyed services that no listed backend server holds.
    std::size_t unassigned_keys() const;

private:
    struct record
    {
        /// Keys that the next write stores.
        keyspace::key_set next_keys;
        std::vector<directory::handover> next_handovers;
        keyspace::key_set freed;
        core::time_point listed_at;
        std::optional<core::time_point> vanished_at;
        std::optional<core::time_point> unreachable_since;
        double slowness = 1;
        core::time_point prior_grants_until;
        /// Version of the row that holds its keys, or the term when that is later.
        std::int64_t version = 0;
        /// Fronts assigned since that version.
        std::int64_t front_changes = 0;
    };

    struct peer
    {
        core::time_point last_report;
    };

    struct staged
    {
        keyspace::key_set keys;
        std::vector<directory::handover> handovers;
    };

    directory::entry& entry_of(const std::string& id) { return published_.entries.at(id); }
    void touch_routers() { published_.routers_revision = ++published_.revision; }
    void note_entries(const router_report& report, core::time_point now);
    void touch(const std::string& id);
    /// Tokens of the entry's front are above those of all fronts before it.
    void raise_token(const std::string& id);
    void withdraw(const std::string& id, const keyspace::key_set& keys, const char* reason);
    void drop_routers(core::time_point now);
    void assign_fronts(core::time_point now);
    /// Moves one backend server to a router with less to do, or back into its zone.
    void balance_fronts(core::time_point now);
    void set_front(const std::string& id, const std::string& front, const char* reason, core::time_point now);
    /// Slots of the backend servers of each router for its share of a processor.
    std::map<std::string, double> front_loads() const;
    /// Slots and, by service, backend servers of each front.
    struct front_tally
    {
        std::map<std::string, double> slots;
        std::map<std::pair<std::string, std::string>, std::size_t> groups;
    };
    front_tally tally_fronts() const;
    std::string choose_front(const directory::backend_server& server, front_tally& tally,
                             core::time_point now) const;
    void withdraw_lost(core::time_point now);
    void assign_first(core::time_point now);
    void assign_free(core::time_point now);
    void plan(core::time_point now);
    void remove_gone();
    void on_freed(const freed_report& report, const std::string& router, core::time_point now);
    void hand_over(const keyspace::key_range& range, const std::string& handover, const std::string& from,
                   core::time_point now);
    void give(const std::string& id, const keyspace::key_range& range, const std::string& handover);
    bool accepts_keys(const std::string& id, core::time_point now) const;
    bool is_keyed(const directory::entry& item) const
    {
        return keyed_services_.contains(item.server.service);
    }
    std::vector<keyspace::holder> holders(const std::string& service, core::time_point now) const;
    keyspace::key_loads& loads_of(const std::string& service);
    /// Name of the row that holds the keys of a backend server.
    std::string row_of(const std::string& id) const;
    void mark_dirty(const std::string& id)
    {
        dirty_rows_[published_.entries.at(id).server.service].insert(row_of(id));
    }

    leader_settings settings_;
    std::string self_;
    decision_hook on_decision_;
    directory::snapshot published_;
    std::map<std::string, record> records_;
    /// Backend servers by front.
    std::map<std::string, std::set<std::string>> fronted_;
    std::map<std::string, peer> peers_;
    std::map<std::string, std::int64_t> removed_at_;
    std::set<std::string> keyed_services_;
    /// Services whose keys were assigned at some time.
    std::set<std::string> initialized_;
    std::map<std::string, keyspace::key_loads> loads_;
    /// Destinations of planned moves, by service.
    std::map<std::string, std::vector<keyspace::key_move>> planned_;
    std::map<std::string, staged> writing_;
    /// Names of rows by service. The rows of a service are written in one transaction, since a move changes
    /// two of them.
    std::map<std::string, std::set<std::string>> writing_rows_;
    std::map<std::string, std::set<std::string>> dirty_rows_;
    core::time_point started_;
    core::time_point last_registration_;
    core::time_point last_plan_;
    core::time_point last_decay_;
    core::time_point last_balance_;
    core::time_point last_free_check_;
    bool knows_routers_ = false;
};

} // namespace briarfold::leader
