/// Data types carried by the frames between routers. Layout: docs/design.md section 5.4.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::wire {

/// What is known about the execution of a request, as reported to its caller.
enum class outcome : std::uint8_t
{
    answered,
    /// The request certainly did not run.
    refused_not_run,
    unknown
};

/// A request that a router forwards to the front of a backend server.
struct forward_request
{
    std::string customer;
    std::string service;
    std::string key;
    /// The owner of the key according to the map of the entry, the router that received the request.
    std::string backend_server;
    std::string method;
    /// Path and query after `/<service>`, including the leading slash.
    std::string target;
    /// Request headers that are passed on to the backend server, such as Content-Type.
    std::vector<http::header> headers;
    std::string body;
    std::string request_id;
    /// Time left until the deadline when the frame was written.
    core::duration deadline;
    /// Whether the deadline is the end of the entry's process, and the caller would wait for longer.
    bool is_entry_stopping = false;
    bool is_idempotent = false;
    std::string traceparent;
    /// Name of the route that the request matched.
    std::string route;
    /// 0 is the most urgent.
    int priority = 0;
    /// Time left in which an answer still meets the objective of the request; may be negative.
    core::duration objective;
    /// Maximum number of backend servers that may receive the request.
    int max_attempts = 1;
    /// Backend servers that received the request before, or may have.
    std::vector<std::string> tried_servers;
    /// Time that the client itself still waits, which may exceed `deadline`. Zero when a rejection is not
    /// passed on to the client, because the entry asks another front then.
    core::duration client_time_left;
    /// Whether the client was probably rejected before: its deadline is shorter than usual on its route.
    bool is_retry = false;

    bool operator==(const forward_request&) const = default;
};

/// The result that the front reports for a forwarded request.
struct forward_result
{
    wire::outcome outcome = wire::outcome::unknown;
    unsigned status = 0;
    std::vector<http::header> headers;
    std::string body;
    /// `step`, `peer` and `reason` give the place and cause of a refusal or an unknown outcome.
    std::string step;
    std::string peer;
    std::string reason;
    /// Cause of a refusal: not_owner, shed, draining, expired, cancelled, overload or stopping.
    std::string not_run_reason;
    core::duration retry_after;
    /// Whether the backend server `peer` received the request and another send may succeed. The front leaves
    /// it to the entry, which limits them.
    bool may_send_again = false;
    /// Requests that run and wait at the front for each slot of the service; negative when not known.
    double queue_load = -1;

    bool operator==(const forward_result&) const = default;
};

} // namespace briarfold::wire
