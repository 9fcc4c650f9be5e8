#pragma once

#include "edge/front.hpp"

namespace briarfold::edge {

using internal::fronted_server;
using internal::pending_request;
using internal::request_pool;

struct front::state : std::enable_shared_from_this<front::state>
{
    state(core::asio::any_io_executor io_executor, settings::edge_settings initial_settings,
          const protocol& message_adapter, event_log& decision_log, metrics::registry& metrics_registry,
          front_callbacks callbacks);

    // Directory.
    void apply(const directory::snapshot& snapshot, const routes::routing_config& config);
    void add_server(const directory::entry& entry, const routes::service& service);
    /// Applies what the configuration says of the backend servers of a service.
    void configure(fronted_server& server, const routes::service& service) const;
    void open_links(fronted_server& server);
    void update_server(fronted_server& server, const directory::entry& entry);
    void remove_server(const std::string& id);
    void apply_change(const directory::snapshot& snapshot, const directory::update& change,
                      const routes::routing_config& config);
    /// Adds, updates or removes one backend server according to its directory entry.
    void apply_entry(const directory::entry& entry, const routes::routing_config& config);
    void refresh_pools();
    /// Logs the keys that were not reported as free before, and what shows it.
    void log_free_keys(fronted_server& server, const std::vector<grants::freed_keys>& freed,
                       core::time_point now);
    void refuse_moved(const std::shared_ptr<request_pool>& pool);
    /// Removes and returns the requests of the pool that wait for a slot or a grant and match.
    static std::vector<dispatch::waiting_request>
    extract_waiting(request_pool& pool, const std::function<bool(const dispatch::waiting_request&)>& matches);

    // Requests.
    core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> cancellation);
    core::asio::awaitable<wire::forward_result> run(std::shared_ptr<pending_request> pending,
                                                    std::shared_ptr<request_pool> pool);
    std::shared_ptr<request_pool> find_pool(const wire::forward_request& request);
    std::optional<wire::forward_result> admit(const std::shared_ptr<pending_request>& pending,
                                              request_pool& pool);
    /// Refuses a request that could not start before the pause ends that all backend servers of the pool
    /// asked for.
    static std::optional<wire::forward_result>
    refuse_during_pause(const pending_request& pending, const request_pool& pool, core::time_point now);
    /// Refuses a request that would have to wait longer than its objective allows for the rate of cold
    /// backend servers.
    std::optional<wire::forward_result>
    refuse_above_cold_rate(const pending_request& pending, const request_pool& pool, core::time_point now);
    /// Refuses the waiting requests for which that holds since the backend servers became cold.
    void refuse_cold_surplus(request_pool& pool, core::time_point now);
    wire::forward_result make_cold_refusal(const pending_request& pending, const request_pool& pool,
                                           std::size_t ahead, core::time_point now);
    /// Returns the backend servers of the pool that take requests, if all of them are cold; else none.
    std::vector<std::shared_ptr<fronted_server>> find_cold(const request_pool& pool,
                                                           core::time_point now) const;
    /// Returns the time until a request behind `ahead` others can be sent at the rate of the cold backend
    /// servers; zero unless all are cold.
    core::duration cold_wait(const request_pool& pool, std::size_t ahead, core::time_point now) const;
    /// Whether the backend server takes requests at all, when it has a free slot.
    bool takes_requests(const fronted_server& server, core::time_point now) const;
    void start_waiting(const std::shared_ptr<request_pool>& pool);
    void start(const std::shared_ptr<pending_request>& pending,
               const std::shared_ptr<fronted_server>& server);
    void finish(const std::shared_ptr<pending_request>& pending);
    std::shared_ptr<fronted_server> choose_server(const request_pool& pool, const pending_request* pending,
                                                  core::time_point now);
    /// Returns the requests that run and wait for each slot.
    double measure_load(const request_pool& pool) const;
    dispatch::slot_state count_slots(const request_pool& pool, core::time_point now) const;
    /// Returns the result, or nothing when the request did not reach the backend server and is sent again.
    std::optional<wire::forward_result> handle_outcome(pending_request& pending, exchange_result& outcome);
    wire::forward_result handle_not_run(pending_request& pending, exchange_result& outcome);
    std::optional<wire::forward_result> handle_failure(pending_request& pending, exchange_result& outcome);
    /// Records the load and the warm-up that an answer of the backend server states.
    void record_load(fronted_server& server, const response_head& head, core::time_point now);
    static bool has_time_for_retry(const pending_request& pending, core::time_point now);
    void requeue(const std::shared_ptr<pending_request>& pending, const std::shared_ptr<request_pool>& pool);
    void cap_deadlines(core::time_point latest);
    static void cap_deadline(dispatch::waiting_request& waiting, core::time_point latest);
    /// Whether this router or the entry ends before the deadline that the caller gave, and probably before
    /// the answer.
    bool ends_before_answer(const dispatch::waiting_request& waiting, core::time_point now) const;
    /// Refuses the waiting requests that could not be answered before the end of this router or of their
    /// entry.
    void refuse_unfinishable(request_pool& pool, core::time_point now);
    /// Refuses the waiting requests whose backend server must get no more.
    void refuse_spared(request_pool& pool, core::time_point now);
    wire::forward_result make_stopping_refusal(core::time_point now) const;
    void end_waiting(request_pool& pool, const dispatch::waiting_request& waiting,
                     wire::forward_result result);
    void log_result(const pending_request& pending, const wire::forward_result& result);
    static wire::forward_result make_unreachable_refusal(const fronted_server& server,
                                                         core::duration retry_after);
    /// Refuses the requests that wait for the keys of an unreachable backend server.
    void refuse_waiting(fronted_server& server);
    /// Records that the backend server says that it leaves.
    void record_leaving(fronted_server& server);
    /// Whether the backend server has been leaving for so long that it must get no more requests, although it
    /// still has its keys.
    static std::optional<core::time_point> find_leaving_time(const fronted_server& server,
                                                             core::time_point now);
    static bool has_left(const fronted_server& server, core::time_point now);
    /// Whether its zone is evacuated, for so long that also a backend server with keys must get no requests.
    bool is_evacuated(const fronted_server& server, core::time_point now) const;
    bool must_spare(const fronted_server& server, core::time_point now) const;
    /// Returns a refusal if no backend server of the pool may get requests, because they leave or their zones
    /// are evacuated.
    std::optional<wire::forward_result> refuse_unavailable(const request_pool& pool,
                                                           core::time_point now) const;
    static wire::forward_result make_leaving_refusal();
    /// Handles an answer of another backend server to a call for this one that was sent at `sent`. The
    /// platform gives an address to another backend server only after the former one has ended.
    void record_replaced(fronted_server& server, core::time_point sent);
    void record_contact(fronted_server& server, bool is_reached, const std::string& reason);

