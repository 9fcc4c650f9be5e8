/// The witness's side: answers heartbeats, promises fences, and suspects routers that fall silent.
#pragma once

#include "ownership/internal/protocol_types.hpp"

namespace briarfold::ownership::internal {

class witness
{
public:
    explicit witness(std::string self) : self_(std::move(self)) {}

    /// Returns the fenced rows that the voucher names.
    fenced_rows on_heartbeat(const std::string& from, core::time_point now);
    /// Notes since when a row lists its controller and witnesses, in the current entry and the predecessors.
    void on_row(const backend_server& server, core::time_point now);
    /// Promises not to vouch for the controller's row at `epoch` and below.
    fence_answer on_fence(const fence_request& request, core::time_point now);
    /// Routers that sent heartbeats and have been silent for the suspicion time. Each is reported once until
    /// it is heard again.
    std::vector<std::string> tick(core::time_point now);
    /// The router ended by itself.
    void forget(const std::string& instance_id);
    /// Silence of a monitored router; empty when it never sent a heartbeat.
    std::optional<core::duration> silence(const std::string& instance_id, core::time_point now) const;
    std::size_t promises() const;

private:
    struct monitored
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
        /// The last heartbeat when the promise was made; later ones do not cover the row.
        core::time_point last_heard;
    };

    core::time_point last_alive(const monitored& router) const;

    std::string self_;
    std::map<std::string, monitored> heard_;
    /// Promised epoch by controller and row. Kept for the life of the process: a controller may be paused for
    /// any time, and a promise takes about 100 bytes for each takeover.
    std::map<std::string, std::map<std::string, promise>> promises_;
    std::map<std::string, std::vector<listing>> listings_;
    core::time_point last_tick_{};
    core::time_point watching_since_{};
};

} // namespace briarfold::ownership::internal
