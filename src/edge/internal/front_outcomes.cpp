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
/// Maximum number of sends of one request, including those that did not reach the backend server.
constexpr int max_sends = 4;
/// Time before the deadline from which a request is not sent again.
constexpr core::duration min_send_time{50};

} // namespace

bool front::state::has_time_for_retry(const pending_request& pending, core::time_point now)
{
    return static_cast<double>((pending.waiting.deadline - now).ms) > pending.expected_ms;
}

std::optional<wire::forward_result> front::state::handle_outcome(pending_request& pending,
                                                                 exchange_result& outcome)
{
    auto& server = *pending.server;
    const bool is_answer = outcome.outcome == exchange_outcome::answered;
    if (is_answer && !outcome.head.is_misdirected)
    {
        record_load(server, outcome.head, clock::now());
    }
    if (is_answer && !outcome.head.is_misdirected && outcome.head.is_leaving)
    {
        record_leaving(server);
    }
    if (is_answer && outcome.head.is_not_run)
    {
        return handle_not_run(pending, outcome);
    }
    // A success without the signature of a backend server does not count as its answer.
    if (is_answer && (outcome.head.is_signed || !http::is_success(outcome.answer.status)))
    {
        if (outcome.head.retry_after.ms > 0)
        {
            server.limit.on_rejection(clock::now(), outcome.head.retry_after);
        }
        else
        {
            server.limit.on_answer();
        }
        record_contact(server, true, "answer");
        answer_bytes[server.entry.server.service] += static_cast<std::int64_t>(outcome.answer.body.size());
        if (http::is_success(outcome.answer.status))
        {
            estimate.record(pending.request.route, server.entry.server.id,
                            static_cast<double>(outcome.elapsed.ms),
                            outcome.head.load ? outcome.head.load->duration : 1);
        }
        const bool is_server_failure = outcome.answer.status >= first_server_failure;
        wire::forward_result result;
        result.outcome = wire::outcome::answered;
        result.status = outcome.answer.status;
        result.headers = std::move(outcome.answer.headers);
        result.body = std::move(outcome.answer.body);
        result.peer = server.entry.server.id;
        result.may_send_again =
            is_server_failure && pending.request.is_idempotent && has_time_for_retry(pending, clock::now());
        return result;
    }
    return handle_failure(pending, outcome);
}

wire::forward_result front::state::handle_not_run(pending_request& pending, exchange_result& outcome)
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
        server.limit.on_rejection(now, outcome.head.retry_after);
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
    auto result = make_result(
        wire::outcome::refused_not_run, status_unavailable,
        is_key_missing ? "backend server does not hold the key" : "backend server rejected", "shed");
    result.peer = id;
    result.may_send_again = !is_key_missing && has_time_for_retry(pending, now);
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
    if (outcome.is_over_limit)
    {
        server.limit.on_faulty_answer(now);
        metrics
            .counter("briarfold_edge_oversized_answers_total",
                     "Answers of backend servers that were cut off because they were too long.",
                     {{"service", pending.request.service}})
            .add();
    }
    if (!was_sent && outcome.is_new_connection)
    {
        // Its process may have ended. Another one may answer at the address before the directory shows it.
        server.assume_cold(now, server.cold_time);
    }
    if (was_sent)
    {
        auto result =
            make_result(wire::outcome::unknown, is_out_of_time ? status_gateway_timeout : status_bad_gateway,
                        outcome.reason, "");
        result.peer = server.entry.server.id;
        result.may_send_again =
            !is_out_of_time && pending.request.is_idempotent && has_time_for_retry(pending, now);
        return result;
    }
    // What was not sent has not arrived, so sending it again is no retry.
    pending.tried_servers.erase(server.entry.server.id);
    if (pending.send_count < max_sends && now + min_send_time < pending.waiting.deadline)
    {
        return std::nullopt;
    }
    return make_result(wire::outcome::refused_not_run, status_unavailable, outcome.reason, "unreachable");
}

} // namespace briarfold::edge
