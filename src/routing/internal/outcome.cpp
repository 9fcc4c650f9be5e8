#include "routing/outcome.hpp"

#include <algorithm>
#include <array>

namespace briarfold::routing {

namespace {

/// Long enough for a queue of short requests to drain, and short enough for a kiosk to retry.
constexpr core::duration retry_after_overload{1000};

} // namespace

std::string_view to_string(outcome value)
{
    switch (value)
    {
    case outcome::answered:
        return "answered";
    case outcome::refused_not_run:
        return "refused-not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

bool is_retryable(std::string_view not_run_reason)
{
    constexpr std::array reasons = {not_run::not_owner, not_run::draining, not_run::unreachable,
                                    not_run::no_owner, not_run::stopping};
    return std::ranges::find(reasons, not_run_reason) != reasons.end();
}

wire::forward_result make_not_run(std::string_view step, std::string peer, std::string_view not_run_reason,
                                  std::string reason)
{
    wire::forward_result result;
    result.outcome = outcome::refused_not_run;
    result.status = status::unavailable;
    result.step = step;
    result.peer = std::move(peer);
    result.not_run_reason = not_run_reason;
    result.reason = std::move(reason);
    result.retry_after = retry_after_overload;
    return result;
}

wire::forward_result make_unknown(unsigned code, std::string_view step, std::string peer, std::string reason)
{
    wire::forward_result result;
    result.outcome = outcome::unknown;
    result.status = code;
    result.step = step;
    result.peer = std::move(peer);
    result.reason = std::move(reason);
    return result;
}

} // namespace briarfold::routing
