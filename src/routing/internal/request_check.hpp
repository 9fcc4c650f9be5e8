/// Validation of a caller's request.
#pragma once

#include "http/http_types.hpp"
#include "routing/hooks.hpp"
#include "wire/frame_types.hpp"

#include <optional>
#include <string>

namespace briarfold::routing::internal {

/// A refusal of a request before it is routed. The request did not run.
struct refusal
{
    refusal() = default;
    refusal(unsigned code, std::string refused_step, std::string refusal_reason, core::duration retry = {})
        : status(code), step(std::move(refused_step)), reason(std::move(refusal_reason)), retry_after(retry)
    {}

    unsigned status = 0;
    std::string step;
    std::string reason;
    core::duration retry_after;
};

/// A valid request, or the refusal in `error`.
struct checked_request
{
    checked_request() = default;

    std::optional<refusal> error;
    wire::forward_request request;
};

/// Validates the message and fills in every field of the request but the backend server. `request_id` is set
/// even on a refusal: to the caller's id if that is valid, otherwise to a generated one.
checked_request check_request(http::request&& message, const routing_hooks& hooks);

} // namespace briarfold::routing::internal
