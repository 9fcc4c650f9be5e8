/// The three outcomes reported to a caller, and functions that build results with them.
#pragma once

#include "wire/frame_types.hpp"

#include <string>
#include <string_view>

namespace briarfold::routing {

using wire::outcome;

/// Returns "answered", "refused-not-run" or "unknown", the values of the header X-Briarfold-Outcome.
std::string_view to_string(outcome value);

namespace status {

constexpr unsigned bad_request = 400;
constexpr unsigned forbidden = 403;
constexpr unsigned not_found = 404;
constexpr unsigned too_many_requests = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

} // namespace status

/// Values of `not_run_reason`. After the first five, the entry retries on a newer map or after a short wait.
namespace not_run {

constexpr std::string_view not_owner = "not_owner";
constexpr std::string_view draining = "draining";
constexpr std::string_view unreachable = "unreachable";
constexpr std::string_view no_owner = "no_owner";
constexpr std::string_view stopping = "stopping";
constexpr std::string_view shed = "shed";
constexpr std::string_view overload = "overload";
constexpr std::string_view expired = "expired";
constexpr std::string_view cancelled = "cancelled";

} // namespace not_run

/// Returns whether the entry may retry a request that was refused for this reason: at another front, or on a
/// newer map.
bool is_retryable(std::string_view not_run_reason);

/// Returns a result with the outcome refused_not_run, status 503 and `retry_after` set.
wire::forward_result make_not_run(std::string_view step, std::string peer, std::string_view not_run_reason,
                                  std::string reason);
/// Returns a result with the outcome unknown. `code` is the HTTP status, 502 or 504.
wire::forward_result make_unknown(unsigned code, std::string_view step, std::string peer, std::string reason);

} // namespace briarfold::routing
