#include "edge/entry.hpp"

#include "wire/iforwarder.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
/// Without a deadline of the caller's and a timeout of the route's.
constexpr core::duration default_deadline{30000};
/// A router that just started learns the configuration within this time.
constexpr core::duration startup_retry{500};
/// A move of keys takes as long as the work that runs on them, so a request waits for it at most this long.
constexpr core::duration longest_hold{1500};
/// Keys without an owner are granted again after the bound of the former grant; few requests can wait for it.
constexpr core::duration ownerless_retry{1200};
constexpr std::size_t most_waiting = 64;
constexpr int most_hops = 6;

bool is_connection_header(std::string_view name)
{
    constexpr std::string_view names[] = {"Connection",        "Keep-Alive",     "Proxy-Connection",
                                          "Transfer-Encoding", "Content-Length", "TE",
                                          "Trailer",           "Upgrade",        "Proxy-Authenticate"};
    return std::ranges::any_of(names,
                               [&](std::string_view item) { return http::equal_ignoring_case(item, name); });
}

void drop_connection_headers(std::vector<http::header>& headers)
{
    std::erase_if(headers, [](const http::header& item) { return is_connection_header(item.name); });
}

} // namespace

struct entry::call
{
    request_head head;
    const routes::route* route = nullptr;
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
    /// Whether an attempt may have run.
    bool may_have_run = false;
};

entry::entry(asio::any_io_executor executor, std::string name, std::string zone, const protocol& hooks,
             event_log& log, metrics::registry& metrics, entry_hooks surroundings)
    : executor_(std::move(executor)), name_(std::move(name)), zone_(std::move(zone)), hooks_(hooks),
      log_(log), metrics_(metrics),
      answered_(metrics.counter("briarfold_edge_answered_total", "Requests answered by a backend server.")),
      surroundings_(std::move(surroundings))
{}

bool entry::apply(routes::routing_config config)
{
    return routes_.apply(std::move(config));
}

void entry::apply(const directory::snapshot& known, const directory::update& change)
{
    if (change.has_routers)
    {
        router_peers_.clear();
        router_zones_.clear();
        for (const auto& [name, router] : known.routers)
        {
            router_peers_[name] = router.peer;
            router_zones_[name] = router.zone;
        }
    }
    owners_.apply(known, change);
    const bool is_changed = known.revision != revision_ || known.term != term_;
    revision_ = known.revision;
    term_ = known.term;
    if (is_changed)
    {
        std::ranges::for_each(waiting_, [](asio::steady_timer* timer) { timer->cancel(); });
    }
}

