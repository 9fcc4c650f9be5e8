/// Data types of the front role.
#pragma once

#include "core/cancellation.hpp"
#include "directory/directory_types.hpp"
#include "dispatch/cold_phase.hpp"
#include "dispatch/reported_load.hpp"
#include "dispatch/slot_limit.hpp"
#include "dispatch/slot_queue.hpp"
#include "dispatch/work_estimate.hpp"
#include "edge/backend_link.hpp"
#include "grants/server_grants.hpp"
#include "wire/frame_types.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarfold::edge::internal {

struct fronted_server;

/// One request at the front, from its arrival to its result.
struct pending_request
{
    explicit pending_request(const core::asio::any_io_executor& executor) : wake_timer(executor) {}

    std::uint64_t id = 0;
    wire::forward_request request;
    dispatch::waiting_request waiting;
    core::time_point arrived;
    /// Cancelled to resume the request when it is assigned to a backend server, refused or cancelled.
    core::asio::steady_timer wake_timer;
    std::shared_ptr<fronted_server> server;
    /// Set instead of `server` when the request ends without another send.
    std::optional<wire::forward_result> early_result;
    std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    core::time_point sent;
    double expected_ms = 0;
    std::set<std::string> tried_servers;
    int send_count = 0;
};

/// Requests that share a queue: those of one backend server with keys, or of one service without keys.
struct request_pool
{
    std::string name;
    std::string service;
    dispatch::slot_queue queue;
    /// All waiting requests of the pool, by id.
    std::map<std::uint64_t, std::shared_ptr<pending_request>> waiting;
    std::vector<std::shared_ptr<fronted_server>> servers;
    /// Waiting requests whose key is not granted yet.
    std::vector<dispatch::waiting_request> awaiting_grant;
    /// Mean work of the requests that arrive, on an average backend server; 0 before the first.
    double mean_work_ms = 0;
};

/// Backend server for which this router is the front.
struct fronted_server
{
    explicit fronted_server(const directory::entry& item) : entry(item), limit(item.server.slots) {}

    directory::entry entry;
    std::shared_ptr<request_pool> pool;
    std::shared_ptr<backend_link> link;
    /// Separate connections for the calls that grant and release keys.
    std::shared_ptr<backend_link> control_link;
    std::optional<grants::server_grants> grants;
    dispatch::slot_limit limit;
    std::set<std::shared_ptr<pending_request>> running;
    bool is_grant_pending = false;
    /// Fencing token of the last accepted grant.
    std::int64_t accepted_token = 0;
    std::optional<core::time_point> unreachable_since;
    core::time_point last_probe;
    /// The last grant that got no proper answer over an open connection, unless a call was answered since.
    std::optional<grants::grant_call> unanswered_grant;
    /// Whether another backend server answered a call at the address, so that a connection proves nothing.
    bool is_replaced = false;
    /// Whether it accepted a grant of this front at its present address.
    bool has_accepted_grant = false;
    /// When the last grant that it accepted or may have accepted was answered or lost.
    core::time_point last_grant_end;
    /// Whether its process has ended, as another backend server answers at the address.
    bool has_ended = false;
    /// Keys that were reported as free.
    keyspace::key_set reported_free;
    /// When it last answered a call or request.
    core::time_point last_answer;
    /// Since when this front knows that it leaves, from its answers or a deputy. The leader may know seconds
    /// later.
    std::optional<core::time_point> leaving_since;
    /// When a deputy told that its registration is gone. It may register again.
    std::optional<core::time_point> gone_at;
    bool is_in_evacuated_zone = false;
    bool is_removed = false;
    dispatch::cold_phase cold;
    dispatch::load_record load;
    /// Time for which it is cold after a start.
    core::duration cold_time;
    /// Path of its health checks; empty when it gets none.
    std::string health_path;
    core::time_point last_health_check;
    bool is_health_check_pending = false;

    /// Records that it may have become cold, which holds for `span` or until it answers a health check. The
    /// next health check is due at once.
    void assume_cold(core::time_point now, core::duration span)
    {
        cold.assume_cold(span, now);
        last_health_check = {};
    }
    bool is_keyed() const { return grants.has_value(); }
};

} // namespace briarfold::edge::internal
