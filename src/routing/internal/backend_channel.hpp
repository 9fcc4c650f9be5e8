/// State of the front for one backend server: its slots, connections and retry budget.
#pragma once

#include "core/cancellation.hpp"
#include "ownership/iownership.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "routing/internal/connection_pool.hpp"
#include "routing/internal/retry_budget.hpp"
#include "routing/internal/slot_gate.hpp"
#include "wire/frame_types.hpp"

#include <memory>

namespace briarfold::routing::internal {

using row_pointer = std::shared_ptr<const ownership::backend_server>;

/// A request that the channel serves.
struct channel_request
{
    wire::forward_request forward;
    core::time_point deadline;
    double weight = 1;
    double retry_share = 0;
    /// Value of the traceparent header sent to the backend server.
    std::string traceparent;
    std::shared_ptr<core::cancellation> cancel;
    /// A probe cancelled an earlier attempt. The backend server may still report the state of that attempt
    /// for the request id, so the state no longer describes the attempt that was sent again.
    bool was_cancelled_by_probe = false;
};

/// Not thread-safe. All calls on `strand()`.
class backend_channel : public std::enable_shared_from_this<backend_channel>
{
public:
    backend_channel(const core::asio::any_io_executor& executor, ownership::iownership& ownership,
                    routing_counters& counters, row_pointer row);

    const core::asio::any_io_executor& strand() const { return strand_; }
    /// Serves the request with the given row of the backend server, which may be newer than the row of the
    /// previous call.
    core::asio::awaitable<wire::forward_result> serve(std::shared_ptr<channel_request> request,
                                                      row_pointer row);

private:
    void update(const row_pointer& row);
    /// Returns the `not_run` reason why the request must not be sent now; empty when it may be sent.
    std::string refusal_reason(const wire::forward_request& request) const;
    bool may_send_unchecked(const wire::forward_request& request) const;
    core::asio::awaitable<wire::forward_result>
    attempt_with_retries(std::shared_ptr<channel_request> request);
    core::asio::awaitable<attempt_result> attempt(std::shared_ptr<channel_request> request,
                                                  core::duration probe_delay);
    core::asio::awaitable<wire::forward_result> resolve_timeout(std::shared_ptr<channel_request> request);
    core::asio::awaitable<void> hold_slot_until_finished(std::shared_ptr<channel_request> request,
                                                         core::time_point started);
    bool may_retry(const channel_request& request);
    void release(const channel_request& request, core::time_point started);

    core::asio::any_io_executor strand_;
    ownership::iownership& ownership_;
    routing_counters& counters_;
    row_pointer row_;
    std::string peer_;
    core::time_point leaving_since_;
    std::shared_ptr<slot_gate> gate_;
    std::shared_ptr<connection_pool> pool_;
    retry_budget budget_;
};

} // namespace briarfold::routing::internal