asio::awaitable<void> entry::await_change(core::duration limit)
{
    asio::steady_timer timer(executor_, std::chrono::milliseconds(std::max<std::int64_t>(limit.ms, 1)));
    const auto place = waiting_.insert(waiting_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiting_.erase(place);
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

std::optional<entry::destination> entry::find_group(const call& item) const
{
    const auto* const group = owners_.find_group(item.service);
    if (group == nullptr)
    {
        return std::nullopt;
    }
    std::optional<destination> best;
    double best_cost = 0;
    for (const auto& [front, slots] : *group)
    {
        const auto sent = sent_to_group_.find(front + "/" + item.service);
        const double load = (sent == sent_to_group_.end() ? 0.0 : sent->second) / std::max(slots, 1);
        // Among equally loaded fronts the one in the own zone saves a trip.
        constexpr double other_zone_cost = 0.1;
        const auto zone = router_zones_.find(front);
        const double cost =
            load + (zone != router_zones_.end() && zone->second == zone_ ? 0 : other_zone_cost);
        if (!best || cost < best_cost)
        {
            best = destination{"", front, false};
            best_cost = cost;
        }
    }
    return best;
}

std::optional<entry::destination> entry::find_destination(const call& item) const
{
    auto found = item.is_keyed ? find_owner(item.service, item.head.key.value_or(0)) : find_group(item);
    if (found && found->front != name_ && !router_peers_.contains(found->front))
    {
        return std::nullopt;
    }
    return found;
}

http::response entry::refuse(const call& item, unsigned status, core::duration retry_after,
                             const std::string& reason)
{
    log_.write("request ended", {{"request", item.head.attempt_id},
                                 {"route", item.route_name},
                                 {"service", item.service},
                                 {"status", status},
                                 {"reason", reason},
                                 {"retry_after_ms", retry_after.ms},
                                 {"configuration", routes_.config().version},
                                 {"directory", revision_},
                                 {"term", term_},
                                 {"elapsed_ms", (clock::now() - item.arrived).ms}});
    auto*& counter = refused_[status];
    if (counter == nullptr)
    {
        counter = &metrics_.counter("briarfold_edge_refused_total", "Requests answered by the router itself.",
                                    {{"status", std::to_string(status)}});
    }
    counter->add();
    return hooks_.make_refusal(status, item.head.attempt_id, retry_after, reason);
}

std::optional<http::response> entry::prepare(call& item, http::request& message)
{
    item.arrived = clock::now();
    item.head = hooks_.read_request(message);
    if (is_refusing_)
    {
        constexpr core::duration other_router{50};
        return refuse(item, status_unavailable, other_router, "this router is about to end");
    }
    if (!routes_.is_known())
    {
        return refuse(item, status_unavailable, startup_retry, "no configuration is known yet");
    }
    const auto* const route = routes_.match(http::find_header(message.headers, "Host"), message.target);
    if (route == nullptr)
    {
        return refuse(item, status_not_found, {}, "no route matches");
    }
    item.route_name = route->name;
    item.service = routes_.choose_service(*route);
    item.is_idempotent = route->is_idempotent;
    item.priority = route->priority;
    item.max_attempts = route->max_attempts;
    const auto* const service = routes_.find_service(item.service);
    item.is_keyed = service != nullptr && service->has_key_ownership;
    if (item.is_keyed && !item.head.key)
    {
        return refuse(item, status_bad_request, {}, "the request names no key");
    }
    const auto deadline =
        item.head.deadline.value_or(route->timeout.ms > 0 ? route->timeout : default_deadline);
    auto& longest = longest_deadline_[route->name];
    longest = std::max(longest, deadline);
    const auto timeout = route->timeout.ms > 0 ? route->timeout : deadline;
    item.deadline = item.arrived + std::min(deadline, timeout);
    if (latest_end_)
    {
        item.deadline = std::min(item.deadline, *latest_end_);
    }
    const auto objective = route->objective.ms > 0 ? route->objective : timeout;
    item.objective_deadline = item.arrived + objective - (longest - deadline);
    drop_connection_headers(message.headers);
    item.message = std::move(message);
    return std::nullopt;
}

wire::forward_request entry::make_forward(const call& item) const
{
    const auto now = clock::now();
    wire::forward_request request;
    request.service = item.service;
    request.key = item.is_keyed ? std::to_string(*item.head.key) : "";
    request.method = item.message.method;
    request.target = item.message.target;
    request.headers = item.message.headers;
    request.body = item.message.body;
    request.request_id = item.head.attempt_id;
    request.deadline = item.deadline - now;
    request.is_idempotent = item.is_idempotent;
    request.route = item.route_name;
    request.priority = item.priority;
    request.objective = item.objective_deadline - now;
    request.max_attempts = item.max_attempts;
    return request;
}

asio::awaitable<wire::forward_result> entry::send(call& item, destination to,
                                                  std::shared_ptr<core::cancellation> departure)
{
    auto request = make_forward(item);
    request.backend_server = to.backend_server;
    const auto group = to.front + "/" + item.service;
    if (!item.is_keyed)
    {
        ++sent_to_group_[group];
    }
    wire::forward_result result;
    try
    {
        if (to.front == name_)
        {
            result = co_await surroundings_.serve_here(std::move(request), departure);
        }
        else
        {
            result =
                co_await surroundings_.serve_there(router_peers_.at(to.front), std::move(request), departure);
        }
    }
    catch (const wire::link_error& failure)
    {
        result.outcome = failure.is_sent() ? wire::outcome::unknown : wire::outcome::refused_not_run;
        result.status = status_bad_gateway;
        result.reason = failure.what();
        result.not_run_reason = "link";
    }
    catch (const core::timeout_error& failure)
    {
        result.status = status_gateway_timeout;
        result.reason = failure.what();
    }
    result.peer = result.peer.empty() ? to.front : result.peer;
    if (!item.is_keyed)
    {
        --sent_to_group_[group];
    }
    co_return result;
}

asio::awaitable<http::response> entry::handle(http::request message,
                                              std::shared_ptr<core::cancellation> departure)
{
    call item;
    if (auto refusal = prepare(item, message))
    {
        co_return std::move(*refusal);
    }
    ++in_flight_;
    auto answer = co_await route(item, std::move(departure));
    --in_flight_;
    co_return answer;
}

asio::awaitable<http::response> entry::route(call& item, std::shared_ptr<core::cancellation> departure)
{
    for (int hop = 0; hop < most_hops; ++hop)
    {
        const auto now = clock::now();
        if (departure && departure->is_cancelled())
        {
            co_return refuse(item, status_unavailable, {}, "the caller left");
        }
        if (now >= item.deadline)
        {
            break;
        }
        const auto to = find_destination(item);
        if (!to)
        {
            const auto held = now - item.arrived;
            const auto limit = std::min(longest_hold, item.deadline - item.arrived) - held;
            if (limit.ms <= 0 || waiting_.size() >= most_waiting)
            {
                const auto third = core::duration{(item.deadline - now).ms / 3};
                co_return refuse(item, item.may_have_run ? status_bad_gateway : status_unavailable,
                                 std::min(ownerless_retry, third), "the key has no owner");
            }
            --hop;
            co_await await_change(limit);
            continue;
        }
        if (to->is_out_of_service)
        {
            const auto third = core::duration{(item.deadline - now).ms / 3};
            co_return refuse(item, item.may_have_run ? status_bad_gateway : status_unavailable,
                             std::min(ownerless_retry, third),
                             "the backend server of the key is unreachable");
        }
        auto result = co_await send(item, *to, departure);
        const bool is_moved = result.outcome == wire::outcome::refused_not_run &&
                              (result.not_run_reason == "moved" || result.not_run_reason == "link");
        if (is_moved)
        {
            constexpr core::duration look_again{60};
            co_await await_change(look_again);
            continue;
        }
        const bool is_lost = result.outcome == wire::outcome::unknown && result.not_run_reason == "link";
        if (is_lost && item.is_idempotent && !item.may_have_run)
        {
            item.may_have_run = true;
            constexpr core::duration takeover{100};
            co_await await_change(takeover);
            continue;
        }
        co_return finish(item, std::move(result));
    }
    const bool is_unknown = item.may_have_run;
    co_return refuse(item, is_unknown ? status_gateway_timeout : status_unavailable, {},
                     "no front served it in time");
}

http::response entry::finish(const call& item, wire::forward_result result)
{
    if (result.outcome == wire::outcome::answered)
    {
        http::response answer(result.status, std::move(result.headers), std::move(result.body));
        drop_connection_headers(answer.headers);
        answered_.add();
        auto*& latency = latencies_[item.service];
        if (latency == nullptr)
        {
            latency = &metrics_.summary("briarfold_edge_request_milliseconds",
                                        "Time from a request's arrival to its answer.",
                                        {{"service", item.service}});
        }
        latency->record(static_cast<double>((clock::now() - item.arrived).ms));
        return answer;
    }
    if (result.outcome == wire::outcome::unknown || item.may_have_run)
    {
        const auto status =
            result.status == status_gateway_timeout ? status_gateway_timeout : status_bad_gateway;
        return refuse(item, status, {}, result.reason);
    }
    return refuse(item, status_unavailable, result.retry_after, result.reason);
}

} // namespace briarfold::edge
