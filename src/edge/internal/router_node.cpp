#include "edge/router_node.hpp"

#include "core/pause.hpp"
#include "edge/entry.hpp"
#include "edge/front.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
/// Interval of the ticks of the front while requests are queued; without any, grants need fewer ticks.
constexpr core::duration busy_tick_interval{20};
constexpr core::duration idle_tick_interval{60};
constexpr core::duration flush_interval{250};
/// The load balancer notices a router that is not ready within two probes, one per second.
constexpr core::duration min_drain_time{2600};
/// Requests that arrive later after the stop could not be answered before the end of the grace time.
constexpr core::duration accept_time{3000};
/// Time before the end of the grace time at which remaining requests are cut off.
constexpr core::duration grace_margin{500};
/// Time before the end of the grace time by which the requests that came after the stop, from callers or
/// other routers, have their final answer.
constexpr core::duration answer_margin{900};
/// Time in which the last results for other routers reach them.
constexpr core::duration settle_time{150};

/// A frame between routers carries the body together with the head.
constexpr std::size_t max_body_bytes = std::size_t{60} << 20U;

/// Copies of a body between entry and front: in the request, in the forwarded one, and in the frame or the
/// message to the backend server.
constexpr std::size_t body_copies = 3;
/// Time for the body of a request: 60 MB at 10 Mbit/s take 48 s.
constexpr core::duration body_timeout{60000};
/// Open connections of a port that only the platform uses.
constexpr std::size_t max_platform_connections = 64;

constexpr double bytes_per_mb = 1e6;

/// A quarter of the memory holds messages; the rest is for what the process needs itself, and for memory that
/// a growing buffer takes twice for a moment. A request that is alone may take half.
std::shared_ptr<http::transfer_budget> make_budget(double memory_mb)
{
    constexpr double messages_share = 0.25;
    constexpr double reserve_share = 0.5;
    const auto memory = memory_mb * bytes_per_mb;
    return std::make_shared<http::transfer_budget>(static_cast<std::size_t>(memory * messages_share),
                                                   static_cast<std::size_t>(memory * reserve_share));
}

/// Returns how many clients may be connected: what is left of the descriptors beside files, and connections
/// to backend servers, the store and other routers, and no more than an eighth of the memory takes.
std::size_t choose_client_connections(const settings::edge_settings& settings)
{
    constexpr std::size_t file_descriptors = 200;
    // 630 other routers, each with a connection in both directions, leave the rest to backend servers.
    constexpr std::size_t most_own_connections = 1500;
    constexpr double connections_share = 0.125;
    constexpr double connection_bytes = 8192;
    rlimit system{};
    ::getrlimit(RLIMIT_NOFILE, &system);
    const auto limit = settings.max_fds > 0 ? std::min<std::size_t>(system.rlim_cur, settings.max_fds)
                                            : static_cast<std::size_t>(system.rlim_cur);
    const auto open = limit > file_descriptors ? limit - file_descriptors : limit / 2;
    const auto clients = open - std::min(open / 2, most_own_connections);
    const auto memory = settings.memory_mb * bytes_per_mb * connections_share / connection_bytes;
    return std::max<std::size_t>(std::min(clients, static_cast<std::size_t>(memory)), 1);
}

} // namespace

struct router_node::state : std::enable_shared_from_this<router_node::state>
{
    state(asio::io_context& context, settings::edge_settings initial_settings, protocol message_adapter,
          store_tables tables, event_log& decision_log);

    void start();
    asio::awaitable<void> run_ticks();
    asio::awaitable<void> run_flushes();
    asio::awaitable<void> drain(std::function<void()> on_done);
    asio::awaitable<http::response> serve_readiness(http::request message);
    asio::awaitable<http::response> serve_metrics(http::request message);
    bool is_ready() const;
    void record_loss(const http::unanswered_request& request, const std::string& reason);
    void apply_limits();
    http::server_limits make_limits(const routes::input_limits& input) const;
    member_callbacks make_member_callbacks();
    front_callbacks make_front_callbacks();
    entry_callbacks make_entry_callbacks();

    asio::any_io_executor executor;
    settings::edge_settings settings;
    protocol adapter;
    event_log& log;
    metrics::registry metrics;
    std::shared_ptr<http::transfer_budget> budget;
    std::shared_ptr<wire::peer_network> network;
    edge::member member;
    edge::front front;
    edge::entry entry;
    std::optional<http::server> frontend;
    std::optional<http::server> readiness;
    std::optional<http::server> metrics_server;
    std::optional<core::time_point> stopping_since;
    bool was_ready = false;
    bool is_ended = false;
};

