#pragma once

#include "edge/front.hpp"

namespace briarfold::edge {

using internal::fronted_server;
using internal::job;
using internal::work_pool;

struct front::state : std::enable_shared_from_this<front::state>
{
    state(core::asio::any_io_executor base, settings::edge_settings values, const protocol& names,
          event_log& lines, metrics::registry& registry, front_hooks surroundings);

    // Following the directory.
    void apply(const directory::snapshot& known, const routes::routing_config& config);
    void add_server(const directory::entry& entry, bool is_keyed);
    void update_server(fronted_server& server, const directory::entry& entry);
    void remove_server(const std::string& id);
    void apply_change(const directory::snapshot& known, const directory::update& change,
                      const routes::routing_config& config);
    /// Takes, updates or gives up one backend server as its entry says.
    void follow(const directory::entry& entry, const routes::routing_config& config);
    void after_apply(const directory::snapshot& known);
    void return_moved(const std::shared_ptr<work_pool>& pool);

    // Requests.
    core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> departure);
    core::asio::awaitable<wire::forward_result> run(std::shared_ptr<job> item,
                                                    std::shared_ptr<work_pool> pool);
    std::shared_ptr<work_pool> find_pool(const wire::forward_request& request);
    std::optional<wire::forward_result> admit(const std::shared_ptr<job>& item, work_pool& pool);
    void pump(const std::shared_ptr<work_pool>& pool);
    void start(const std::shared_ptr<job>& item, const std::shared_ptr<fronted_server>& server);
    void finish(const std::shared_ptr<job>& item);
    std::shared_ptr<fronted_server> choose_server(const work_pool& pool, const job* item,
                                                  core::time_point now);
    dispatch::slot_state slots_of(const work_pool& pool, core::time_point now) const;
    /// Returns the result, or nothing when the request is to be sent again.
    std::optional<wire::forward_result> judge(job& item, exchange_result& outcome);
    std::optional<wire::forward_result> judge_not_run(job& item, exchange_result& outcome);
    std::optional<wire::forward_result> judge_broken(job& item, exchange_result& outcome);
    bool may_repeat(job& item, core::time_point now);
    void requeue(const std::shared_ptr<job>& item, const std::shared_ptr<work_pool>& pool);
    void end_waiting(work_pool& pool, const dispatch::waiting_request& waiting, wire::forward_result result);
    void log_result(const job& item, const wire::forward_result& result);
    double slack_share() const;
    /// Ends the requests that wait for a backend server which does not answer.
    void refuse_waiting(fronted_server& server);
    void note_contact(fronted_server& server, bool is_reached, const std::string& reason);

    // Grants.
    void tick();
    void run_grants(const std::shared_ptr<fronted_server>& server);
    core::asio::awaitable<void> open_control(std::shared_ptr<fronted_server> server);
    core::asio::awaitable<void> make_call(std::shared_ptr<fronted_server> server, grants::grant_call call);
    core::asio::awaitable<void> probe(std::shared_ptr<fronted_server> server);

    core::asio::any_io_executor executor;
    settings::edge_settings settings;
    const protocol& hooks;
    event_log& log;
    metrics::registry& metrics;
    front_hooks surroundings;
    std::map<std::string, std::shared_ptr<fronted_server>> servers;
    std::map<std::string, std::shared_ptr<work_pool>> pools;
    std::map<std::string, dispatch::retry_budget> budgets;
    std::map<std::string, std::map<std::uint32_t, double>> offered;
    dispatch::work_estimate estimate;
    std::size_t all_servers = 1;
    std::size_t running = 0;
    std::uint64_t next_id = 0;
};

bool is_success(unsigned status);

wire::forward_result make_result(wire::outcome outcome, unsigned status, std::string reason,
                                 std::string not_run_reason);

} // namespace briarfold::edge
