/// Functions of an adapter that reads and writes the platform's messages. The router itself knows no header
/// or field name.
#pragma once

#include "core/clock.hpp"
#include "directory/directory_types.hpp"
#include "dispatch/reported_load.hpp"
#include "grants/server_grants.hpp"
#include "http/http_types.hpp"
#include "routes/route_types.hpp"

#include <functional>
#include <optional>
#include <string>

namespace briarfold::edge {

/// Fields that the router reads from a caller's request.
struct request_head
{
    /// Id of one attempt of the caller; empty when it sent none.
    std::string attempt_id;
    /// Time for which the caller waits.
    std::optional<core::duration> deadline;
    std::optional<std::uint32_t> key;

    bool operator==(const request_head&) const = default;
};

/// Fields that the router reads from a backend server's answer.
struct response_head
{
    /// Id of the attempt to which the answer belongs; empty when the answer has none.
    std::string attempt_id;
    /// Whether the answer has proof that a backend server made it for this request.
    bool is_signed = false;
    /// The backend server states that it did not run the request.
    bool is_not_run = false;
    /// The backend server is not the expected one, or does not hold the key.
    bool is_misdirected = false;
    /// Time after which the backend server closes an idle connection; empty when not stated.
    std::optional<core::duration> keep_alive;
    /// The backend server closes the connection after this answer.
    bool closes_connection = false;
    /// Time for which a backend server that rejected the request wants none from this router; zero when not
    /// stated.
    core::duration retry_after;
    /// The backend server is about to end.
    bool is_leaving = false;
    /// Its load, when it reports one.
    std::optional<dispatch::reported_load> load;
    /// Time for which it remains cold, when it states one; 0 when it is warm.
    std::optional<core::duration> warmup_left;
    /// Whether the load or the time for which it remains cold is stated but not valid.
    bool has_malformed_load = false;

    bool operator==(const response_head&) const = default;
};

struct protocol
{
    std::function<request_head(const http::request&)> read_request;
    std::function<response_head(const http::response&)> read_response;
    /// Returns the request for one backend server, with the time left and the id of that backend server.
    std::function<http::request(http::request, core::duration left, const std::string& backend_server)>
        make_backend_request;
    /// Returns an answer that the router makes itself; without a retry time when `retry_after` is zero.
    std::function<http::response(unsigned status, const std::string& attempt_id, core::duration retry_after,
                                 const std::string& text)>
        make_refusal;
    std::function<bool(const http::request&)> is_readiness_probe;
    /// Returns the call that grants or releases keys. A backend server with another id answers that it is
    /// misdirected.
    std::function<http::request(const grants::grant_call&, const std::string& backend_server)>
        make_grant_request;
    /// Returns the handover token in the answer to a release; empty when there is none.
    std::function<std::string(const http::response&)> read_handover;
    /// Parses a configuration. Throws core::error for a document that is not one.
    std::function<routes::routing_config(const nlohmann::json&)> read_config;
    /// Parses a registration. Returns nothing when it names no usable backend server.
    std::function<std::optional<directory::registration>(const std::string& id, const nlohmann::json&)>
        read_registration;
};

} // namespace briarfold::edge
