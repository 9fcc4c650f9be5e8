/// Data of the front role.
#pragma once

#include "core/cancellation.hpp"
#include "directory/directory_types.hpp"
#include "dispatch/retry_budget.hpp"
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
struct job
{
    explicit job(const core::asio::any_io_executor& executor) : wake(executor) {}

    std::uint64_t id = 0;
    wire::forward_request request;
    dispatch::waiting_request waiting;
    core::time_point arrived;
    /// Ends when the request is assigned to a backend server, refused or cancelled.
    core::asio::steady_timer wake;
    std::shared_ptr<fronted_server> server;
    /// Set instead of `server` when the request ends without being sent again.
    std::optional<wire::forward_result> ended;
    std::shared_ptr<exchange_handle> handle = std::make_shared<exchange_handle>();
    core::time_point sent;
    double expected_ms = 0;
    std::set<std::string> tried;
    int sends = 0;
    bool was_cut = false;
};

/// Requests that share a queue: those of one backend server with keys, or of a service without.
struct work_pool
{
    std::string name;
    std::string service;
    dispatch::slot_queue queue;
    /// All requests of the pool that wait.
    std::map<std::uint64_t, std::shared_ptr<job>> waiting;
    std::vector<std::shared_ptr<fronted_server>> servers;
    /// Requests whose key is not granted yet.
    std::vector<dispatch::waiting_request> parked;
};

/// A backend server whose front is this router.
struct fronted_server
{
    explicit fronted_server(const directory::entry& item) : entry(item), limit(item.server.slots) {}

    directory::entry entry;
    std::shared_ptr<work_pool> pool;
    std::shared_ptr<backend_link> link;
    /// Calls that grant and release keys use connections of their own.
    std::shared_ptr<backend_link> control;
    std::optional<grants::server_grants> grants;
    dispatch::slot_limit limit;
    std::set<std::shared_ptr<job>> running;
    bool is_granting = false;
    std::optional<core::time_point> unreachable_since;
    core::time_point last_probe;
    bool is_removed = false;

    bool is_keyed() const { return grants.has_value(); }
};

} // namespace briarfold::edge::internal
