#include "edge/entry.hpp"

#include "core/key_hash.hpp"
#include "wire/iforwarder.hpp"

#include <algorithm>
#include <set>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
/// Applies when the caller sends no deadline and the route has no timeout.
constexpr core::duration default_deadline{30000};
/// A router receives the configuration within this time after its start.
constexpr core::duration startup_retry_after{500};
/// Maximum wait of a request for its owner. A move of keys takes as long as the work that runs on them.
constexpr core::duration max_owner_wait{1500};
/// Maximum retry time for keys without an owner. They are granted again when the former grant has expired at
/// the latest; few requests can wait that long.
constexpr core::duration max_ownerless_retry_after{1200};
constexpr std::size_t max_waiting = 64;
constexpr int max_hops = 6;
/// Fronts without room that one request asks before it is rejected. Each costs a round trip.
constexpr std::size_t max_full_fronts = 2;
/// A router that lost touch with the store and all others finds a newer configuration within this time of its
/// return.
constexpr core::duration unconfirmed_retry_after{500};
/// A deadline that is shorter than the longest of its route by this much belongs to a client that returns.
/// More than the network delays within a deployment, and less than the shortest wait of a rejected client.
constexpr core::duration min_retry_shortening{40};
/// Another router can serve the request at once.
constexpr core::duration other_router_retry_after{50};
/// A zone that is returned to service is in use on all routers within about this time.
constexpr core::duration evacuated_retry_after{600};

bool is_connection_header(std::string_view name)
{
    constexpr std::string_view names[] = {"Connection",        "Keep-Alive",     "Proxy-Connection",
                                          "Transfer-Encoding", "Content-Length", "TE",
                                          "Trailer",           "Upgrade",        "Proxy-Authenticate"};
    return std::ranges::any_of(
        names, [&](std::string_view candidate) { return http::equal_ignoring_case(candidate, name); });
}

void drop_connection_headers(std::vector<http::header>& headers)
{
    std::erase_if(headers, [](const http::header& header) { return is_connection_header(header.name); });
}

} // namespace

struct entry::request_context
{
    request_head head;
    /// Whether the configuration has a route for the request.
    bool is_routed = false;
    std::string route_name;
    std::string service;
    bool is_keyed = false;
    bool is_idempotent = false;
    int priority = 0;
    int max_attempts = 1;
    http::request message;
    core::time_point arrived;
    core::time_point deadline;
    core::time_point objective_deadline;
    /// Backend servers that received the request, or may have.
    std::set<std::string> tried_servers;
    /// Sends that may have reached a backend server that is not known.
    int lost_sends = 0;
    int send_count = 0;
    /// Fronts that had no room for the request.
    std::set<std::string> full_fronts;
    /// When the client stops waiting, whatever the timeout of the route.
    core::time_point client_deadline;
    /// Whether the client was probably rejected before.
    bool is_retry = false;
    /// Whether an earlier send may have run.
    bool may_have_run = false;
    /// Answer of the backend server to an earlier send, a failure.
    std::optional<wire::forward_result> failed_answer;

    int attempts() const { return static_cast<int>(tried_servers.size()) + lost_sends; }
    bool may_reach_another() const { return attempts() < max_attempts; }
};

entry::entry(asio::any_io_executor executor, entry_settings settings, const protocol& adapter, event_log& log,
             metrics::registry& metrics, entry_callbacks callbacks)
    : executor_(std::move(executor)), settings_(std::move(settings)), adapter_(adapter), log_(log),
      metrics_(metrics),
      answered_(metrics.counter("briarfold_edge_answered_total", "Requests answered by a backend server.")),
      callbacks_(std::move(callbacks)), routes_(static_cast<std::uint32_t>(core::text_hash(settings_.name)))
{}

bool entry::apply(routes::routing_config config)
{
    return routes_.apply(std::move(config));
}

void entry::apply(const directory::snapshot& snapshot, const directory::update& change)
{
    if (change.has_routers())
    {
        router_peers_.clear();
        router_zones_.clear();
        for (const auto& [name, router] : snapshot.routers)
        {
            router_peers_[name] = router.peer;
            router_zones_[name] = router.zone;
        }
    }
    owners_.apply(snapshot, change);
    const bool is_changed = snapshot.revision != revision_ || snapshot.term != term_;
    revision_ = snapshot.revision;
    term_ = snapshot.term;
    if (is_changed)
    {
        wake_waiting();
    }
}

