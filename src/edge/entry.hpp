/// The entry role: accepts requests from callers, finds the front that serves them and returns the answer.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "directory/owner_index.hpp"
#include "dispatch/front_choice.hpp"
#include "dispatch/retry_budget.hpp"
#include "edge/event_log.hpp"
#include "edge/protocol.hpp"
#include "metrics/registry.hpp"
#include "routes/route_table.hpp"
#include "wire/frame_types.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace briarfold::edge {

struct entry_settings
{
    /// Name and availability zone of this router.
    std::string name;
    std::string zone;
    dispatch::retry_budget_settings retries;

    bool operator==(const entry_settings&) const = default;
};

struct entry_callbacks
{
    /// Passes a request to the front role of this router.
    std::function<core::asio::awaitable<wire::forward_result>(wire::forward_request,
                                                              std::shared_ptr<core::cancellation>)>
        serve_locally;
    /// Forwards a request to another router. Throws wire::link_error or core::timeout_error.
    std::function<core::asio::awaitable<wire::forward_result>(http::endpoint, wire::forward_request,
                                                              std::shared_ptr<core::cancellation>)>
        forward_to_router;
    /// Returns whether the configuration in force is recent enough to say that a route does not exist; may
    /// look for a newer one first.
    std::function<core::asio::awaitable<bool>()> await_current_config;
};

/// Not thread-safe: all calls on the executor's thread.
class entry
{
public:
    entry(core::asio::any_io_executor executor, entry_settings settings, const protocol& adapter,
          event_log& log, metrics::registry& metrics, entry_callbacks callbacks);

    /// Applies the directory update that led to `snapshot` and wakes the requests that wait for a change.
    void apply(const directory::snapshot& snapshot, const directory::update& change);
    /// Leaves the backend servers of these availability zones out; those with keys stay until their keys are
    /// moved. `snapshot` is the directory in force.
    void set_evacuated_zones(const directory::snapshot& snapshot, std::set<std::string> zones);
    /// Applies a configuration. Returns false when it is not newer than the one in force.
    bool apply(routes::routing_config config);
    const routes::route_table& routes() const { return routes_; }

    /// Handles one request of a caller and returns its answer.
    core::asio::awaitable<http::response> handle(http::request message,
                                                 std::shared_ptr<core::cancellation> cancellation);
    /// Whether a request may be processed concurrently with others of its connection: its route is
    /// idempotent. False while no route is known for it.
    bool may_run_concurrently(const http::request& message) const;
    /// Refuses all later requests at once, since their answers would come after the end of this process.
    void refuse_new() { is_refusing_ = true; }
    /// Has all requests answered by `latest`, before this process ends. Those that have been passed on keep
    /// their deadlines.
    void cap_deadlines(core::time_point latest) { process_end_ = latest; }
    std::size_t in_flight() const { return in_flight_; }

private:
    struct request_context;
    struct destination
    {
        std::string backend_server;
        std::string front;
        /// The owner is unreachable, so its keys have no service until their grants end.
        bool is_out_of_service = false;
    };

    core::asio::awaitable<http::response> route(request_context& context,
                                                std::shared_ptr<core::cancellation> cancellation);
    core::asio::awaitable<wire::forward_result> send(request_context& context, destination to,
                                                     std::shared_ptr<core::cancellation> cancellation);
    /// Whether the front refused a request within the last second because it ends before it could answer.
    bool is_stopping(const std::string& front, core::time_point now) const;
    /// Returns where to send the request, or nothing while no front can serve it.
    std::optional<destination> find_destination(const request_context& context);
    std::optional<destination> find_owner(const std::string& service, std::uint32_t key) const;
    std::optional<destination> find_group(const request_context& context);
    /// Returns the fronts of a service without key ownership.
    std::vector<dispatch::front_option> list_fronts(const std::string& service, core::time_point now) const;
    /// Whether another front may have room for a request that one front has no room for.
    bool may_ask_another_front(const request_context& context, const std::string& front,
                               core::time_point now) const;
    /// Waits at most `limit` for a change of the directory or of the evacuated zones.
    core::asio::awaitable<void> await_change(core::duration limit);
    void wake_waiting();
    /// Whether the front gave the request back since it has no room or no backend server for it.
    static bool has_no_room(const wire::forward_result& result);
    /// Returns a refusal, or nothing when the request can be routed or has no route.
    std::optional<http::response> prepare(request_context& context, http::request& message);
    /// The same for a request without a route, once the configuration in force is known to be current.
    core::asio::awaitable<std::optional<http::response>> prepare_unrouted(request_context& context,
                                                                          http::request& message);
    /// Records which backend server received the request, or may have.
    static void record_send(request_context& context, const destination& to,
                            const wire::forward_result& result);
    /// Decides on every send of a request beyond the first that may have reached a backend server. Takes a
    /// retry from the budget of the service and returns true, or returns false.
    bool take_retry(const request_context& context);
    /// Fraction of the slack of the retry budgets that this router may use.
    double retry_share() const;
    dispatch::retry_budget& find_retry_budget(const std::string& service);
    http::response finish(const request_context& context, wire::forward_result result);
    http::response make_answer(const request_context& context, wire::forward_result result);
    /// Ends a request that was not answered by its last send: with the failure that a backend server answered
    /// before, else with a refusal.
    http::response end_unanswered(const request_context& context, unsigned status, core::duration retry_after,
                                  const std::string& reason);
    http::response refuse(const request_context& context, unsigned status, core::duration retry_after,
                          const std::string& reason);
    /// Returns when the request must have its answer: at its deadline, or when this process ends.
    core::time_point answer_limit(const request_context& context) const;
    wire::forward_request make_forward(const request_context& context) const;
    void record_result(const request_context& context, const destination& to,
                       const wire::forward_result& result);

    core::asio::any_io_executor executor_;
    entry_settings settings_;
    const protocol& adapter_;
    event_log& log_;
    metrics::registry& metrics_;
    metrics::counter& answered_;
    /// Metrics by status and by service. Finding a metric in the registry by its labels costs more than a
    /// request's other lookups.
    std::map<unsigned, metrics::counter*> refused_;
    std::map<std::string, metrics::summary*> latencies_;
    std::map<std::string, dispatch::retry_budget> retry_budgets_;
    entry_callbacks callbacks_;
    routes::route_table routes_;
    std::map<std::string, http::endpoint> router_peers_;
    std::map<std::string, std::string> router_zones_;
    directory::owner_index owners_;
    /// By service without key ownership.
    std::map<std::string, dispatch::front_choice> front_choices_;
    /// Longest deadline of all requests so far, by route: that of first attempts.
    std::map<std::string, core::duration> max_deadline_;
    /// Time at which a front last refused a request because it ends before it could answer.
    std::map<std::string, core::time_point> stopping_fronts_;
    std::list<core::asio::steady_timer*> waiting_;
    std::int64_t revision_ = 0;
    directory::generation term_;
    std::size_t in_flight_ = 0;
    bool is_refusing_ = false;
    std::optional<core::time_point> process_end_;
};

} // namespace briarfold::edge
