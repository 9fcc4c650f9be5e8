#include "core/error.hpp"
#include "edge/internal/front_state.hpp"

#include <algorithm>
#include <utility>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_superseded = 409;
/// A backend server answers a grant within a few milliseconds; a lost answer is noticed early enough for
/// three tries within one grant.
constexpr core::duration grant_timeout{500};
/// A release is answered when the work on its keys has ended, which takes up to about 2 s.
constexpr core::duration release_timeout{3000};
/// Keys of an unreachable backend server are granted elsewhere when their grants have ended.
constexpr core::duration unreachable_retry_after{1200};
constexpr core::duration probe_interval{700};
constexpr core::duration probe_timeout{300};

} // namespace

void front::state::tick()
{
    const auto now = clock::now();
    note_returned_zones(now);
    const auto all = pools;
    for (const auto& [name, pool] : all)
    {
        refuse_unfinishable(*pool, now);
        refuse_spared(*pool, now);
        refuse_cold_surplus(*pool, now);
        auto expired = pool->queue.expire(now);
        std::erase_if(pool->awaiting_grant, [&](const auto& waiting) {
            const bool is_late = static_cast<double>((waiting.deadline - now).ms) < waiting.work_ms / 2;
            if (is_late)
            {
                expired.push_back(waiting);
            }
            return is_late;
        });
        for (const auto& waiting : expired)
        {
            end_waiting(*pool, waiting,
                        make_result(wire::outcome::refused_not_run, status_unavailable,
                                    "no slot was free in time", "expired"));
        }
        start_waiting(pool);
    }
    run_health_checks(now);
    const auto present = servers;
    for (const auto& [id, server] : present)
    {
        if (server->grants)
        {
            run_grants(server);
        }
        // With keys, only the answer to a call shows that it is reached, and calls go on anyway.
        const bool is_probe_due = server->unreachable_since && !server->is_replaced &&
                                  (!server->is_keyed() || server->entry.keys.empty()) &&
                                  now - server->last_probe >= probe_interval;
        if (is_probe_due)
        {
            server->last_probe = now;
            asio::co_spawn(executor, probe(server), asio::detached);
        }
    }
}

void front::state::note_returned_zones(core::time_point now)
{
    for (const auto& [id, server] : servers)
    {
        const bool is_in_evacuated_zone = callbacks.evacuated_since(server->entry.server.zone).has_value();
        if (std::exchange(server->is_in_evacuated_zone, is_in_evacuated_zone) && !is_in_evacuated_zone)
        {
            // It got no requests for a while, and its registration may not show yet that it is cold.
            server->assume_cold(now, server->cold_time);
        }
    }
}

void front::state::refuse_unfinishable(request_pool& pool, core::time_point now)
{
    const auto unfinishable =
        extract_waiting(pool, [&](const auto& waiting) { return ends_before_answer(waiting, now); });
    for (const auto& waiting : unfinishable)
    {
        end_waiting(pool, waiting, make_stopping_refusal(now));
    }
}

void front::state::refuse_spared(request_pool& pool, core::time_point now)
{
    if (pool.servers.empty() || pool.waiting.empty())
    {
        return;
    }
    const auto refusal = refuse_unavailable(pool, now);
    if (!refusal)
    {
        return;
    }
    for (const auto& waiting : extract_waiting(pool, [](const auto&) { return true; }))
    {
        end_waiting(pool, waiting, *refusal);
    }
}

void front::state::run_grants(const std::shared_ptr<fronted_server>& server)
{
    const auto now = clock::now();
    const auto last_confirmation = callbacks.last_confirmation();
    // A new connection may reach a restarted backend server, which knows no fencing tokens. Its keys may have
    // later ones from another leader, unless it is proved that none was elected before the connection.
    const auto connected_at = server->control_link->connected_at();
    const bool is_confirmed = now - last_confirmation < grants::max_confirmation_age &&
                              connected_at < last_confirmation && connected_at < callbacks.last_proof();
    const bool is_due = server->grants->next_due(now) <= now;
    if (is_due && !server->is_grant_pending && !server->control_link->has_idle())
    {
        server->is_grant_pending = true;
        asio::co_spawn(
            executor, [self = shared_from_this(), server] { return self->open_control_link(server); },
            asio::detached);
    }
    const auto length = callbacks.needs_outage_grants()
                            ? std::min(grants::outage_grant_duration, settings.max_grant_duration)
                            : std::min(grants::grant_duration, settings.max_grant_duration);
    while (!server->is_removed)
    {
        const auto call = server->grants->next_call(now, is_confirmed && !server->is_grant_pending, length);
        if (!call)
        {
            return;
        }
        server->is_grant_pending = server->is_grant_pending || call->kind == grants::call_kind::grant;
        asio::co_spawn(
            executor,
            [self = shared_from_this(), server, item = *call] { return self->send_grant_call(server, item); },
            asio::detached);
    }
}

