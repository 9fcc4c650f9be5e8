#pragma once

#include "edge/internal/store_health.hpp"
#include "edge/member.hpp"
#include "leader/leader_state.hpp"

#include <optional>
#include <set>

namespace briarfold::edge::internal {

/// What the leader role needs of its member.
struct leader_surroundings
{
    std::function<void(const directory::snapshot&, const nlohmann::json& config)> on_local_change;
    /// Sends a message to another router and returns its answer.
    std::function<core::asio::awaitable<std::string>(http::endpoint, std::string, core::duration)> send;
    std::function<void(const char* reason)> on_deposed;
};

/// The leader role while it lasts: reads the store's tables, keeps the directory, writes assignments and
/// pushes changes. Used on one thread.
class leader_service : public std::enable_shared_from_this<leader_service>
{
public:
    leader_service(core::asio::any_io_executor executor, directory::router self, const protocol& hooks,
                   store_tables tables, store_health& health, event_log& log,
                   leader_surroundings surroundings, std::int64_t term, nlohmann::json config);

    /// Reads the rows of the store and starts. `former` is what was known of routers.
    core::asio::awaitable<void> start(directory::snapshot former);
    void stop();
    /// Answers a report: what the reporter does not know yet.
    nlohmann::json answer(const nlohmann::json& message);
    void on_own_report(const leader::router_report& report);
    std::int64_t term() const { return term_; }
    std::int64_t config_version() const { return config_version_; }
    /// When the leadership was last known to be undisputed.
    core::time_point confirmed_at() const;
    const directory::snapshot& current() const { return state_->current(); }
    /// Until when earlier fronts' grants of this backend server may hold, from now.
    core::duration foreign_hold(const std::string& id) const
    {
        return state_->foreign_hold(id, core::clock::now());
    }
    bool is_started() const { return state_.has_value() && is_started_; }

private:
    struct follower
    {
        /// 0 when it needs the whole directory, -1 when its next report has to tell.
        std::int64_t revision = 0;
        std::int64_t config = 0;
        bool is_pushing = false;
    };

    core::asio::awaitable<void> run_ticks();
    core::asio::awaitable<void> follow_registry(std::int64_t revision);
    core::asio::awaitable<void> follow_config(std::int64_t revision);
    core::asio::awaitable<std::int64_t> read_registry();
    core::asio::awaitable<std::int64_t> read_config();
    core::asio::awaitable<void> write_rows(std::vector<leader::assignment_row> rows);
    core::asio::awaitable<void> check_leadership();
    core::asio::awaitable<void> push(std::string name);
    void apply_registration(const store::row& row);
    void apply_config(const nlohmann::json& document);
    void after_change();
    void choose_deputies();
    /// Rows that a deputy read and this leader has not.
    void take_news(const nlohmann::json& rows);
    nlohmann::json make_update(std::int64_t term, std::int64_t revision, std::int64_t config) const;
    bool is_current() const { return !is_stopped_; }

    core::asio::any_io_executor executor_;
    directory::router self_;
    const protocol& hooks_;
    store_tables tables_;
    store_health& health_;
    event_log& log_;
    leader_surroundings surroundings_;
    std::int64_t term_;
    /// Version of the leadership row, which each write of assignments renews.
    std::int64_t row_version_;
    std::map<std::string, std::int64_t> service_versions_;
    nlohmann::json config_;
    std::int64_t config_version_ = 0;
    std::optional<leader::leader_state> state_;
    std::map<std::string, follower> followers_;
    std::set<std::string> registered_;
    /// Versions of the registrations applied, so that older news changes nothing.
    std::map<std::string, std::int64_t> row_versions_;
    std::int64_t config_revision_ = 0;
    std::int64_t registry_revision_ = 0;
    core::time_point confirmed_at_;
    std::int64_t published_revision_ = 0;
    std::int64_t published_config_ = 0;
    core::time_point last_publish_;
    core::time_point last_write_;
    bool is_started_ = false;
    bool is_stopped_ = false;
    bool is_writing_ = false;
};

/// Value of the leadership row.
nlohmann::json leadership_value(const directory::router& self);

constexpr const char* leadership_key = "leader";
constexpr const char* secret_key = "secret";
constexpr const char* assignment_prefix = "assignment/";

} // namespace briarfold::edge::internal
