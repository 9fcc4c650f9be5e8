/// Assigns fronts and keys without I/O and without a clock: takes registrations, reports and the time, and
/// produces the directory, the rows to write and the decisions.
#pragma once

#include "grants/grant_timing.hpp"
#include "keyspace/move_planner.hpp"
#include "leader/leader_types.hpp"
#include "leader/leadership_confirmation.hpp"
#include "leader/transfer_rate.hpp"

#include <functional>
#include <optional>
#include <set>

namespace briarfold::leader {

struct leader_settings
{
    /// Time without a new registration after which the keys of a service are first assigned.
    core::duration settle_time{500};
    core::duration max_settle_time{2500};
    /// Time without a report after which a router counts as lost, while reports are sent every 350 ms: three
    /// reports and a retransmission.
    core::duration router_timeout{1300};
    /// Time for which a leader that knows no other router waits before it assigns fronts: after a loss of all
    /// routers they start within some tenths of a second of each other.
    core::duration router_discovery_time{900};
    /// Interval between two searches for keys without an owner.
    core::duration unassigned_check_interval{200};
    /// Interval between two changes of fronts that balance the routers' loads.
    core::duration balance_interval{250};
    /// A backend server that its front cannot reach for this time loses its keys.
    core::duration unreachable_timeout{900};
    /// Interval between two plans of moves; a move takes about as long as one request.
    core::duration plan_interval{300};
    /// Time in which a backend server whose registration is gone may register again. After an outage of the
    /// store, lapsed registrations are back within about 2 s.
    core::duration reregistration_grace{2200};
    /// Time for which a next leader also waits for a router that is lost. One that is gone for good must not
    /// count for ever.
    core::duration lost_router_memory{60000};
    /// Time for which a front that is cut off from the leader may still renew grants.
    core::duration max_confirmation_age = grants::max_confirmation_age;
    /// Longest duration of a grant.
    core::duration max_grant_duration = grants::outage_grant_duration;
    /// Time for which a former leader that is cut off may still confirm fronts.
    core::duration max_storeless_time = leadership_confirmation::max_storeless_time;
};

/// Receives each entry of the decision log: the decision, its subject and the values it is based on.
using decision_hook =
    std::function<void(const char* decision, const std::string& subject, nlohmann::json details)>;

class leader_state
{
public:
    leader_state(leader_settings settings, directory::router self, directory::generation term,
                 core::time_point now, decision_hook on_decision);

    /// Restores the state from the rows of the store and the routers known before. Call before the first
    /// `tick`.
    void load_row(const assignment_row& row, core::time_point now);
    void load_router(const directory::router& known, core::time_point now);
    /// Restores the routers that the former leader missed. Call after `load_router` for all others.
    void load_lost_router(const std::string& name, core::time_point now);
    /// Names the routers that led before and may go on leading until they report to this one or restart. Call
    /// before `load_row`.
    void set_former_leaders(std::vector<directory::router> former);
    const std::vector<directory::router>& former_leaders() const { return former_leaders_; }
    /// Restores the state from the latest directory that the routers know, in place of rows that are older.
    /// Keys without a holder, and those that a router of `silent` may have seen move, are withheld until all
    /// earlier grants have ended. All keys are when no router knows a directory.
    void load_directory(const directory::snapshot& known, const std::vector<directory::router>& silent,
                        core::time_point now);
    /// Whether keys are withheld, so that the rows do not tell who may hold them.
    bool is_withholding(core::time_point now) const { return now < withheld_until_; }

    /// Sets the services with key ownership, as configured.
    void set_keyed_services(std::set<std::string> names) { keyed_services_ = std::move(names); }
    /// Sets the requests a second that a cold backend server of a service can handle, as configured. Services
    /// that are not named have no limit.
    void set_cold_rates(std::map<std::string, double> per_s) { cold_rates_ = std::move(per_s); }
    /// Sets the availability zones whose backend servers must hold no keys.
    void set_evacuated_zones(std::set<std::string> zones) { evacuated_zones_ = std::move(zones); }
    /// Sets the interval at which routers report, which extends the time after which a router counts as lost.
    void set_report_interval(core::duration interval);
    void on_registered(const directory::backend_server& server, core::time_point now);
    /// Handles the end of a registration. `is_confirmed` is false when it may have lapsed because of an
    /// outage of the store; the backend server then has `reregistration_grace` to register again.
    void on_unregistered(const std::string& id, bool is_confirmed, core::time_point now);
    void on_report(const router_report& report, core::time_point now);
    /// Chooses the deputies, the routers that read the store besides the leader: those with the largest CPU
    /// share, in different zones where possible.
    void choose_deputies(core::time_point now);

    /// Updates fronts and keys and plans moves. Call about every 100 ms; a longer silence than
    /// `leadership_confirmation::max_pause` counts as a pause of this process.
    void tick(core::time_point now);
    /// Returns the rows to write now; empty while a write is in flight or nothing has changed. The write must
    /// be conditional on the leadership.
    std::vector<assignment_row> take_pending_rows();
    void on_written(const directory::generation& written);
    void on_write_failed();
    /// Returns the rows of all published keys, as the store should hold them while no write is in flight.
    std::vector<assignment_row> all_rows() const;

