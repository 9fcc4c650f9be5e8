/// The witness's side of the protocol: answers heartbeats, promises fences, and suspects silent routers.
#pragma once

#include "ownership/internal/protocol_types.hpp"

namespace briarfold::ownership::internal {

class witness
{
public:
    explicit witness(std::string self) : self_(std::move(self)) {}

    /// Returns the fenced rows that the voucher names.
    fenced_rows on_heartbeat(const std::string& from, core::time_point now);
    /// Records since when the row has listed this router as a witness, in its current epoch and in those of
    /// its predecessors.
    void on_row(const backend_server& server, core::time_point now);
    /// Promises not to vouch for the controller's row at the epoch of the request and below.
    fence_answer on_fence(const fence_request& request, core::time_point now);
    /// Returns the routers that sent heartbeats and have been silent for timing::suspicion_timeout. Each is
    /// returned once until its next heartbeat.
    std::vector<std::string> tick(core::time_point now);
    /// Marks a router that stopped by itself, so that tick() does not return it.
    void suppress_suspicion(const std::string& instance_id);
    /// Returns how long a router has been silent; empty when it never sent a heartbeat.
    std::optional<core::duration> silence(const std::string& instance_id, core::time_point now) const;
    std::size_t promise_count() const;

private:
    struct monitored_router
    {
        core::time_point last_heard;
        bool is_suspected = false;
    };
    struct listing
    {
        std::vector<std::string> witnesses;
        std::int64_t epoch = 0;
        core::time_point since;
    };

    struct promise
    {
        std::int64_t epoch = 0;
        /// Time of the last heartbeat before the promise. Later ones do not cover the row.
        core::time_point last_heard;
    };

    core::time_point silence_start(const monitored_router& router) const;

    std::string self_;
    std::map<std::string, monitored_router> monitored_;
    /// Promises by controller and row. Kept for the life of the process, as a controller may be paused for
    /// any length of time. Each takeover adds about 100 bytes.
    std::map<std::string, std::map<std::string, promise>> promises_;
    std::map<std::string, std::vector<listing>> listings_;
    core::time_point last_tick_{};
    core::time_point monitoring_since_{};
};

} // namespace briarfold::ownership::internal
