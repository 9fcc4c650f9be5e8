/// Inputs and outputs of the ownership protocol's state machines. They hold no I/O, so the protocol is tested
/// with simulated clocks, networks and pauses.
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

/// `POST /grant`, or `GET /health` of a backend server that does not check grants. An empty nonce only asks
/// for the state and a nonce.
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

/// A transaction; repeated with the same operation id until its outcome is known.
struct commit_request
{
    std::string operation_id;
    std::vector<store::row_write> writes;
};

/// Asks `to` to stop vouching for `controller` (a witness), or to stop acting (the controller itself), for
/// the row at `epoch` and below. `witnesses` is the list that belongs to the epoch.
struct fence_request
{
    std::string to;
    std::string server;
    std::string controller;
    std::vector<std::string> witnesses;
    std::int64_t epoch = 0;
};

/// `age`: from a witness the age of the last heartbeat it may have answered; from the controller itself the
/// age of the last nonce it used, absent when it used none.
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

/// Tells a controller of rows that were changed for it.
struct row_push
{
    std::string to;
    std::vector<store::row> rows;
};

/// Asks a router to take the row over.
struct hand_over_request
{
    std::string to;
    std::string server;
};

/// A router that this one monitors fell silent.
struct suspicion_report
{
    std::string instance_id;
};

/// Asks a backend server for its state without changing it, to learn whether it answers.
struct liveness_probe
{
    std::string server;
    http::endpoint address;
};

/// `POST /drain` or `POST /stop`.
struct lifecycle_order
{
    std::string server;
    http::endpoint address;
    bool is_stop = false;
    std::int64_t epoch = 0;
    std::string operation_id;
};

/// A move that was asked for through iownership::move ended.
struct move_end
{
    std::int64_t wish = 0;
    bool is_done = false;
};

using action = std::variant<grant_request, commit_request, fence_request, heartbeat_request, row_push,
                            hand_over_request, suspicion_report, liveness_probe, lifecycle_order, move_end>;
using actions = std::vector<action>;

/// A backend server's row as this router knows it.
struct known_row
{
    backend_server server;
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::string operation_id;
};

std::string row_key(const std::string& server_id);

} // namespace briarfold::ownership::internal
