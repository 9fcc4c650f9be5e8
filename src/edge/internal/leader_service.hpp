#pragma once

#include "edge/internal/evacuation_tracker.hpp"
#include "edge/internal/store_health.hpp"
#include "edge/member.hpp"
#include "leader/leader_state.hpp"
#include "leader/leadership_confirmation.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace briarfold::edge::internal {

/// Callbacks from the leader role to its member.
struct leader_callbacks
{
    /// Called when the directory changed.
    std::function<void(const leader::leader_state&)> on_directory_change;
    /// Called when a newer configuration was read; `packed` is its document as encoded by `pack`.
    std::function<void(routes::routing_config, const std::string& packed)> on_config;
    /// Sends a message to another router and returns its answer.
    std::function<core::asio::awaitable<std::string>(http::endpoint, std::string, core::duration)> send;
    /// Asks another router to take over the leadership.
    std::function<void(http::endpoint)> offer_leadership;
    std::function<void(const char* reason)> on_deposed;
};

/// Content of the leadership row.
struct leadership_record
{
    directory::router leader;
    /// Earlier leaders that have not been seen to follow this one: they may be cut off and still lead.
    std::vector<directory::router> former_leaders;
    /// Generation of this content. A restored store may hold one that is earlier than those of the routers.
    directory::generation written;
    /// Era in which a leader last knew the rows of assignments to be complete. In a later era they may be
    /// older than what the routers know.
    std::int64_t assigned_era = 0;

    bool operator==(const leadership_record&) const = default;
};

nlohmann::json to_json(const leadership_record& value);
/// Throws nlohmann::json::exception or core::error for a malformed value.
leadership_record leadership_from_json(const nlohmann::json& value);

/// How a router took the leadership.
struct leadership_start
{
    leadership_record record;
    std::int64_t version = 0;
    /// Secret that all routers share, in case the store lost it.
    std::string secret;
};

/// The leader role for one term: reads the store's tables, maintains the directory, writes assignments and
/// pushes changes to the other routers. Not thread-safe: all calls on the executor's thread.
class leader_service : public std::enable_shared_from_this<leader_service>
{
public:
    leader_service(core::asio::any_io_executor executor, directory::router self, const protocol& adapter,
                   store_tables tables, store_health& health, event_log& log, evacuation_tracker& evacuations,
                   leader_callbacks callbacks, leadership_start start, std::string packed_config);

    /// Reads the rows of the store, retrying until it succeeds, and starts. `former` is the directory known
    /// so far; its routers are kept.
    core::asio::awaitable<void> start(directory::snapshot former);
    void stop();
    /// Makes the directory known to this router as far as it was sent to any.
    void publish();
    /// Handles a report and returns the answer, with the changes that the reporting router does not have yet.
    /// If the router needs a proof that this one leads, waits for it for a while.
    core::asio::awaitable<std::string> handle_report(nlohmann::json message);
    void on_own_report(const leader::router_report& report);
    /// Takes a configuration that its router learned in another way, if it is newer.
    void offer_config(const nlohmann::json& document);
    /// Records that no newer configuration than the one in force existed at `at`.
    void on_config_confirmed(core::time_point at)
    {
        config_confirmed_at_ = std::max(config_confirmed_at_, at);
    }
    /// Moves the keys of zones that were evacuated and tells all routers.
    void on_evacuations_changed();
    core::time_point config_confirmed_at() const { return config_confirmed_at_; }
    const directory::generation& term() const { return term_; }
    /// Returns when the leadership was last known to be undisputed.
    core::time_point confirmed_at() const;
    /// Returns when it was last proved that no other router had taken the leadership.
    core::time_point proved_at() const;
    /// Returns whether this router knows of every front role that was taken from it.
    bool knows_own_fronts(const directory::snapshot& known) const;
    bool is_started() const { return state_.has_value() && is_started_; }

private:
    /// Directory that a router has applied.
    struct directory_position
    {
        directory::generation term;
        std::int64_t revision = 0;

        auto operator<=>(const directory_position&) const = default;
    };

    struct position_survey
    {
        explicit position_survey(const core::asio::any_io_executor& executor) : done(executor) {}

        core::asio::steady_timer done;
        std::map<std::string, directory_position> positions;
        std::size_t running = 0;
    };

    struct known_registration
    {
        store::position position;
        std::int64_t start_time_ms = 0;
        std::int64_t sequence = 0;
        bool is_removed = false;
    };

    struct follower
    {
        /// Revision that the router has; 0 when it needs the whole directory, -1 until its next report.
        std::int64_t revision = 0;
        std::int64_t config = 0;
        /// Number of changes of evacuations that it was sent.
        std::int64_t evacuations = 0;
        bool is_pushing = false;
    };