router_node::state::state(asio::io_context& context, settings::edge_settings initial_settings,
                          protocol message_adapter, store_tables tables, event_log& decision_log)
    : executor(context.get_executor()), settings(std::move(initial_settings)),
      adapter(std::move(message_adapter)), log(decision_log), budget(make_budget(settings.memory_mb)),
      member(executor, settings, adapter, std::move(tables), log, make_member_callbacks()),
      front(executor, settings, adapter, log, metrics, make_front_callbacks()),
      entry(executor,
            {settings.name,
             settings.zone,
             {settings.retry_budget_ratio, settings.retry_budget_window, settings.retry_budget_slack}},
            adapter, log, metrics, make_entry_callbacks())
{}

member_callbacks router_node::state::make_member_callbacks()
{
    member_callbacks result;
    result.budget = budget;
    result.on_directory = [this](const directory::snapshot& snapshot, const directory::update& change) {
        front.apply_change(snapshot, change, entry.routes().config());
        entry.apply(snapshot, change);
    };
    result.on_config = [this](routes::routing_config config) {
        if (!entry.apply(std::move(config)))
        {
            return false;
        }
        apply_limits();
        // The set of services with key ownership may have changed.
        front.apply(member.directory(), entry.routes().config());
        return true;
    };
    result.on_leaving = [this](const leader::server_process& process, bool is_gone) {
        front.note_leaving(process, is_gone);
    };
    result.on_evacuations = [this] {
        entry.set_evacuated_zones(member.directory(), member.evacuated_zones());
        front.tick();
    };
    result.fill_report = [this](leader::router_report& report) { front.fill_report(report); };
    result.on_network = [this](std::shared_ptr<wire::peer_network> created) {
        network = std::move(created);
        network->on_forward([weak = weak_from_this()](wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> cancellation)
                                -> asio::awaitable<wire::forward_result> {
            const auto self = weak.lock();
            if (!self)
            {
                co_return wire::forward_result();
            }
            co_return co_await self->front.serve(std::move(request), std::move(cancellation));
        });
    };
    return result;
}

front_callbacks router_node::state::make_front_callbacks()
{
    front_callbacks result;
    result.budget = budget;
    result.last_confirmation = [this] { return member.last_confirmation(); };
    result.last_proof = [this] { return member.last_proof(); };
    result.needs_outage_grants = [this] { return member.is_store_failing(); };
    result.request_report = [this] { member.request_report(); };
    result.evacuated_since = [this](const std::string& zone) { return member.evacuated_since(zone); };
    return result;
}

entry_callbacks router_node::state::make_entry_callbacks()
{
    entry_callbacks result;
    result.serve_locally = [this](wire::forward_request request,
                                  std::shared_ptr<core::cancellation> cancellation) {
        return front.serve(std::move(request), std::move(cancellation));
    };
    result.forward_to_router =
        [this](http::endpoint peer, wire::forward_request request,
               std::shared_ptr<core::cancellation> cancellation) -> asio::awaitable<wire::forward_result> {
        const auto link = network;
        if (!link)
        {
            co_return wire::forward_result();
        }
        co_return co_await link->forward(std::move(peer), std::move(request), std::move(cancellation));
    };
    result.await_current_config = [this] { return member.await_current_config(); };
    return result;
}

void router_node::state::apply_limits()
{
    if (!frontend)
    {
        return;
    }
    frontend->set_limits(make_limits(entry.routes().config().limits));
}

http::server_limits router_node::state::make_limits(const routes::input_limits& input) const
{
    http::server_limits limits;
    limits.head_bytes = input.head_bytes;
    limits.body_bytes = std::min(input.body_bytes, max_body_bytes);
    limits.idle = input.idle_timeout;
    limits.head = input.head_timeout;
    limits.body = body_timeout;
    limits.connections = choose_client_connections(settings);
    limits.body_copies = body_copies;
    return limits;
}

void router_node::state::record_loss(const http::unanswered_request& request, const std::string& reason)
{
    metrics
        .counter("briarfold_edge_answers_lost_total",
                 "Requests whose connection ended before their answer was written.",
                 {{"answered", request.answer ? "yes" : "no"}})
        .add();
    const auto head = request.answer ? adapter.read_response(*request.answer) : response_head();
    log.write("answer lost", {{"request", head.attempt_id},
                              {"caller", http::to_string(request.caller)},
                              {"method", request.method},
                              {"target", request.target},
                              {"status", request.answer ? request.answer->status : 0},
                              {"reason", reason},
                              {"elapsed_ms", (clock::now() - request.arrived).ms}});
}

