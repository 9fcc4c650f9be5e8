/// The operator's routing configuration: which service answers which requests, and how.
#pragma once

#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::routes {

struct weighted_service
{
    std::string service;
    /// Share of the route's requests relative to the other weights.
    int weight = 1;

    bool operator==(const weighted_service&) const = default;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// At least one; several split the requests by weight.
    std::vector<weighted_service> services;
    bool is_idempotent = false;
    /// Maximum number of backend servers that may receive one request.
    int max_attempts = 1;
    /// Longest time from the request to its final answer.
    core::duration timeout;
    /// Time within which an answer has its full value.
    core::duration objective;
    /// 0 is the most urgent.
    int priority = 0;

    bool operator==(const route&) const = default;
};

struct service
{
    std::string name;
    std::string health_path;
    /// Maximum number of connections that one backend server accepts from all callers together.
    int max_connections = 1;
    /// Whether each key is held by one backend server under a grant.
    bool has_key_ownership = false;
    /// Time for which keys that arrive without a handover token remain slow.
    core::duration warmup;
    /// Requests a second that one backend server can handle while it is cold; 0 when that is not limited.
    double cold_requests_per_s = 0;
    /// Time for which a backend server is cold after its start.
    core::duration cold_time{3000};

    bool operator==(const service&) const = default;
};

/// Limits on what clients may send.
struct input_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = std::size_t{64} << 20U;
    core::duration head_timeout{3000};
    core::duration idle_timeout{15000};

    bool operator==(const input_limits&) const = default;
};

struct routing_config
{
    /// Rises with each configuration; 0 means that none is known.
    std::int64_t version = 0;
    std::vector<service> services;
    std::vector<route> routes;
    input_limits limits;

    bool operator==(const routing_config&) const = default;
};

} // namespace briarfold::routes
