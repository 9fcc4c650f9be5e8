#include "edge/internal/front_state.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

using core::clock;

constexpr unsigned first_server_failure = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
/// Keys whose owner is gone are granted to another one within about this time.
constexpr core::duration owner_retry{1200};
/// Sends of one request, the first included.
constexpr int most_sends = 4;

} // namespace

bool is_success(unsigned status)
{
    constexpr unsigned first_success = 200;
    constexpr unsigned first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

bool front::state::may_repeat(job& item, core::time_point now)
{
    const bool has_time =
        static_cast<double>((item.waiting.deadline - now).ms) > item.expected_ms && item.sends < most_sends;
    // Keys stay at their owner, so a repeat reaches no further backend server.
    const bool has_attempts =
        !item.request.key.empty() || static_cast<int>(item.tried.size()) < item.request.max_attempts;
    const auto budget = budgets.find(item.request.service);
    return has_time && has_attempts && budget != budgets.end() && budget->second.take(slack_share(), now);
}

std::optional<wire::forward_result> front::state::judge(job& item, exchange_result& outcome)
{
    auto& server = *item.server;
    const bool is_answer = outcome.outcome == exchange_outcome::answered;
    if (is_answer && outcome.head.is_not_run)
    {
        return judge_not_run(item, outcome);
    }
    // Bytes that a backend server did not sign are not its answer.
    if (is_answer && (outcome.head.is_signed || !is_success(outcome.answer.status)))
    {
        server.limit.on_answer();
        note_contact(server, true, "answer");
        if (is_success(outcome.answer.status))
        {
            estimate.record(item.request.route, server.entry.server.id,
                            static_cast<double>(outcome.elapsed.ms));
        }
        const bool is_server_failure = outcome.answer.status >= first_server_failure;
        if (is_server_failure && item.request.is_idempotent && may_repeat(item, clock::now()))
        {
            item.was_cut = true;
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
    return judge_broken(item, outcome);
}

std::optional<wire::forward_result> front::state::judge_not_run(job& item, exchange_result& outcome)
{
    auto& server = *item.server;
    const auto now = clock::now();
    const auto id = server.entry.server.id;
    log.write("not run", {{"request", item.request.request_id},
                          {"backend_server", id},
                          {"status", outcome.answer.status},
                          {"running", server.running.size()},
                          {"key", item.request.key}});
    if (!outcome.head.is_misdirected)
    {
        server.limit.on_rejection();
    }
    else if (!server.is_keyed())
    {
        // Without keys there is one reason to be misdirected: the address belongs to another one now.
        server.limit.on_replaced(now);
        log.write("backend server replaced", {{"backend_server", id}, {"request", item.request.request_id}});
    }
    else
    {
        // Either another one has the address, or the backend server lost its grants; both last for some time.
        server.limit.on_failure(now);
    }
    const bool lacks_key = outcome.head.is_misdirected && server.is_keyed();
    if (!lacks_key && may_repeat(item, now))
    {
        return std::nullopt;
    }
    if (item.was_cut)
    {
        return make_result(wire::outcome::unknown, status_bad_gateway, "rejected after a lost answer", "");
    }
    auto result =
        make_result(wire::outcome::refused_not_run, status_unavailable,
                    lacks_key ? "backend server does not hold the key" : "backend server rejected", "shed");
    result.peer = id;
    if (lacks_key)
    {
        result.retry_after = std::min(owner_retry, core::duration{(item.waiting.deadline - now).ms / 3});
    }
    return result;
}

std::optional<wire::forward_result> front::state::judge_broken(job& item, exchange_result& outcome)
{
    auto& server = *item.server;
    const auto now = clock::now();
    const bool was_sent = outcome.outcome != exchange_outcome::not_sent;
    log.write("exchange failed", {{"request", item.request.request_id},
                                  {"backend_server", server.entry.server.id},
                                  {"sent", was_sent},
                                  {"reason", outcome.reason},
                                  {"elapsed_ms", outcome.elapsed.ms},
                                  {"sends", item.sends}});
    if (outcome.outcome == exchange_outcome::cancelled)
    {
        return make_result(wire::outcome::unknown, status_bad_gateway, "the caller left", "cancelled");
    }
    const bool is_out_of_time = now >= item.waiting.deadline;
    if (!is_out_of_time)
    {
        server.limit.on_failure(now);
    }
    item.was_cut = item.was_cut || was_sent;
    if (!was_sent)
    {
        item.tried.erase(server.entry.server.id);
    }
    const bool may_send_again = !was_sent || item.request.is_idempotent;
    // A request that never left its connection has not arrived, so it does not count against the budget.
    const bool is_allowed = was_sent
                                ? may_repeat(item, now)
                                : item.sends < most_sends && now + core::duration{50} < item.waiting.deadline;
    if (!is_out_of_time && may_send_again && is_allowed)
    {
        return std::nullopt;
    }
    if (!item.was_cut)
    {
        return make_result(wire::outcome::refused_not_run, status_unavailable, outcome.reason, "unreachable");
    }
    return make_result(wire::outcome::unknown, is_out_of_time ? status_gateway_timeout : status_bad_gateway,
                       outcome.reason, "");
}

} // namespace briarfold::edge