void router_node::state::start()
{
    const auto weak = weak_from_this();
    http::server_hooks internal_hooks;
    internal_hooks.budget = budget;
    auto hooks = internal_hooks;
    hooks.on_loss = [weak](const http::unanswered_request& request, const std::string& reason) {
        if (const auto self = weak.lock())
        {
            self->record_loss(request, reason);
        }
    };
    hooks.may_run_concurrently = [weak](const http::request& message) {
        const auto self = weak.lock();
        return self && self->entry.may_run_concurrently(message);
    };
    frontend.emplace(
        executor, settings.frontend,
        http::watched_handler(
            [weak](http::request message, http::endpoint,
                   std::shared_ptr<core::cancellation> cancellation) -> asio::awaitable<http::response> {
                const auto self = weak.lock();
                if (!self)
                {
                    co_return http::response(status_unavailable);
                }
                co_return co_await self->entry.handle(std::move(message), std::move(cancellation));
            }),
        make_limits(routes::input_limits()), std::move(hooks));
    http::server_limits platform_limits;
    platform_limits.connections = max_platform_connections;
    readiness.emplace(
        executor, settings.readiness,
        http::handler([weak](http::request message, http::endpoint) -> asio::awaitable<http::response> {
            const auto self = weak.lock();
            if (!self)
            {
                co_return http::response(status_unavailable);
            }
            co_return co_await self->serve_readiness(std::move(message));
        }),
        platform_limits, internal_hooks);
    metrics_server.emplace(
        executor, settings.metrics,
        http::handler([weak](http::request message, http::endpoint) -> asio::awaitable<http::response> {
            const auto self = weak.lock();
            if (!self)
            {
                co_return http::response(status_unavailable);
            }
            co_return co_await self->serve_metrics(std::move(message));
        }),
        platform_limits, internal_hooks);
    metrics.computed_gauge("briarfold_edge_queued_requests", "Requests that wait for a slot.", {},
                           [this] { return static_cast<double>(front.queued()); });
    metrics.computed_gauge("briarfold_edge_running_requests", "Requests at backend servers.", {},
                           [this] { return static_cast<double>(front.in_flight()); });
    metrics.computed_gauge("briarfold_edge_backend_servers", "Backend servers whose front this router is.",
                           {}, [this] { return static_cast<double>(front.servers()); });
    metrics.computed_gauge("briarfold_edge_message_bytes", "Bytes of messages in flight.", {},
                           [this] { return static_cast<double>(budget->held_bytes()); });
    metrics.computed_gauge("briarfold_edge_message_peak_bytes", "Most bytes of messages in flight so far.",
                           {}, [this] { return static_cast<double>(budget->peak_bytes()); });
    metrics.computed_gauge("briarfold_edge_messages_given_up",
                           "Messages given up because the memory for messages was full.", {},
                           [this] { return static_cast<double>(budget->given_up()); });
    metrics.computed_gauge("briarfold_edge_client_connections", "Open connections of clients.", {},
                           [this] { return frontend ? static_cast<double>(frontend->connections()) : 0.0; });
    metrics.computed_gauge(
        "briarfold_edge_client_connections_evicted",
        "Connections of clients that were closed because of the limit of their number.", {},
        [this] { return frontend ? static_cast<double>(frontend->evicted_connections()) : 0.0; });
    metrics.computed_gauge("briarfold_edge_configuration_version", "Configuration in force.", {},
                           [this] { return static_cast<double>(entry.routes().config().version); });
    metrics.computed_gauge("briarfold_edge_configuration_age_milliseconds",
                           "Time since the configuration in force was known to be the newest one.", {},
                           [this] { return static_cast<double>(member.config_age().ms); });
    metrics.computed_gauge("briarfold_edge_evacuated_zones", "Evacuated availability zones.", {},
                           [this] { return static_cast<double>(member.evacuated_zones().size()); });
    metrics.computed_gauge("briarfold_edge_evacuations_malformed",
                           "Malformed rows and messages of evacuations so far.", {},
                           [this] { return static_cast<double>(member.malformed_evacuations()); });
    metrics.computed_gauge("briarfold_edge_leader", "1 while this router is the leader.", {},
                           [this] { return member.is_leader() ? 1.0 : 0.0; });
    metrics.computed_gauge("briarfold_edge_store_era",
                           "Era of the store; rises when it is restored from a copy.", {},
                           [this] { return static_cast<double>(member.store_era()); });
    metrics.computed_gauge("briarfold_edge_log_lines_left_out", "Log lines left out.", {},
                           [this] { return static_cast<double>(log.dropped()); });
    member.start();
    asio::co_spawn(
        executor, [self = shared_from_this()] { return self->run_ticks(); }, asio::detached);
    asio::co_spawn(
        executor, [self = shared_from_this()] { return self->run_flushes(); }, asio::detached);
}

bool router_node::state::is_ready() const
{
    return !stopping_since && entry.routes().is_known() && member.is_connected() &&
           !member.directory().entries.empty();
}

