#include "edge/internal/front_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

using core::clock;

constexpr unsigned first_server_failure = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
/// Keys whose owner is gone are granted to another backend server within about this time.
constexpr core::duration max_owner_retry_after{1200};
/// Maximum number of sends of one request, including the first.
constexpr int max_sends = 4;

} // namespace

bool front::state::take_retry(pending_request& pending, core::time_point now)
{
    const bool has_time = static_cast<double>((pending.waiting.deadline - now).ms) > pending.expected_ms &&
                          pending.send_count < max_sends;
    // Keys stay at their owner, so a retry reaches no other backend server.
    const bool has_attempts = !pending.request.key.empty() ||
                              static_cast<int>(pending.tried_servers.size()) < pending.request.max_attempts;
    const auto budget = retry_budgets.find(pending.request.service);
    if (!has_time || !has_attempts || budget == retry_budgets.end())
    {
        return false;
    }
    const bool is_allowed = budget->second.take(slack_share(), now);
    log.write("retry", {{"request", pending.request.request_id},
                        {"service", pending.request.service},
                        {"allowed", is_allowed},
                        {"requests_in_window", budget->second.requests(now)},
                        {"retries_in_window", budget->second.retries(now)},
                        {"slack_share", slack_share()}});
    return is_allowed;
}

std::optional<wire::forward_result> front::state::handle_outcome(pending_request& pending,
                                                                 exchange_result& outcome)
{
    auto& server = *pending.server;
    const bool is_answer = outcome.outcome == exchange_outcome::answered;
    if (is_answer && !outcome.head.is_misdirected)
    {
        record_leaving(server, outcome.head);
    }
    if (is_answer && outcome.head.is_not_run)
    {
        return handle_not_run(pending, outcome);
    }
    // A success without the signature of a backend server does not count as its answer.
    if (is_answer && (outcome.head.is_signed || !http::is_success(outcome.answer.status)))
    {
        server.limit.on_answer();
        record_contact(server, true, "answer");
        if (http::is_success(outcome.answer.status))
        {
            estimate.record(pending.request.route, server.entry.server.id,
                            static_cast<double>(outcome.elapsed.ms));
        }
        const bool is_server_failure = outcome.answer.status >= first_server_failure;
        if (is_server_failure && pending.request.is_idempotent && take_retry(pending, clock::now()))
        {
            pending.may_have_run = true;
            return std::nullopt;
        }
        wire::forward_result result;
        result.outcome = wire::outcome::answered;
        result.status = outcome.answer.status;
        result.headers = std::move(outcome.answer.headers);
        result.body = std::move(outcome.answer.body);
        result.peer = server.entry.server.id;
        return result;
    }
    return handle_failure(pending, outcome);
}

std::optional<wire::forward_result> front::state::handle_not_run(pending_request& pending,
                                                                 exchange_result& outcome)
{
    auto& server = *pending.server;
    const auto now = clock::now();
    const auto id = server.entry.server.id;
    log.write("not run", {{"request", pending.request.request_id},
                          {"backend_server", id},
                          {"status", outcome.answer.status},
                          {"running", server.running.size()},
                          {"key", pending.request.key}});
    if (!outcome.head.is_misdirected)
    {
        server.limit.on_rejection();
    }
    else if (!server.is_keyed())
    {
        // Without keys, a request is misdirected only when another backend server has the address now.
        server.limit.on_replaced(now);
        log.write("backend server replaced",
                  {{"backend_server", id}, {"request", pending.request.request_id}});
    }
    else
    {
        // Either another backend server has the address, or this one lost its grants; both last some time.
        server.limit.on_failure(now);
        server.grants->on_key_missing(pending.waiting.key, now);
    }
    const bool is_key_missing = outcome.head.is_misdirected && server.is_keyed();
    if (!is_key_missing && take_retry(pending, now))
    {
        return std::nullopt;
    }
    if (pending.may_have_run)
    {
        return make_result(wire::outcome::unknown, status_bad_gateway, "rejected after a lost answer", "");
    }
    auto result = make_result(
        wire::outcome::refused_not_run, status_unavailable,
        is_key_missing ? "backend server does not hold the key" : "backend server rejected", "shed");
    result.peer = id;
    if (is_key_missing)
    {
        result.retry_after =
            std::min(max_owner_retry_after, core::duration{(pending.waiting.deadline - now).ms / 3});
    }
    return result;
}

std::optional<wire::forward_result> front::state::handle_failure(pending_request& pending,
                                                                 exchange_result& outcome)
{
    auto& server = *pending.server;
    const auto now = clock::now();
    const bool was_sent = outcome.outcome != exchange_outcome::not_sent;
    log.write("exchange failed", {{"request", pending.request.request_id},
                                  {"backend_server", server.entry.server.id},
                                  {"sent", was_sent},
                                  {"reason", outcome.reason},
                                  {"elapsed_ms", outcome.elapsed.ms},
                                  {"sends", pending.send_count}});
    if (outcome.outcome == exchange_outcome::cancelled)
    {
        return make_result(wire::outcome::unknown, status_bad_gateway, "the caller left", "cancelled");
    }
    const bool is_out_of_time = now >= pending.waiting.deadline;
    if (!is_out_of_time)
    {
        server.limit.on_failure(now);
    }
    pending.may_have_run = pending.may_have_run || was_sent;
    if (!was_sent)
    {
        pending.tried_servers.erase(server.entry.server.id);
    }
    const bool may_send_again = !was_sent || pending.request.is_idempotent;
    // A request that was not sent has not arrived, so sending it again does not count against the budget.
    const bool is_allowed =
        was_sent ? take_retry(pending, now)
                 : pending.send_count < max_sends && now + core::duration{50} < pending.waiting.deadline;
    if (!is_out_of_time && may_send_again && is_allowed)
    {
        return std::nullopt;
    }
    if (!pending.may_have_run)
    {
        return make_result(wire::outcome::refused_not_run, status_unavailable, outcome.reason, "unreachable");
    }
    return make_result(wire::outcome::unknown, is_out_of_time ? status_gateway_timeout : status_bad_gateway,
                       outcome.reason, "");
}

} // namespace briarfold::edge
