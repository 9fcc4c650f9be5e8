#pragma once

#include "edge/internal/leader_service.hpp"
#include "edge/internal/store_health.hpp"
#include "edge/member.hpp"

namespace briarfold::edge {

namespace asio = core::asio;
using core::clock;
using internal::store_retry;
using internal::store_timeout;
using nlohmann::json;

struct member::state : std::enable_shared_from_this<member::state>
{
    state(core::asio::any_io_executor base, settings::edge_settings values, const protocol& names,
          store_tables rows, event_log& lines, member_hooks outside);

    core::asio::awaitable<void> run();
    /// Reads or creates the secret that all routers share.
    core::asio::awaitable<std::string> learn_secret();
    core::asio::awaitable<void> report();
    core::asio::awaitable<void> elect(const char* reason);
    /// Asks another router to take over from this leader.
    core::asio::awaitable<void> offer_leadership(http::endpoint peer);
    bool is_deputy() const;
    /// Reads the changes of "config" or "registry" for the case that the leader cannot.
    core::asio::awaitable<void> watch_as_deputy(std::string table);
    void note_news(const std::string& table, const store::row& row);
    void add_news(nlohmann::json& message);
    void drop_known_news(const nlohmann::json& reply);
    core::asio::awaitable<std::string> on_message(std::string from, std::string text);
    void become_leader(std::int64_t term);
    void step_down(const char* reason);
    void apply_update(const nlohmann::json& message);
    leader::router_report make_report();
    core::duration election_delay() const;

    core::asio::any_io_executor executor;
    settings::edge_settings settings;
    const protocol& hooks;
    store_tables tables;
    event_log& log;
    member_hooks surroundings;
    directory::router self;
    core::asio::steady_timer report_timer;
    std::shared_ptr<wire::peer_network> network;
    std::shared_ptr<internal::leader_service> leading;
    internal::store_health health;
    directory::snapshot known;
    directory::router leader;
    /// Document of the configuration in force, as routers pass it on.
    std::string packed_config;
    std::int64_t known_config_version = 0;
    core::time_point authority_at;
    core::time_point last_contact;
    core::duration leader_store_failing;
    bool is_stopping = false;
    bool is_ended = false;
    bool is_electing = false;
    struct news_item
    {
        store::row row;
        core::time_point seen;
    };

    /// Rows read as deputy that the leader has not confirmed, by table and key.
    std::map<std::pair<std::string, std::string>, news_item> news;
    int watchers = 0;
    bool is_report_wanted = false;
    int failed_reports = 0;
};

} // namespace briarfold::edge