    const directory::snapshot& current() const { return published_; }
    /// Returns the update for a router that has `revision` of `term`.
    directory::update update_for(const directory::generation& term, std::int64_t revision,
                                 core::time_point now) const;
    /// Returns the time for which a grant of an earlier front may still be valid; zero when none is.
    core::duration prior_grant_remaining(const std::string& id, core::time_point now) const;
    /// Returns whether a router with this revision of the directory knows of every front role that was taken
    /// from it and of its new terms of office. Otherwise it must not be confirmed, since it might go on
    /// granting keys with earlier tokens.
    bool knows_its_fronts(const std::string& router, std::int64_t revision) const;
    bool is_alive(const std::string& router, core::time_point now) const;
    /// Whether every router that was known in this term reports to this leader. Lost routers leave the
    /// directory but still count, until they report again; those that announced their stop do not. Routers
    /// that the former leader lost shortly before count as well. After a pause of this process a router
    /// counts once it reports a directory that was published since: its other reports may be from before.
    bool do_all_routers_follow(core::time_point now) const;
    /// Whether, besides, each of them has reported since `since`.
    bool have_all_reported(core::time_point since, core::time_point now) const;
    /// Whether fewer than half of the routers follow this leader. Those that were lost lately count.
    bool is_isolated(core::time_point now) const;
    /// Returns the number of keys of keyed services that no backend server of the directory holds.
    std::size_t unassigned_keys() const;

private:
    struct withdrawal
    {
        keyspace::key_range range;
        /// Revision of the directory from which the present front knows of the withdrawal.
        std::int64_t revision = 0;
    };

    struct entry_state
    {
        /// Keys that the next write stores.
        keyspace::key_set next_keys;
        std::vector<directory::handover> next_handovers;
        std::vector<withdrawal> withdrawals;
        keyspace::key_set freed;
        /// Until when the backend server is cold, according to its registration and to its front.
        core::time_point cold_until;
        core::time_point reported_cold_until;
        std::optional<core::time_point> unregistered_at;
        std::optional<core::time_point> unreachable_since;
        double slowness = 1;
        core::time_point prior_grants_until;
        /// Generation in which the backend server's keys were written, or the term when that is later.
        directory::generation written;
        /// Number of fronts assigned since then.
        std::int64_t front_changes = 0;
        bool is_short_of_tokens = false;
    };

    struct peer
    {
        core::time_point last_report;
        /// Latest revision of this term that the router reported.
        std::int64_t revision = 0;
    };

    struct staged_entry
    {
        keyspace::key_set keys;
        std::vector<directory::handover> handovers;
        /// Keys that were freed and go back to the same backend server.
        keyspace::key_set returned;
    };