    core::asio::awaitable<void> run_ticks();
    core::asio::awaitable<void> follow_registry(store::position position);
    core::asio::awaitable<void> follow_config(store::position position);
    core::asio::awaitable<store::position> read_registry();
    core::asio::awaitable<store::position> read_config();
    core::asio::awaitable<void> write_rows(std::vector<leader::assignment_row> rows);
    /// Writes all assignments again after a restore of the store, which may have lost some.
    core::asio::awaitable<void> rewrite_rows();
    /// Whether all routers follow this leader since the restore, so that its assignments are the latest.
    /// Waits for their reports.
    core::asio::awaitable<bool> is_followed_since_restore();
    /// Takes over the versions of the rows as they are stored after a restore. Returns false if another
    /// router has taken the leadership since.
    bool adopt_versions(const store::row_batch& stored);
    /// Returns the writes that make the stored rows those of this leader, in groups of one transaction each.
    std::vector<std::vector<store::row_write>> make_rewrite(const store::row_batch& stored) const;
    /// Fetches the latest directory that a router knows, when the stored rows may be older, and starts from
    /// it. `known` is the directory that this router knows; returns the latest one.
    core::asio::awaitable<directory::snapshot> recover_directory(directory::snapshot known);
    core::asio::awaitable<void> ask_position(directory::router router,
                                             std::shared_ptr<position_survey> survey);
    bool is_rewrite_due() const { return health_.era() > rewritten_era_; }
    /// Returns the next content of the leadership row; `has_all_rows` is whether it goes with the last rows.
    leadership_record make_record(bool has_all_rows) const;
    core::asio::awaitable<void> check_leadership();
    /// Has the leadership looked up in the store, at most once at a time, if that is due.
    void start_check();
    core::asio::awaitable<void> push(std::string name);
    void apply_registration(const store::row& row);
    /// `packed` is the document as encoded by `pack`, or empty when it is not encoded yet.
    void apply_config(const nlohmann::json& document, std::string packed = {});
    void propagate_changes();
    /// Offers the leadership to the first deputy when it has a much larger share of a processor.
    void offer_to_stronger_deputy();
    /// Applies the rows that a deputy has read and this leader has not.
    void apply_deputy_rows(const nlohmann::json& rows);
    /// Starts pushes to routers that are behind, a limited number at a time.
    void start_pushes();
    /// Returns the message with the changes for a router that has the given versions; `revision` 0 stands for
    /// none.
    const std::string& make_update(std::int64_t revision, std::int64_t config);
    nlohmann::json update_header() const;
    core::duration publish_interval() const;
    /// Interval between two reports of a router; grows with the number of routers.
    core::duration report_interval() const;
    bool is_running() const { return !is_stopped_; }

    core::asio::any_io_executor executor_;
    directory::router self_;
    const protocol& adapter_;
    store_tables tables_;
    store_health& health_;
    event_log& log_;
    evacuation_tracker& evacuations_;
    leader_callbacks callbacks_;
    directory::generation term_;
    /// Generation of the last write of the leadership row by this leader.
    directory::generation written_;
    /// Version of the leadership row, which each write of assignments updates.
    std::int64_t leadership_version_;
    /// Era in which a leader last knew the stored rows to be complete.
    std::int64_t assigned_era_;
    /// Era in which this leader has written or read the rows.
    std::int64_t rewritten_era_ = -1;
    /// Era in which this leader collected the latest directory; in another one it relies on its own.
    std::int64_t recovered_era_ = -1;
    std::string secret_;
    std::map<std::string, std::int64_t> assignment_versions_;
    std::int64_t config_version_ = 0;
    core::time_point config_confirmed_at_;
    std::optional<leader::leader_state> state_;
    std::map<std::string, follower> followers_;
    std::set<std::string> registered_;
    /// Last registration that was read, by backend server id; older ones are ignored.
    std::map<std::string, known_registration> known_registrations_;
    store::position config_position_;
    store::position registry_position_;
    std::vector<directory::router> former_leaders_;
    leader::leadership_confirmation confirmation_;
    core::time_point last_handover_;
    std::int64_t published_revision_ = 0;
    std::int64_t published_config_ = 0;
    std::int64_t published_evacuations_ = 0;
    core::time_point last_publish_;
    core::time_point last_write_;
    core::time_point last_tick_;
    /// Encoded updates by the revision that they start from, 0 for the whole directory, and by whether they
    /// contain the configuration. Most routers have the same versions, so one message is sent to many.
    std::map<std::pair<std::int64_t, bool>, std::string> updates_;
    std::int64_t updates_revision_ = 0;
    std::int64_t updates_evacuations_ = 0;
    /// Name of the router to which the last push went; the next one goes to a router after it.
    std::string last_pushed_;
    std::size_t running_pushes_ = 0;
    core::time_point updates_built_at_;
    /// The configuration as encoded by `pack`; empty before the first.
    std::string packed_config_;
    bool is_started_ = false;
    bool is_stopped_ = false;
    bool is_writing_ = false;
    bool is_checking_ = false;
    core::time_point last_check_;
};

constexpr const char* leadership_key = "leader";
constexpr const char* secret_key = "secret";
constexpr const char* assignment_prefix = "assignment/";

} // namespace briarfold::edge::internal