asio::awaitable<http::response> router_node::state::serve_readiness(http::request message)
{
    if (!adapter.is_readiness_probe(message))
    {
        co_return http::response(status_not_found);
    }
    const bool is_now_ready = is_ready();
    if (is_now_ready != was_ready)
    {
        was_ready = is_now_ready;
        log.write("readiness changed", {{"ready", is_now_ready},
                                        {"configuration", entry.routes().config().version},
                                        {"connected", member.is_connected()},
                                        {"stopping", stopping_since.has_value()}});
    }
    co_return http::response(is_now_ready ? status_ok : status_unavailable);
}

asio::awaitable<http::response> router_node::state::serve_metrics(http::request message)
{
    if (message.method != "GET")
    {
        co_return http::response(status_not_found);
    }
    http::response answer(status_ok);
    answer.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    answer.body = metrics.to_prometheus();
    co_return answer;
}

asio::awaitable<void> router_node::state::run_ticks()
{
    const auto self = shared_from_this();
    while (!is_ended)
    {
        front.tick();
        const auto wait = front.queued() > 0 ? busy_tick_interval : idle_tick_interval;
        co_await core::pause_for(wait);
    }
}

asio::awaitable<void> router_node::state::run_flushes()
{
    const auto self = shared_from_this();
    while (!is_ended)
    {
        log.flush();
        co_await core::pause_for(flush_interval);
    }
}

asio::awaitable<void> router_node::state::drain(std::function<void()> on_done)
{
    const auto self = shared_from_this();
    constexpr core::duration poll{50};
    const auto start = *stopping_since;
    bool is_idle = false;
    std::optional<core::time_point> idle_since;
    while (true)
    {
        const auto elapsed = clock::now() - start;
        if (elapsed > min_drain_time)
        {
            frontend->close_idle();
        }
        if (elapsed > accept_time)
        {
            entry.refuse_new();
        }
        const bool has_unsent_results = network && network->unsent_results() > 0;
        is_idle = entry.in_flight() == 0 && front.in_flight() == 0 && front.servers() == 0 &&
                  frontend->connections() == 0 && !has_unsent_results && !member.is_needed_as_leader();
        idle_since = is_idle ? idle_since.value_or(clock::now()) : std::optional<core::time_point>();
        const bool has_settled = idle_since && clock::now() - *idle_since >= settle_time;
        if ((has_settled && elapsed > min_drain_time) || elapsed > settings.grace - grace_margin)
        {
            break;
        }
        co_await core::pause_for(poll);
    }
    log.write("stopped", {{"reason", is_idle ? "idle" : "the grace time ends"},
                          {"in_flight", entry.in_flight()},
                          {"running", front.in_flight()},
                          {"connections", frontend->connections()},
                          {"unsent_results", network ? network->unsent_results() : 0}});
    log.flush();
    if (!is_idle)
    {
        // Their outcome is unknown; a closed connection would say no more, but only after the callers noticed
        // it.
        frontend->answer_unfinished(http::response(status_gateway_timeout));
        co_await core::pause_for(poll);
    }
    on_done();
}

router_node::router_node(asio::io_context& context, settings::edge_settings settings, protocol adapter,
                         store_tables tables, event_log& log)
    : state_(
          std::make_shared<state>(context, std::move(settings), std::move(adapter), std::move(tables), log))
{
    state_->start();
}

router_node::~router_node()
{
    kill();
}

void router_node::stop(std::function<void()> on_done)
{
    if (state_->stopping_since)
    {
        return;
    }
    state_->stopping_since = clock::now();
    state_->log.write("stopping",
                      {{"in_flight", state_->entry.in_flight()}, {"running", state_->front.in_flight()}});
    state_->frontend->begin_drain();
    const auto last_answer = *state_->stopping_since + state_->settings.grace - answer_margin;
    state_->entry.cap_deadlines(last_answer);
    state_->front.cap_deadlines(last_answer);
    state_->member.begin_stop();
    asio::co_spawn(
        state_->executor, [self = state_, done = std::move(on_done)] { return self->drain(done); },
        asio::detached);
}

void router_node::kill()
{
    state_->is_ended = true;
    state_->frontend.reset();
    state_->readiness.reset();
    state_->metrics_server.reset();
    state_->member.kill();
    state_->network.reset();
}

void router_node::reload(const settings::edge_settings& settings)
{
    const bool needs_restart = settings.frontend != state_->settings.frontend ||
                               settings.peer != state_->settings.peer ||
                               settings.store != state_->settings.store;
    state_->log.write("settings reloaded",
                      {{"settings", settings::to_json(settings)}, {"needs_restart", needs_restart}});
    state_->settings.grace = settings.grace;
}

} // namespace briarfold::edge