void entry::set_evacuated_zones(const directory::snapshot& snapshot, std::set<std::string> zones)
{
    owners_.set_evacuated_zones(snapshot, std::move(zones));
    wake_waiting();
}

void entry::wake_waiting()
{
    std::ranges::for_each(waiting_, [](asio::steady_timer* timer) { timer->cancel(); });
}

bool entry::has_no_room(const wire::forward_result& result)
{
    return result.outcome == wire::outcome::refused_not_run &&
           (result.not_run_reason == "overload" || result.not_run_reason == "evacuated");
}

asio::awaitable<void> entry::await_change(core::duration limit)
{
    asio::steady_timer timer(executor_, std::chrono::milliseconds(std::max<std::int64_t>(limit.ms, 1)));
    const auto position = waiting_.insert(waiting_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiting_.erase(position);
}

std::optional<entry::destination> entry::find_owner(const std::string& service, std::uint32_t key) const
{
    const auto owner = owners_.find(service, key);
    if (!owner || (owner->is_withdrawn && !owner->is_unreachable))
    {
        return std::nullopt;
    }
    return destination{owner->backend_server, owner->front, owner->is_unreachable};
}

std::vector<dispatch::front_option> entry::list_fronts(const std::string& service, core::time_point now) const
{
    std::vector<dispatch::front_option> options;
    const auto* const group = owners_.find_group(service);
    if (group == nullptr)
    {
        return options;
    }
    for (const auto& [front, slots] : *group)
    {
        const auto zone = router_zones_.find(front);
        const bool is_near = zone != router_zones_.end() && zone->second == settings_.zone;
        options.push_back({front, slots, is_near, is_stopping(front, now)});
    }
    return options;
}

std::optional<entry::destination> entry::find_group(const request_context& context)
{
    const auto now = clock::now();
    const auto options = list_fronts(context.service, now);
    auto& choice = front_choices_[context.service];
    const auto* best = choice.choose(options, context.full_fronts, now);
    if (best == nullptr)
    {
        best = choice.choose(options, {}, now);
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return destination{"", best->name, false};
}

bool entry::may_ask_another_front(const request_context& context, const std::string& front,
                                  core::time_point now) const
{
    const auto known = front_choices_.find(context.service);
    if (context.is_keyed || known == front_choices_.end() || context.full_fronts.size() >= max_full_fronts)
    {
        return false;
    }
    auto rejected_by = context.full_fronts;
    rejected_by.insert(front);
    return known->second.has_room(list_fronts(context.service, now), rejected_by, now);
}

void entry::record_result(const request_context& context, const destination& to,
                          const wire::forward_result& result)
{
    if (context.is_keyed)
    {
        return;
    }
    const auto now = clock::now();
    auto& choice = front_choices_[context.service];
    choice.on_result(to.front, result.queue_load, now);
    if (has_no_room(result))
    {
        constexpr core::duration least_wait{50};
        choice.on_full(to.front, std::max(result.retry_after, least_wait), now);
    }
}

bool entry::is_stopping(const std::string& front, core::time_point now) const
{
    // Requests with less work may still be served, so the front is asked again after a while.
    constexpr core::duration stopping_memory{1000};
    const auto said = stopping_fronts_.find(front);
    return said != stopping_fronts_.end() && now - said->second < stopping_memory;
}

std::optional<entry::destination> entry::find_destination(const request_context& context)
{
    auto found =
        context.is_keyed ? find_owner(context.service, context.head.key.value_or(0)) : find_group(context);
    if (found && found->front != settings_.name && !router_peers_.contains(found->front))
    {
        return std::nullopt;
    }
    return found;
}

http::response entry::refuse(const request_context& context, unsigned status, core::duration retry_after,
                             const std::string& reason)
{
    log_.write("request ended", {{"request", context.head.attempt_id},
                                 {"route", context.route_name},
                                 {"service", context.service},
                                 {"status", status},
                                 {"reason", reason},
                                 {"retry_after_ms", retry_after.ms},
                                 {"configuration", routes_.config().version},
                                 {"directory", revision_},
                                 {"term", term_},
                                 {"elapsed_ms", (clock::now() - context.arrived).ms}});
    auto*& counter = refused_[status];
    if (counter == nullptr)
    {
        counter = &metrics_.counter("briarfold_edge_refused_total", "Requests answered by the router itself.",
                                    {{"status", std::to_string(status)}});
    }
    counter->add();
    return adapter_.make_refusal(status, context.head.attempt_id, retry_after, reason);
}

bool entry::may_run_concurrently(const http::request& message) const
{
    if (!routes_.is_known())
    {
        return false;
    }
    const auto* const route = routes_.match(http::find_header(message.headers, "Host"), message.target);
    return route != nullptr && route->is_idempotent;
}

std::optional<http::response> entry::prepare(request_context& context, http::request& message)
{
    if (is_refusing_)
    {
        return refuse(context, status_unavailable, other_router_retry_after, "this router is about to end");
    }
    if (!routes_.is_known())
    {
        return refuse(context, status_unavailable, startup_retry_after, "no configuration is known yet");
    }
    const auto* const route = routes_.match(http::find_header(message.headers, "Host"), message.target);
    context.is_routed = route != nullptr;
    if (!context.is_routed)
    {
        return std::nullopt;
    }
    context.route_name = route->name;
    context.service = routes_.choose_service(*route);
    find_retry_budget(context.service).count_request(retry_share(), context.arrived);
    context.is_idempotent = route->is_idempotent;
    context.priority = route->priority;
    context.max_attempts = std::max(route->max_attempts, 1);
    const auto* const service = routes_.find_service(context.service);
    context.is_keyed = service != nullptr && service->has_key_ownership;
    if (context.is_keyed && !context.head.key)
    {
        return refuse(context, status_bad_request, {}, "the request names no key");
    }
    const auto deadline =
        context.head.deadline.value_or(route->timeout.ms > 0 ? route->timeout : default_deadline);
    auto& max_deadline = max_deadline_[route->name];
    max_deadline = std::max(max_deadline, deadline);
    const auto timeout = route->timeout.ms > 0 ? route->timeout : deadline;
    context.deadline = context.arrived + std::min(deadline, timeout);
    context.client_deadline = context.arrived + deadline;
    const auto objective = route->objective.ms > 0 ? route->objective : timeout;
    context.objective_deadline = context.arrived + objective - (max_deadline - deadline);
    context.is_retry = max_deadline - deadline >= min_retry_shortening;
    drop_connection_headers(message.headers);
    context.message = std::move(message);
    return std::nullopt;
}

asio::awaitable<std::optional<http::response>> entry::prepare_unrouted(request_context& context,
                                                                       http::request& message)
{
    const bool is_current = !callbacks_.await_current_config || co_await callbacks_.await_current_config();
    auto refusal = prepare(context, message);
    if (refusal || context.is_routed)
    {
        co_return refusal;
    }
    if (is_current)
    {
        co_return refuse(context, status_not_found, {}, "no route matches");
    }
    co_return refuse(context, status_unavailable, unconfirmed_retry_after,
                     "no route matches, and the configuration may be outdated");
}

core::time_point entry::answer_limit(const request_context& context) const
{
    return process_end_ ? std::min(context.deadline, *process_end_) : context.deadline;
}

wire::forward_request entry::make_forward(const request_context& context) const
{
    const auto now = clock::now();
    const auto last_answer = answer_limit(context);
    wire::forward_request request;
    request.service = context.service;
    request.key = context.is_keyed ? std::to_string(*context.head.key) : "";
    request.method = context.message.method;
    request.target = context.message.target;
    request.headers = context.message.headers;
    request.body = context.message.body;
    request.request_id = context.head.attempt_id;
    request.is_entry_stopping = process_end_ == last_answer;
    request.deadline = last_answer - now;
    request.is_idempotent = context.is_idempotent;
    request.route = context.route_name;
    request.priority = context.priority;
    request.objective = context.objective_deadline - now;
    request.max_attempts = context.max_attempts;
    request.tried_servers.assign(context.tried_servers.begin(), context.tried_servers.end());
    request.client_time_left = context.client_deadline - now;
    request.is_retry = context.is_retry;
    return request;
}

asio::awaitable<wire::forward_result> entry::send(request_context& context, destination to,
                                                  std::shared_ptr<core::cancellation> cancellation)
{
    auto request = make_forward(context);
    request.backend_server = to.backend_server;
    if (!context.is_keyed)
    {
        front_choices_[context.service].on_sent(to.front);
    }
    if (may_ask_another_front(context, to.front, clock::now()))
    {
        request.client_time_left = {};
    }
    wire::forward_result result;
    try
    {
        if (to.front == settings_.name)
        {
            result = co_await callbacks_.serve_locally(std::move(request), cancellation);
        }
        else
        {
            result = co_await callbacks_.forward_to_router(router_peers_.at(to.front), std::move(request),
                                                           cancellation);
        }
    }
    catch (const wire::link_error& failure)
    {
        result.outcome = failure.is_sent() ? wire::outcome::unknown : wire::outcome::refused_not_run;
        result.status = status_bad_gateway;
        result.reason = failure.what();
        result.not_run_reason = "link";
        result.may_send_again = failure.is_sent() && context.is_idempotent;
    }
    catch (const core::timeout_error& failure)
    {
        result.status = status_gateway_timeout;
        result.reason = failure.what();
    }
    result.peer = result.peer.empty() ? to.front : result.peer;
    record_result(context, to, result);
    co_return result;
}

asio::awaitable<http::response> entry::handle(http::request message,
                                              std::shared_ptr<core::cancellation> cancellation)
{
    request_context context;
    context.arrived = clock::now();
    context.head = adapter_.read_request(message);
    auto refusal = prepare(context, message);
    if (!refusal && !context.is_routed)
    {
        refusal = co_await prepare_unrouted(context, message);
    }
    if (refusal)
    {
        co_return std::move(*refusal);
    }
    ++in_flight_;
    try
    {
        auto answer = co_await route(context, std::move(cancellation));
        --in_flight_;
        co_return answer;
    }
    catch (...)
    {
        --in_flight_;
        throw;
    }
}

asio::awaitable<http::response> entry::route(request_context& context,
                                             std::shared_ptr<core::cancellation> cancellation)
{
    for (int hop = 0; hop < max_hops; ++hop)
    {
        const auto now = clock::now();
        if (cancellation && cancellation->is_cancelled())
        {
            co_return refuse(context, status_unavailable, {}, "the caller left");
        }
        const auto last_answer = answer_limit(context);
        if (now >= last_answer)
        {
            break;
        }
        const auto to = find_destination(context);
        if (!to && !context.is_keyed && owners_.is_evacuated(context.service))
        {
            co_return end_unanswered(context, status_unavailable, evacuated_retry_after,
                                     "all zones of the service are evacuated");
        }
        if (!to)
        {
            const auto waited = now - context.arrived;
            const auto limit = std::min(max_owner_wait, last_answer - context.arrived) - waited;
            if (limit.ms <= 0 || waiting_.size() >= max_waiting)
            {
                const auto third_of_remaining = core::duration{(context.deadline - now).ms / 3};
                co_return end_unanswered(context, status_unavailable,
                                         std::min(max_ownerless_retry_after, third_of_remaining),
                                         "the key has no owner");
            }
            --hop;
            co_await await_change(limit);
            continue;
        }
        if (to->is_out_of_service)
        {
            const auto third_of_remaining = core::duration{(context.deadline - now).ms / 3};
            co_return end_unanswered(context, status_unavailable,
                                     std::min(max_ownerless_retry_after, third_of_remaining),
                                     "the backend server of the key is unreachable");
        }
        if (!context.tried_servers.contains(to->backend_server) && !context.may_reach_another())
        {
            co_return end_unanswered(context, status_unavailable, {},
                                     "it has reached as many backend servers as its route allows");
        }
        auto result = co_await send(context, *to, cancellation);
        const bool is_lost = result.not_run_reason == "link";
        if (is_lost)
        {
            log_.write("link lost", {{"request", context.head.attempt_id},
                                     {"front", to->front},
                                     {"sent", result.outcome == wire::outcome::unknown},
                                     {"reason", result.reason}});
        }
        const bool is_moved =
            result.outcome == wire::outcome::refused_not_run && (result.not_run_reason == "moved" || is_lost);
        if (is_moved)
        {
            constexpr core::duration moved_wait{60};
            co_await await_change(moved_wait);
            continue;
        }
        if (result.outcome == wire::outcome::refused_not_run && result.not_run_reason == "stopping")
        {
            const auto refused_at = clock::now();
            stopping_fronts_[to->front] = refused_at;
            const auto other = find_destination(context);
            if (other && !is_stopping(other->front, refused_at))
            {
                continue;
            }
        }
        if (has_no_room(result) && may_ask_another_front(context, to->front, clock::now()))
        {
            context.full_fronts.insert(to->front);
            continue;
        }
        if (result.outcome == wire::outcome::refused_not_run && result.not_run_reason == "entry stopping")
        {
            result.retry_after = other_router_retry_after;
        }
        if (!result.may_send_again)
        {
            co_return finish(context, std::move(result));
        }
        record_send(context, *to, result);
        if (!take_retry(context))
        {
            co_return finish(context, std::move(result));
        }
        if (result.outcome != wire::outcome::refused_not_run)
        {
            context.may_have_run = true;
        }
        if (result.outcome == wire::outcome::answered)
        {
            context.failed_answer = std::move(result);
        }
        if (is_lost)
        {
            constexpr core::duration takeover_wait{100};
            co_await await_change(takeover_wait);
        }
    }
    co_return end_unanswered(context, context.may_have_run ? status_gateway_timeout : status_unavailable, {},
                             "no front served it in time");
}

void entry::record_send(request_context& context, const destination& to, const wire::forward_result& result)
{
    ++context.send_count;
    if (result.not_run_reason != "link")
    {
        context.tried_servers.insert(result.peer);
    }
    else if (context.is_keyed)
    {
        context.tried_servers.insert(to.backend_server);
    }
    else
    {
        ++context.lost_sends;
    }
}

bool entry::take_retry(const request_context& context)
{
    /// Maximum number of sends of one request that may reach a backend server, including the first.
    constexpr int max_sends = 4;
    // Keys mostly stay at their owner, which the request has tried.
    const bool has_attempts = context.is_keyed || context.may_reach_another();
    if (context.send_count >= max_sends || !has_attempts)
    {
        return false;
    }
    const auto now = clock::now();
    auto& budget = find_retry_budget(context.service);
    const bool is_allowed = budget.take(retry_share(), now);
    metrics_
        .counter("briarfold_edge_retries_total", "Retries that the budget of a service allowed or refused.",
                 {{"service", context.service}, {"allowed", is_allowed ? "yes" : "no"}})
        .add();
    log_.write("retry", {{"request", context.head.attempt_id},
                         {"service", context.service},
                         {"sends", context.send_count},
                         {"allowed", is_allowed},
                         {"available", budget.available(retry_share(), now)},
                         {"slack_share", retry_share()}});
    return is_allowed;
}

double entry::retry_share() const
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(router_peers_.size(), 1));
}

