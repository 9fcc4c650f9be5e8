/// The entry role: takes requests from callers, finds the front that serves them and returns the answer.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "directory/owner_index.hpp"
#include "edge/event_log.hpp"
#include "edge/protocol.hpp"
#include "metrics/registry.hpp"
#include "routes/route_table.hpp"
#include "wire/frame_types.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace briarfold::edge {

struct entry_hooks
{
    /// Serves a request at the front role of this router.
    std::function<core::asio::awaitable<wire::forward_result>(wire::forward_request,
                                                              std::shared_ptr<core::cancellation>)>
        serve_here;
    /// Sends a request to another router. Throws wire::link_error or core::timeout_error.
    std::function<core::asio::awaitable<wire::forward_result>(http::endpoint, wire::forward_request,
                                                              std::shared_ptr<core::cancellation>)>
        serve_there;
};

/// Used on one thread.
class entry
{
public:
    entry(core::asio::any_io_executor executor, std::string name, std::string zone, const protocol& hooks,
          event_log& log, metrics::registry& metrics, entry_hooks surroundings);

    /// Follows a new directory; requests that wait for one look again.
    void apply(const directory::snapshot& known, const directory::update& change);
    /// Returns false when the configuration is not newer than the one in force.
    bool apply(routes::routing_config config);
    const routes::route_table& routes() const { return routes_; }

    /// Answers one request of a caller.
    core::asio::awaitable<http::response> handle(http::request message,
                                                 std::shared_ptr<core::cancellation> departure);
    /// From now on requests are refused at once, since their answers would come after the end of this
    /// process.
    void refuse_new() { is_refusing_ = true; }
    /// No request that comes from now on may take longer than until `latest`, since this process ends then.
    void end_by(core::time_point latest) { latest_end_ = latest; }
    std::size_t in_flight() const { return in_flight_; }

private:
    struct call;
    struct destination
    {
        std::string backend_server;
        std::string front;
        /// The keys are known to have no service for a while.
        bool is_out_of_service = false;
    };

    core::asio::awaitable<http::response> route(call& item, std::shared_ptr<core::cancellation> departure);
    core::asio::awaitable<wire::forward_result> send(call& item, destination to,
                                                     std::shared_ptr<core::cancellation> departure);
    /// Empty while no front can serve the request.
    std::optional<destination> find_destination(const call& item) const;
    std::optional<destination> find_owner(const std::string& service, std::uint32_t key) const;
    std::optional<destination> find_group(const call& item) const;
    /// Waits for a change of the directory, at most `limit`.
    core::asio::awaitable<void> await_change(core::duration limit);
    std::optional<http::response> prepare(call& item, http::request& message);
    http::response finish(const call& item, wire::forward_result result);
    http::response refuse(const call& item, unsigned status, core::duration retry_after,
                          const std::string& reason);
    wire::forward_request make_forward(const call& item) const;

    core::asio::any_io_executor executor_;
    std::string name_;
    std::string zone_;
    const protocol& hooks_;
    event_log& log_;
    metrics::registry& metrics_;
    metrics::counter& answered_;
    /// By status and by service; the registry finds a metric by its labels, which costs more than a request's
    /// other lookups.
    std::map<unsigned, metrics::counter*> refused_;
    std::map<std::string, metrics::summary*> latencies_;
    entry_hooks surroundings_;
    routes::route_table routes_;
    std::map<std::string, http::endpoint> router_peers_;
    std::map<std::string, std::string> router_zones_;
    directory::owner_index owners_;
    std::map<std::string, int> sent_to_group_;
    /// Longest time that callers of a route allow: the deadline of first attempts.
    std::map<std::string, core::duration> longest_deadline_;
    std::list<core::asio::steady_timer*> waiting_;
    std::int64_t revision_ = 0;
    std::int64_t term_ = 0;
    std::size_t in_flight_ = 0;
    bool is_refusing_ = false;
    std::optional<core::time_point> latest_end_;
};

} // namespace briarfold::edge
