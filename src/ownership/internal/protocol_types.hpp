/// Inputs and outputs of the ownership protocol's state machines. The state machines perform no I/O, so that
/// tests can simulate clocks, networks and pauses.
#pragma once

#include "core/clock.hpp"
#include "ownership/ownership_types.hpp"
#include "store/store_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarfold::ownership::internal {

/// A `POST /grant`, or a `GET /health` for a backend server that does not check grants. A request with an
/// empty nonce grants nothing and only asks for the state and a nonce.
struct grant_request
{
    std::int64_t exchange = 0;
    std::string server;
    http::endpoint address;
    bool checks_grants = true;
    std::int64_t epoch = 0;
    std::string nonce;
    std::int64_t slices_version = 0;
    std::optional<std::vector<slice>> slices;
};

struct grant_reply
{
    bool is_accepted = false;
    std::string reason;
    std::string next_nonce;
    std::string incarnation;
    std::int64_t epoch = 0;
    std::int64_t slices_version = 0;
    std::int64_t draining = 0;
};

/// A transaction that is repeated with the same operation id until its outcome is known.
struct commit_request
{
    std::string operation_id;
    std::vector<store::row_write> writes;
};

/// Asks `to` to stop vouching for `controller` if it is a witness, or to stop acting if it is the controller
/// itself, for the row at `epoch` and below. `witnesses` is the witness list of that epoch.
struct fence_request
{
    std::string to;
    std::string server;
    std::string controller;
    std::vector<std::string> witnesses;
    std::int64_t epoch = 0;
};

/// The answer to a fence_request. A witness sets `age` to the age of the last heartbeat that it may have
/// answered. The controller sets it to the age of the last nonce that it used; absent when it used none.
struct fence_answer
{
    bool is_promised = false;
    bool is_from_controller = false;
    std::optional<core::duration> age;
};

struct heartbeat_request
{
    std::string to;
    std::int64_t seq = 0;
};

/// Rows that a witness no longer vouches for, with the highest epoch that the promise covers.
using fenced_rows = std::map<std::string, std::int64_t>;

/// Sends a controller rows under its control that this router has changed.
struct row_push
{
    std::string to;
    std::vector<store::row> rows;
};

/// Asks a router to take over the row.
struct hand_over_request
{
    std::string to;
    std::string server;
};

/// Reports that a router monitored by this one has fallen silent.
struct suspicion_report
{
    std::string instance_id;
};

/// Checks whether a backend server answers, without changing its state.
struct liveness_probe
{
    std::string server;
    http::endpoint address;
};

/// A `POST /drain`, or a `POST /stop` when `is_stop` is set.
struct lifecycle_order
{
    std::string server;
    http::endpoint address;
    bool is_stop = false;
    std::int64_t epoch = 0;
    std::string operation_id;
};

/// Reports the end of a move that was requested through iownership::move.
struct move_end
{
    std::int64_t move_id = 0;
    bool is_committed = false;
};

using action = std::variant<grant_request, commit_request, fence_request, heartbeat_request, row_push,
                            hand_over_request, suspicion_report, liveness_probe, lifecycle_order, move_end>;
using actions = std::vector<action>;

/// The newest version of a backend server's row that this router knows.
struct known_row
{
    backend_server server;
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::string operation_id;
};

std::string row_key(const std::string& server_id);

} // namespace briarfold::ownership::internal
