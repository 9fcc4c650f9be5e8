/// Plain data of the frames between routers. Layout: docs/design.md section 5.4.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::wire {

/// What a caller may conclude about its request.
enum class outcome : std::uint8_t
{
    answered,
    /// Proven not to have run.
    refused_not_run,
    unknown
};

/// One request on its way to the front of a backend server.
struct forward_request
{
    std::string customer;
    std::string service;
    std::string key;
    /// The backend server that owned the key on the map of the entry.
    std::string backend_server;
    std::string method;
    /// Path and query after `/<service>`, with its leading slash.
    std::string target;
    /// The caller's headers that the backend server receives, such as Content-Type.
    std::vector<http::header> headers;
    std::string body;
    std::string request_id;
    /// Time left when the frame was written.
    core::duration deadline;
    bool is_idempotent = false;
    std::string traceparent;
    /// Name of the route that the request matched.
    std::string route;
    /// 0 is the most urgent.
    int priority = 0;
    /// Time left in which an answer has its full value to the caller; may be negative.
    core::duration objective;
    /// Number of backend servers that may receive the request.
    int max_attempts = 1;

    bool operator==(const forward_request&) const = default;
};

/// The front's account of what became of the request.
struct forward_result
{
    wire::outcome outcome = wire::outcome::unknown;
    unsigned status = 0;
    std::vector<http::header> headers;
    std::string body;
    /// For a refusal or an unknown outcome: where it happened and why.
    std::string step;
    std::string peer;
    std::string reason;
    /// not_owner, shed, draining, expired, cancelled, overload or stopping.
    std::string not_run_reason;
    core::duration retry_after;

    bool operator==(const forward_result&) const = default;
};

} // namespace briarfold::wire