bool front::state::needs_proof(const fronted_server& server) const
{
    const auto connected_at = server.control_link->connected_at();
    const bool has_connected = connected_at != core::time_point();
    return server.grants && !server.entry.keys.empty() && has_connected &&
           callbacks.last_proof() <= connected_at;
}

asio::awaitable<void> front::state::open_control_link(std::shared_ptr<fronted_server> server)
{
    const auto self = shared_from_this();
    const auto link = server->control_link;
    const bool is_open = co_await link->open();
    server->is_grant_pending = false;
    if (server->is_removed || link != server->control_link)
    {
        co_return;
    }
    if (is_open)
    {
        server->grants->on_connected();
        callbacks.request_report();
        co_return;
    }
    server->grants->pause(clock::now());
    // Once it accepts connections again, it may answer again.
    server->unanswered_grant.reset();
    record_contact(*server, false, "connect");
}

asio::awaitable<void> front::state::send_grant_call(std::shared_ptr<fronted_server> server,
                                                    grants::grant_call call)
{
    const auto self = shared_from_this();
    const bool is_grant = call.kind == grants::call_kind::grant;
    const auto link = server->control_link;
    const auto timeout = is_grant ? grant_timeout : release_timeout;
    call.sent = clock::now();
    // A late copy of another answer would be taken for the one to the release, and the keys would be granted
    // to another backend server while this one still works on them.
    const auto choice = is_grant ? connection_choice::idle : connection_choice::own;
    auto message = adapter.make_grant_request(call, server->entry.server.id);
    auto result = co_await link->exchange(std::move(message), "", timeout, nullptr, choice);
    const auto now = clock::now();
    if (is_grant)
    {
        server->is_grant_pending = false;
        const bool is_rejected =
            result.outcome == exchange_outcome::answered && result.answer.status != status_ok;
        if (!is_rejected && result.outcome != exchange_outcome::not_sent)
        {
            server->last_grant_end = now;
        }
    }
    if (server->is_removed)
    {
        co_return;
    }
    if (link != server->control_link)
    {
        server->grants->on_lost(call, now);
        co_return;
    }
    // Another backend server that has the address now does not speak for this one.
    const bool is_replaced = result.outcome == exchange_outcome::answered && result.head.is_misdirected;
    const bool is_expected_status =
        result.answer.status == status_ok || result.answer.status == status_superseded;
    const bool is_answered = result.outcome == exchange_outcome::answered && is_expected_status;
    server->is_replaced = is_replaced || (server->is_replaced && !is_answered);
    if (is_answered && result.head.is_leaving)
    {
        record_leaving(*server);
    }
    const char* outcome = "lost";
    if (is_answered && result.answer.status == status_ok)
    {
        outcome = "accepted";
        if (is_grant)
        {
            server->grants->on_granted(call, now);
            server->has_accepted_grant = true;
            server->has_ended = false;
        }
        else
        {
            server->grants->on_released(call, adapter.read_handover(result.answer), now);
            callbacks.request_report();
        }
    }
    else if (is_answered && is_grant && result.answer.status == status_superseded)
    {
        outcome = "superseded";
        server->grants->on_superseded(call, now);
        callbacks.request_report();
    }
    else if (is_replaced)
    {
        outcome = "misdirected";
        server->grants->on_not_sent(call, now);
        record_replaced(*server, call.sent);
    }
    else if (result.outcome != exchange_outcome::not_sent)
    {
        server->grants->on_lost(call, now);
    }
    else
    {
        server->grants->on_not_sent(call, now);
    }
    if (is_answered)
    {
        server->unanswered_grant.reset();
    }
    else if (is_grant && !is_replaced && result.outcome != exchange_outcome::not_sent)
    {
        server->unanswered_grant = call;
    }
    const auto failure = is_replaced ? "another backend server answered"
                         : result.outcome == exchange_outcome::answered
                             ? "answer with status " + std::to_string(result.answer.status)
                             : result.reason;
    record_contact(*server, is_answered, is_answered ? "answer" : failure);
    const auto line = [&]() -> nlohmann::json {
        return {{"backend_server", server->entry.server.id},
                {"address", http::to_string(link->peer())},
                {"call", is_grant ? "grant" : "release"},
                {"first", call.range.first},
                {"last", call.range.last},
                {"token", call.token},
                {"hold_ms", call.valid_for.ms},
                {"outcome", outcome},
                {"status", result.outcome == exchange_outcome::answered ? result.answer.status : 0},
                {"elapsed_ms", result.elapsed.ms},
                {"connection_age_ms", (now - link->connected_at()).ms},
                {"confirmation_age_ms", (now - callbacks.last_confirmation()).ms},
                {"proof_age_ms", (now - callbacks.last_proof()).ms},
                {"reason", result.reason}};
    };
    const bool is_accepted_grant = is_grant && is_answered && result.answer.status == status_ok;
    const bool is_renewal =
        is_accepted_grant && std::exchange(server->accepted_token, call.token) == call.token;
    if (is_renewal)
    {
        log.write_sampled("grant", line);
    }
    else
    {
        log.write("grant", line());
    }
    auto& awaiting_grant = server->pool->awaiting_grant;
    std::erase_if(awaiting_grant, [&](const dispatch::waiting_request& waiting) {
        const bool is_ready = server->grants->may_send(waiting.key, now);
        if (is_ready)
        {
            server->pool->queue.put_back(waiting);
        }
        return is_ready;
    });
    start_waiting(server->pool);
    if (is_answered)
    {
        run_grants(server);
    }
}

