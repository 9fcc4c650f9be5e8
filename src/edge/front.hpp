/// The front role: queues the requests for the backend servers that the directory assigns to this router,
/// sends them when a slot is free, and keeps the grants of their keys.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "edge/event_log.hpp"
#include "edge/front_types.hpp"
#include "edge/protocol.hpp"
#include "leader/leader_types.hpp"
#include "metrics/registry.hpp"
#include "routes/route_types.hpp"
#include "settings/edge_settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarfold::edge {

/// What the front uses of its router.
struct front_callbacks
{
    /// Memory for the answers of backend servers.
    std::shared_ptr<http::transfer_budget> budget;
    /// Returns when the leader last confirmed this router's assignments: the time at which the report that it
    /// answered was sent.
    std::function<core::time_point()> last_confirmation;
    /// Returns when the leader last proved that it leads: in an answer to a report that was sent then.
    std::function<core::time_point()> last_proof;
    /// Whether grants need a longer duration because no other router could take over.
    std::function<bool()> needs_outage_grants;
    /// Returns when the evacuation of an availability zone was learned of; nothing for a zone in service.
    std::function<std::optional<core::time_point>(const std::string& zone)> evacuated_since =
        [](const std::string&) { return std::optional<core::time_point>(); };
    /// Requests a report to the leader at once: keys were freed, a backend server became unreachable, or the
    /// assignments have to be confirmed.
    std::function<void()> request_report;
};

/// Not thread-safe: all calls on the executor's thread.
class front
{
public:
    front(core::asio::any_io_executor executor, settings::edge_settings settings, const protocol& adapter,
          event_log& log, metrics::registry& metrics, front_callbacks callbacks);
    ~front();

    /// Applies a new directory or configuration; reads the whole directory.
    void apply(const directory::snapshot& snapshot, const routes::routing_config& config);
    /// Applies the directory update that led to `snapshot`.
    void apply_change(const directory::snapshot& snapshot, const directory::update& change,
                      const routes::routing_config& config);
    /// Serves one request. The `not_run_reason` is "moved" when another router is the front now, "stopping"
    /// when this one ends before it could answer.
    core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> cancellation);
    /// Caps the deadlines of all requests at `latest`, when this process ends. Those whose work would
    /// probably last longer are refused with the `not_run_reason` "stopping", so that another front can serve
    /// them.
    void cap_deadlines(core::time_point latest);
    /// Records that a process of a backend server leaves, or that its registration is gone, ahead of the
    /// directory.
    void note_leaving(const leader::server_process& process, bool is_gone);
    /// Adds the observations of this front since the last report.
    void fill_report(leader::router_report& report);
    /// Refuses requests that cannot be served in time and sends due grants. Call it a few times per 100 ms.
    void tick();
    std::size_t in_flight() const;
    std::size_t queued() const;
    std::size_t servers() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