dispatch::retry_budget& entry::find_retry_budget(const std::string& service)
{
    return retry_budgets_.try_emplace(service, settings_.retries).first->second;
}

http::response entry::make_answer(const request_context& context, wire::forward_result result)
{
    http::response answer(result.status, std::move(result.headers), std::move(result.body));
    drop_connection_headers(answer.headers);
    answered_.add();
    auto*& latency = latencies_[context.service];
    if (latency == nullptr)
    {
        latency =
            &metrics_.summary("briarfold_edge_request_milliseconds",
                              "Time from a request's arrival to its answer.", {{"service", context.service}});
    }
    latency->record(static_cast<double>((clock::now() - context.arrived).ms));
    return answer;
}

http::response entry::end_unanswered(const request_context& context, unsigned status,
                                     core::duration retry_after, const std::string& reason)
{
    if (context.failed_answer)
    {
        return make_answer(context, *context.failed_answer);
    }
    const bool is_unknown = context.may_have_run && status == status_unavailable;
    return refuse(context, is_unknown ? status_bad_gateway : status,
                  is_unknown ? core::duration{} : retry_after, reason);
}

http::response entry::finish(const request_context& context, wire::forward_result result)
{
    if (result.outcome == wire::outcome::answered)
    {
        return make_answer(context, std::move(result));
    }
    if (result.outcome == wire::outcome::unknown)
    {
        const auto status =
            result.status == status_gateway_timeout ? status_gateway_timeout : status_bad_gateway;
        return end_unanswered(context, status, {}, result.reason);
    }
    return end_unanswered(context, status_unavailable, result.retry_after, result.reason);
}

} // namespace briarfold::edge
