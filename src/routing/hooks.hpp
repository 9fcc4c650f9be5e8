/// Hooks through which routing uses contracts, limits, history and tracing. Every hook may be empty.
#pragma once

#include "core/clock.hpp"
#include "routing/outcome.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarfold::routing {

/// The terms of a customer's contract that routing applies.
struct customer_terms
{
    customer_terms() = default;

    /// Services that the customer may call. Empty: all services.
    std::vector<std::string> services;
    /// Weight of the customer in the queue for the slots of a backend server.
    double slot_share = 1;
    core::duration default_deadline{10000};
    core::duration max_deadline{60000};
    /// Maximum ratio of retries to requests.
    double retry_budget = 0.1;
    std::vector<std::string> idempotent_methods{"GET", "HEAD", "PUT", "DELETE"};

    bool allows(std::string_view service) const;
    bool is_idempotent(std::string_view method) const;
};

/// The terms of a customer. If `terms` is null, the customer is unknown when `is_certain` is true; otherwise
/// this router cannot tell yet.
struct terms_result
{
    terms_result() = default;
    explicit terms_result(std::shared_ptr<const customer_terms> value, bool certain = true)
        : terms(std::move(value)), is_certain(certain)
    {}

    std::shared_ptr<const customer_terms> terms;
    bool is_certain = true;
};

/// A decision of the limiter. The entry keeps `permit` until the request has its outcome.
struct admission
{
    admission() = default;

    bool is_admitted = true;
    std::string reason;
    core::duration retry_after;
    /// The refusal may end within milliseconds, when a request in flight ends or this router gets a larger
    /// share of the limit.
    bool is_transient = false;
    std::shared_ptr<void> permit;
};

struct call_event
{
    call_event() = default;

    std::string request_id;
    std::string customer;
    std::string service;
    std::string key;
    bool is_idempotent = false;
};

struct outcome_event
{
    outcome_event() = default;

    std::string request_id;
    routing::outcome outcome = routing::outcome::unknown;
    unsigned status = 0;
    /// X-Request-Id header of the answer.
    std::string answer_id;
    std::string body;
    std::string peer;
    std::string reason;
};

/// One hop of a request. Ids have the format of W3C traceparent; times are CLOCK_REALTIME.
struct span
{
    span() = default;

    std::string trace_id;
    std::string span_id;
    std::string parent_span_id;
    std::string request_id;
    /// Role that handled the hop: "entry" or "front".
    std::string name;
    core::time_point start;
    core::time_point end;
    std::string service;
    std::string backend_server;
    unsigned status = 0;
    routing::outcome outcome = routing::outcome::unknown;
};

struct routing_hooks
{
    routing_hooks() = default;

    /// Returns the terms of a customer. Empty: every customer is known and has the default terms.
    std::function<terms_result(const std::string& customer)> terms;
    /// Decides whether a request is admitted. Empty: every request is admitted.
    std::function<admission(const std::string& customer, const std::string& service)> admit;
    std::function<void(const call_event&)> on_call;
    std::function<void(const outcome_event&)> on_outcome;
    std::function<void(const span&)> on_span;
};

/// Returns the result of the hook `terms`, or the default terms if the hook is empty.
terms_result find_terms(const routing_hooks& hooks, const std::string& customer);

} // namespace briarfold::routing