asio::awaitable<void> front::state::probe(std::shared_ptr<fronted_server> server)
{
    const auto self = shared_from_this();
    const auto grant = server->unanswered_grant;
    const bool is_reached =
        grant ? co_await answers_release(*server, *grant) : co_await accepts_connections(*server);
    // The failure is already known and logged; only a success is reported.
    if (is_reached && !server->is_removed)
    {
        server->unanswered_grant.reset();
        record_contact(*server, true, "probe");
    }
}

asio::awaitable<bool> front::state::accepts_connections(const fronted_server& server)
{
    http::client_connection connection(executor, server.entry.server.address);
    bool is_reached = true;
    try
    {
        co_await connection.connect(probe_timeout);
    }
    catch (const core::error&)
    {
        is_reached = false;
    }
    connection.close();
    co_return is_reached;
}

asio::awaitable<bool> front::state::answers_release(const fronted_server& server,
                                                    const grants::grant_call& grant)
{
    auto call = grant;
    call.kind = grants::call_kind::release;
    call.range.last = call.range.first;
    const auto link = server.control_link;
    const auto result = co_await link->exchange(adapter.make_grant_request(call, server.entry.server.id), "",
                                                probe_timeout, nullptr, connection_choice::own);
    const bool is_answered =
        result.outcome == exchange_outcome::answered && result.answer.status == status_ok;
    co_return is_answered;
}

wire::forward_result front::state::make_unreachable_refusal(const fronted_server& server,
                                                            core::duration retry_after)
{
    if (server.has_ended)
    {
        // Its keys have another owner in a moment, for which the entry waits.
        return make_result(wire::outcome::refused_not_run, status_unavailable, "keys moved", "moved");
    }
    auto refusal = make_result(wire::outcome::refused_not_run, status_unavailable,
                               "the backend server is unreachable", "unreachable");
    refusal.retry_after = retry_after;
    return refusal;
}

void front::state::refuse_waiting(fronted_server& server)
{
    if (!server.is_keyed())
    {
        return;
    }
    auto& pool = *server.pool;
    for (const auto& item : extract_waiting(pool, [](const auto&) { return true; }))
    {
        end_waiting(pool, item, make_unreachable_refusal(server, unreachable_retry_after));
    }
}

void front::state::record_leaving(fronted_server& server)
{
    if (!server.leaving_since)
    {
        server.leaving_since = clock::now();
        log.write("backend server leaves", {{"backend_server", server.entry.server.id}});
        callbacks.request_report();
    }
}

void front::state::record_replaced(fronted_server& server, core::time_point sent)
{
    // The registration may name a wrong address, where this backend server never was. A slow answer may be
    // older than a grant that the backend server accepted after it had started again at the address.
    const bool is_proof =
        server.has_accepted_grant && server.last_grant_end < sent && !server.is_grant_pending;
    if (!is_proof || std::exchange(server.has_ended, true))
    {
        return;
    }
    const auto now = clock::now();
    log.write("backend server ended", {{"backend_server", server.entry.server.id},
                                       {"address", http::to_string(server.control_link->peer())}});
    server.grants->on_ended(now);
    server.unreachable_since = server.unreachable_since.value_or(now);
    refuse_waiting(server);
    callbacks.request_report();
}

void front::state::record_contact(fronted_server& server, bool is_reached, const std::string& reason)
{
    constexpr int failures_until_unreachable = 2;
    if (is_reached)
    {
        server.last_answer = clock::now();
        if (std::exchange(server.unreachable_since, std::nullopt))
        {
            log.write("backend server reached", {{"backend_server", server.entry.server.id}, {"by", reason}});
            callbacks.request_report();
        }
        return;
    }
    server.limit.on_failure(clock::now());
    if (!server.unreachable_since && server.limit.failures() >= failures_until_unreachable)
    {
        server.unreachable_since = clock::now();
        server.link->close_idle();
        log.write("backend server unreachable",
                  {{"backend_server", server.entry.server.id}, {"reason", reason}});
        refuse_waiting(server);
        callbacks.request_report();
    }
}

} // namespace briarfold::edge
