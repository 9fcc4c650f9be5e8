/// The front role: holds the requests for the backend servers that the directory assigns to this router,
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

namespace briarfold::edge {

/// What the front asks of its surroundings.
struct front_hooks
{
    /// When the leader last confirmed this router's assignments, counted from the question.
    std::function<core::time_point()> authority;
    /// Whether grants are to last long because no other router could take over.
    std::function<bool()> needs_long_hold;
    /// Keys were freed, a backend server became unreachable, or the assignments have to be confirmed: report
    /// to the leader now.
    std::function<void()> report_soon;
};

/// Used on one thread.
class front
{
public:
    front(core::asio::any_io_executor executor, settings::edge_settings settings, const protocol& hooks,
          event_log& log, metrics::registry& metrics, front_hooks surroundings);
    ~front();

    /// Follows a new directory or configuration; reads all of the directory.
    void apply(const directory::snapshot& known, const routes::routing_config& config);
    /// Follows the change of the directory that led to `known`.
    void apply_change(const directory::snapshot& known, const directory::update& change,
                      const routes::routing_config& config);
    /// Serves one request. The result says moved when another router is the front now.
    core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> departure);
    /// Adds what this front observed since the last report.
    void fill_report(leader::router_report& report);
    /// Ends requests that cannot be served in time and makes due grants; call a few times in 100 ms.
    void tick();
    std::size_t in_flight() const;
    std::size_t queued() const;
    std::size_t servers() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::edge