    directory::entry& find_entry(const std::string& id) { return published_.entries.at(id); }
    /// Records a change, or the removal, of a router.
    void bump_router_revision(const std::string& name)
    {
        published_.routers_revision = ++published_.revision;
        changes_.routers[name] = published_.revision;
    }
    /// Publishes a new revision if this process stood still.
    void note_pause(core::time_point now);
    void update_entries(const router_report& report, core::time_point now);
    /// Drains the backend servers that said that they leave.
    void drain_leaving(const router_report& report);
    /// Returns when the grants of fronts have ended that were last confirmed at `now`.
    core::time_point confirmed_grants_end(core::time_point now) const;
    /// Shortens the bounds of earlier grants once no former leader confirms anyone any more.
    void note_former_leader(const router_report& report, core::time_point now);
    void bump_revision(const std::string& id);
    /// Recomputes the token base of the entry, so that its front's tokens exceed those of all earlier fronts.
    void update_token_base(const std::string& id);
    /// Has new tokens written for the backend servers whose fronts have few left.
    void renew_tokens(const router_report& report);
    /// Whether its tokens have little room left for further changes of front or calls.
    bool needs_new_generation(const std::string& id) const;
    /// Adds a backend server that an earlier leader knew, with the keys that it may still hold.
    void load_entry(directory::entry entry, core::time_point now);
    /// Returns when grants of the fronts of earlier leaders have ended.
    core::time_point former_grants_end(core::time_point now) const;
    void withdraw(const std::string& id, const keyspace::key_set& keys, const char* reason);
    void remove_lost_routers(core::time_point now);
    void publish_lost_routers(core::time_point now);
    void assign_fronts(core::time_point now);
    /// Backend servers that change their front together: one with keys, or those of one queue and zone. A
    /// queue that is split loses the shared slots.
    struct front_unit
    {
        std::string service;
        std::string zone;
        std::string front;
        double slots = 0;
        bool has_withdrawn_keys = false;
        std::vector<std::string> backend_servers;
    };
    struct front_move
    {
        front_unit unit;
        std::string front;
    };
    std::vector<front_unit> front_units() const;
    /// Assigns some backend servers to less loaded fronts, or to fronts in their own zones.
    void balance_fronts(core::time_point now);
    /// Returns the change of front that evens out the loads most; nothing when none is worthwhile.
    std::optional<front_move> find_balance_move(const std::map<std::string, double>& loads) const;
    /// Returns the load that slots of a service are for a front, by its shares of a processor and of
    /// bandwidth.
    double slot_load(const std::string& service, double slots, const directory::router& router) const;
    void update_slot_bandwidth(core::time_point now);
    /// Returns the services without key ownership, with the zones that have enough backend servers of them to
    /// share slots among themselves.
    std::set<std::pair<std::string, std::string>> find_zone_groups() const;
    bool can_be_front(const directory::router& router, core::time_point now) const;
    void set_front(const std::string& id, const std::string& front, const char* reason, core::time_point now);
    /// Gives the front tokens above those of all earlier ones, its own former process included, and hides
    /// keys from it that an earlier one has freed.
    void begin_term_of_office(const std::string& id);
    /// Returns the load of each possible front.
    std::map<std::string, double> front_loads(core::time_point now) const;
    /// Numbers of backend servers by front and service.
    struct front_tally
    {
        std::map<std::pair<std::string, std::string>, std::size_t> groups;
        /// Load of fronts, and the services and zones whose backend servers are grouped within the zone.
        std::map<std::string, double> loads;
        std::set<std::pair<std::string, std::string>> zone_groups;
    };
    front_tally tally_fronts() const;
    std::string choose_front(const directory::backend_server& server, front_tally& tally,
                             core::time_point now) const;
    void withdraw_unavailable(core::time_point now);
    void assign_initial_keys(core::time_point now);
    void assign_unowned_keys(core::time_point now);
    void plan_moves(core::time_point now);
    void remove_unregistered();
    /// `revision` is that of the directory that the front had applied.
    void on_keys_freed(const freed_report& report, const std::string& router, std::int64_t revision,
                       core::time_point now);
    void reassign_freed_keys(const keyspace::key_range& range, const std::string& handover,
                             const std::string& from, core::time_point now);
    void assign_keys(const std::string& id, const keyspace::key_range& range, const std::string& handover);
    bool can_accept_keys(const std::string& id, core::time_point now) const;
    bool can_any_accept_keys(const std::string& service, core::time_point now) const;
    bool is_evacuated(const directory::entry& item) const
    {
        return evacuated_zones_.contains(item.server.zone);
    }
    bool is_keyed(const directory::entry& item) const
    {
        return keyed_services_.contains(item.server.service);
    }
    std::vector<keyspace::holder> holders(const std::string& service, core::time_point now) const;
    /// Returns the load, in slots, that a cold backend server of the service can handle.
    double cold_capacity(const std::string& service, double warm_capacity) const;
    keyspace::key_loads& loads_of(const std::string& service);
    /// Returns the name of the row that holds the keys of a backend server.
    std::string row_name(const std::string& id) const;
    void mark_dirty(const std::string& id)
    {
        dirty_rows_[published_.entries.at(id).server.service].insert(row_name(id));
    }

    leader_settings settings_;
    std::string self_;
    decision_hook on_decision_;
    directory::snapshot published_;
    std::map<std::string, entry_state> entry_states_;
    /// Ids of backend servers by front; those without a front are under an empty name.
    std::map<std::string, std::set<std::string>> servers_by_front_;
    std::map<std::string, peer> peers_;
    directory::change_log changes_;
    /// Revision at which a router last lost a front role or began new terms of office, by name.
    std::map<std::string, std::int64_t> front_lost_at_;
    std::set<std::string> keyed_services_;
    std::map<std::string, double> cold_rates_;
    /// Mean work of a request, as reported, in milliseconds by service.
    std::map<std::string, double> mean_work_ms_;
    std::set<std::string> evacuated_zones_;
    /// Services whose keys have been assigned before.
    std::set<std::string> initialized_services_;
    std::map<std::string, keyspace::key_loads> loads_;
    /// Bytes of answers by service, and the bandwidth in Mbit/s that one slot of a service takes from a
    /// front.
    std::map<std::string, transfer_rate> answer_rates_;
    std::map<std::string, double> mbps_per_slot_;
    /// Planned moves whose keys are not freed yet, by service.
    std::map<std::string, std::vector<keyspace::key_move>> planned_moves_;
    std::map<std::string, staged_entry> in_flight_entries_;
    /// Names of rows by service. The rows of a service are written in one transaction, since a move changes
    /// two of them.
    std::map<std::string, std::set<std::string>> in_flight_rows_;
    std::map<std::string, std::set<std::string>> dirty_rows_;
    std::vector<directory::router> former_leaders_;
    /// Since when routers are missed.
    std::map<std::string, core::time_point> lost_routers_;
    /// Until then, keys without a holder are not assigned: a backend server that is not known may hold them.
    core::time_point withheld_until_;
    core::time_point started_;
    core::time_point last_tick_;
    /// First revision that was published after the last pause.
    std::int64_t resumed_revision_ = 0;
    core::time_point last_registration_;
    core::time_point last_plan_;
    core::time_point last_decay_;
    core::time_point last_balance_;
    core::time_point last_unassigned_check_;
    bool has_known_routers_ = false;
};

} // namespace briarfold::leader