    // Grants.
    void tick();
    /// Takes the backend servers for cold whose zone has been returned from an evacuation.
    void note_returned_zones(core::time_point now);
    void run_grants(const std::shared_ptr<fronted_server>& server);
    /// Whether its keys can only be granted after the leader has proved that it leads.
    bool needs_proof(const fronted_server& server) const;
    core::asio::awaitable<void> open_control_link(std::shared_ptr<fronted_server> server);
    core::asio::awaitable<void> send_grant_call(std::shared_ptr<fronted_server> server,
                                                grants::grant_call call);
    /// Starts the health checks that are due: only they show that a backend server became cold in mid-life.
    void run_health_checks(core::time_point now);
    static bool is_health_check_due(const fronted_server& server, core::time_point now);
    core::asio::awaitable<void> check_health(std::shared_ptr<fronted_server> server);
    core::asio::awaitable<void> probe(std::shared_ptr<fronted_server> server);
    core::asio::awaitable<bool> accepts_connections(const fronted_server& server);
    /// Whether the backend server answers the release of a key that an unanswered grant named. It has no keys
    /// left, so that nothing else shows whether it answers such calls.
    core::asio::awaitable<bool> answers_release(const fronted_server& server,
                                                const grants::grant_call& grant);

    core::asio::any_io_executor executor;
    settings::edge_settings settings;
    const protocol& adapter;
    event_log& log;
    metrics::registry& metrics;
    front_callbacks callbacks;
    std::map<std::string, std::shared_ptr<fronted_server>> servers;
    std::map<std::string, std::shared_ptr<request_pool>> pools;
    std::map<std::string, std::map<std::uint32_t, double>> offered_work;
    /// Cold backend servers by service, also of services without any now, for the metric.
    std::map<std::string, double> cold_servers;
    /// Bytes of answers since the last report, by service.
    std::map<std::string, std::int64_t> answer_bytes;
    dispatch::work_estimate estimate;
    std::size_t running = 0;
    std::uint64_t next_id = 0;
    /// Latest time of an answer, once this process is stopping.
    std::optional<core::time_point> process_end;
};

wire::forward_result make_result(wire::outcome outcome, unsigned status, std::string reason,
                                 std::string not_run_reason);

} // namespace briarfold::edge
