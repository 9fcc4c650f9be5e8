#pragma once

#include "edge/internal/evacuation_tracker.hpp"
#include "edge/internal/leader_service.hpp"
#include "edge/internal/store_health.hpp"
#include "edge/member.hpp"
#include "leader/leader_contact.hpp"
#include "routes/config_currency.hpp"

#include <list>

namespace briarfold::edge {

namespace asio = core::asio;
using core::clock;
using internal::store_retry;
using internal::store_timeout;
using nlohmann::json;

struct member::state : std::enable_shared_from_this<member::state>
{
    state(core::asio::any_io_executor io_executor, settings::edge_settings initial_settings,
          const protocol& message_adapter, store_tables all_tables, event_log& decision_log,
          member_callbacks owner_callbacks);

    core::asio::awaitable<void> run();
    /// Reads or creates the secret that all routers share.
    core::asio::awaitable<std::string> load_or_create_secret();
    core::asio::awaitable<void> report();
    core::asio::awaitable<void> run_election(const char* reason);
    bool is_leader_lost() const;
    core::asio::awaitable<void> replace_lost_leader();
    /// Asks the deputies, or some routers of other zones, whether the leader answers their reports.
    core::asio::awaitable<bool> is_leader_seen_by_others();
    std::vector<http::endpoint> choose_witnesses() const;
    /// Asks a deputy, another one each time, to take over the leadership.
    void offer_to_deputy();
    /// Asks another router to take over the leadership from this one.
    core::asio::awaitable<void> offer_leadership(http::endpoint peer);
    bool is_deputy() const;
    /// Reads the changes of the table "config" or "registry" in case the leader cannot read them.
    core::asio::awaitable<void> watch_as_deputy(std::string table);
    void record_deputy_row(const std::string& table, const store::row& row);
    /// Tells the front of a backend server that it leaves or that its registration is gone. The leader may
    /// have read it and still be late.
    core::asio::awaitable<void> announce_leaving(leader::server_process process, bool is_gone);
    core::asio::awaitable<void> tell_front(leader::server_process process, bool is_gone);
    void add_deputy_rows(nlohmann::json& message);
    void drop_confirmed_rows(const nlohmann::json& reply);
    /// Answers a new leader that collects the directories, and lets no earlier leader change this one any
    /// more.
    std::string report_position(const nlohmann::json& message);
    core::asio::awaitable<std::string> on_message(std::string from, std::string text);
    /// Whether another router should lead, since the stored assignments may be older than those it knows.
    bool must_defer_election(const std::optional<internal::leadership_record>& record,
                             std::int64_t era) const;
    core::asio::awaitable<void> take_leadership(std::optional<internal::leadership_record> former,
                                                std::int64_t version, std::int64_t era, const char* reason);
    void become_leader(internal::leadership_start start);
    void step_down(const char* reason);
    void apply_update(const nlohmann::json& message);

    // Configuration. The leader hands changes on and confirms with each answer that there is none; a router
    // that is not confirmed asks others of its zone or the store.
    enum class config_answer
    {
        none,
        /// The other router could not confirm its configuration either.
        outdated,
        /// The same, since the store does not answer it.
        store_fails,
        current
    };
    /// Puts a configuration in force if it is newer; `packed` is the document as encoded by `internal::pack`,
    /// or empty when it is not encoded yet.
    void adopt_config(const nlohmann::json& document, std::string packed, const std::string& source);
    void adopt_packed_config(std::string packed, const std::string& source);
    /// Handles what an answer to a question or report that was sent at `asked` tells of the newest version.
    void confirm_config(const nlohmann::json& reply, core::time_point asked);
    void on_config_confirmed(core::time_point at);
    void on_evacuations_changed();
    core::duration config_age();
    core::asio::awaitable<void> watch_config();
    core::asio::awaitable<bool> await_current_config();
    /// Starts a check unless one is running, and waits at most `limit` for its end.
    core::asio::awaitable<void> await_config_check(core::duration limit);
    core::asio::awaitable<void> check_config();
    /// Returns who confirmed the configuration in force, or gave a newer one; empty when nobody could.
    core::asio::awaitable<std::string> find_current_config();
    /// Returns the routers of this zone that read the store for the others.
    std::vector<directory::router> choose_config_readers() const;
    core::asio::awaitable<config_answer> ask_for_config(directory::router reader);
    /// Returns whether the store answered.
    core::asio::awaitable<bool> read_config_changes();
    core::asio::awaitable<std::string> answer_config_question(nlohmann::json question);

    leader::router_report make_report();
    core::duration election_delay() const;

    core::asio::any_io_executor executor;
    settings::edge_settings settings;
    const protocol& adapter;
    store_tables tables;
    event_log& log;
    member_callbacks callbacks;
    directory::router self;
    core::asio::steady_timer report_timer;
    std::shared_ptr<wire::peer_network> network;
    std::shared_ptr<internal::leader_service> leadership;
    internal::store_health health;
    directory::snapshot snapshot;
    directory::router leader;
    /// Term of a leader that collects the directories; updates of earlier leaders are ignored.
    directory::generation promised_term;
    /// Position of the leadership row as this router last read it.
    store::position leadership_position;
    std::string secret;
    core::time_point joined_at;
    /// Whether a router that has a directory took this one for its leader.
    bool has_informed_reporter = false;
    /// Document of the configuration in force, as encoded by `internal::pack`.
    std::string packed_config;
    std::int64_t config_version = 0;
    routes::config_currency currency;
    /// Position in the store up to which the configuration in force contains all changes.
    store::position config_position;
    /// Evacuated zones. Their rows come with those of the configuration, so that whatever confirms the
    /// configuration confirms them too.
    internal::evacuation_tracker evacuations;
    bool is_checking_config = false;
    std::list<core::asio::steady_timer*> config_waits;
    core::time_point confirmed_at;
    core::time_point proved_at;
    leader::leader_contact contact{clock::now()};
    core::duration leader_store_failing_for;
    bool is_stopping = false;
    bool is_ended = false;
    bool is_electing = false;
    struct deputy_row
    {
        store::row row;
        core::time_point seen;
    };

    /// Rows that were read as a deputy and that the leader has not confirmed, by table and key.
    std::map<std::pair<std::string, std::string>, deputy_row> deputy_rows;
    int running_watches = 0;
    bool is_report_requested = false;
    std::size_t offers = 0;
};

} // namespace briarfold::edge
