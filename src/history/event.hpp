/// One line of a history file: what a process did, and when on its clock. docs/design.md section 8.
#pragma once

#include "core/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::history {

enum class event_kind
{
    call,
    outcome,
    grant,
    grant_accepted,
    release,
    assignment,
    execute,
    drain,
    stop,
    contract_applied,
    /// A fault that a scenario began or ended; processes under a fault are exempt from time bounds.
    fault
};

std::string to_string(event_kind value);
/// Throws core::error.
event_kind parse_event_kind(const std::string& text);

/// `fields` holds the fields of the kind; the functions below build them. The writer sets `process` and, when
/// it is zero, `time`. All processes of one history run on one machine, so their CLOCK_BOOTTIME times
/// compare.
struct event
{
    event() = default;
    event(event_kind event_kind_value, nlohmann::json event_fields)
        : kind(event_kind_value), fields(std::move(event_fields))
    {}

    std::string process;
    core::time_point time;
    event_kind kind = event_kind::call;
    nlohmann::json fields = nlohmann::json::object();

    bool operator==(const event&) const = default;
};

/// One line of JSON without a line end.
std::string to_line(const event& value);
/// Throws core::error.
event parse_line(const std::string& line);

/// A caller sends a request; its request id is unique in the history.
event make_call(const std::string& request_id, const std::string& customer, const std::string& service,
                const std::string& key, bool is_idempotent);

/// What the caller was told. `answer_hash` is the hash of the body (core::text_hash in hex); `answer_id` is
/// the X-Request-Id of the answer; `peer` is the peer named in a refusal, else empty.
struct outcome_fields
{
    std::string request_id;
    /// `answered`, `refused-not-run` or `unknown`.
    std::string outcome;
    unsigned status = 0;
    std::string answer_id;
    std::string answer_hash;
    std::string peer;
    std::string reason;
};
event make_outcome(const outcome_fields& value);

/// A controller sends a grant.
event make_grant(const std::string& backend_server, std::int64_t epoch, const std::string& controller,
                 const std::string& nonce, std::int64_t slices_version);

/// A backend server accepts a grant. Slices as in the table row ("first-last").
struct grant_accepted_fields
{
    std::string backend_server;
    std::string service;
    std::string incarnation;
    std::int64_t epoch = 0;
    std::string controller;
    std::int64_t slices_version = 0;
    std::vector<std::string> slices;
    /// When the grant ends on the clock of the backend server.
    core::time_point valid_until;
};
event make_grant_accepted(const grant_accepted_fields& value);

/// A backend server gives up all its slices before the end of its grant.
event make_release(const std::string& backend_server, const std::string& incarnation);

/// A committed row `backend-server/<id>`. `source` is "store" when the table service writes the line at the
/// commit, "controller" when a router was told that its write committed.
struct assignment_fields
{
    std::string source;
    std::string backend_server;
    std::string service;
    std::string intent;
    std::int64_t row_version = 0;
    std::int64_t revision = 0;
    std::vector<std::string> slices;
};
event make_assignment(const assignment_fields& value);

/// A backend server applies the effect of a request.
struct execute_fields
{
    std::string request_id;
    std::string backend_server;
    std::string incarnation;
    std::string service;
    std::string key;
    std::int64_t epoch = 0;
    /// When the backend server received the request.
    core::time_point received;
    std::string answer_hash;
};
event make_execute(const execute_fields& value);

/// A backend server is marked as leaving.
event make_drain(const std::string& backend_server);

/// A backend server ends gracefully, with the number of requests that it leaves unanswered.
event make_stop(const std::string& backend_server, const std::string& incarnation, const std::string& address,
                std::size_t in_flight);

/// A router applies a contract version; `source` "store" when the table service commits it, else "router".
event make_contract_applied(const std::string& source, const std::string& customer, std::int64_t version);

/// A scenario begins or ends a fault; `targets` are names of processes.
event make_fault(const std::string& name, bool is_begin, const std::vector<std::string>& targets);

} // namespace briarfold::history
