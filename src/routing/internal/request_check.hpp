/// Validation of a caller's request.
#pragma once

#include "http/http_types.hpp"
#include "routing/hooks.hpp"
#include "wire/frame_types.hpp"

#include <optional>
#include <string>

namespace briarfold::routing::internal {

/// A refusal before the request was routed; it did not run.
struct refusal
{
    refusal() = default;
    refusal(unsigned code, std::string where, std::string why, core::duration retry = {})
        : status(code), step(std::move(where)), reason(std::move(why)), retry_after(retry)
    {}

    unsigned status = 0;
    std::string step;
    std::string reason;
    core::duration retry_after;
};

/// A checked request, or the refusal.
struct checked_request
{
    checked_request() = default;

    std::optional<refusal> error;
    wire::forward_request request;
};

/// Fills in everything but the backend server. `request_id` is set also for a refusal when the caller's id is
/// valid, else generated.
checked_request check_request(http::request&& message, const routing_hooks& hooks);

} // namespace briarfold::routing::internal
