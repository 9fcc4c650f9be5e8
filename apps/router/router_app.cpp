#include "apps/router/router_app.hpp"

#include "admin/admin_api.hpp"
#include "admin/cluster_view.hpp"
#include "apps/router/logging.hpp"
#include "apps/router/observers.hpp"
#include "apps/router/terms_cache.hpp"
#include "contracts/contract_registry.hpp"
#include "contracts/contract_store.hpp"
#include "core/ids.hpp"
#include "core/pause.hpp"
#include "http/server.hpp"
#include "limits/limiter.hpp"
#include "membership/feed_order.hpp"
#include "membership/heartbeat_service.hpp"
#include "membership/registration.hpp"
#include "ownership/ownership.hpp"
#include "replica/peer_source.hpp"
#include "routing/entry.hpp"
#include "routing/front.hpp"
#include "store/http_object_store.hpp"
#include "store/http_table_store.hpp"
#include "trace/measuring_sink.hpp"
#include "wire/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

namespace briarfold::router {

namespace asio = core::asio;

namespace {

constexpr core::duration load_retry_delay{200};
/// Maximum wait for requests in flight at a stop; longer than the longest deadline that a contract allows.
constexpr core::duration drain_limit{65000};
constexpr core::duration drain_poll{20};
/// Time for which the router still serves after its row is removed: peers forward requests to it until the
/// next push of rows.
constexpr core::duration front_grace{300};

membership::router_info make_self(const settings::router_settings& values, std::string instance_id)
{
    membership::router_info self;
    self.instance_id = std::move(instance_id);
    self.zone = values.zone;
    self.ip = values.ip;
    return self;
}

int thread_count(int configured)
{
    return configured > 0 ? configured : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
}

} // namespace

/// Components of the router, declared in order of construction: each one depends only on those above it.
struct router_app::parts
{
    explicit parts(settings::router_settings settings_values);

    asio::awaitable<void> start();
    asio::awaitable<void> load_rows();
    asio::awaitable<bool> load_from(replica::feed_sources sources);
    asio::awaitable<void> catch_up_from_routers();
    asio::awaitable<void> stop();
    asio::awaitable<void> finish_requests();
    asio::awaitable<http::response> answer_caller(http::request message);
    routing::routing_hooks make_hooks();
    std::optional<limits::shared_limits> find_limits(const std::string& customer) const;
    routing::admission admit(const std::string& customer);
    admin::admin_inputs make_admin_inputs();
    std::vector<std::string> not_ready_reasons() const;

    settings::router_settings values;
    std::string instance_id;
    asio::io_context context;
    history::writer history;
    trace::span_recorder spans;
    metrics::registry metrics;
    trace::measuring_sink hops;
    routing::routing_counters counters;
    wire::peer_network network;
    membership::udp_channel udp;
    std::atomic<bool> is_started{false};
    std::atomic<bool> is_stopping{false};
    http::server http_server;
    store::http_table_store table;
    store::http_object_store objects;
    replica::replica rows;
    std::unique_ptr<admin::admin_api> admin_api;
    http::server admin_server;
    membership::router_info self;
    membership::membership members;
    membership::heartbeat_service heartbeats;
    membership::registration registration;
    ownership::ownership ownership;
    contracts::contract_registry contracts;
    contracts::contract_store contract_store;
    std::shared_ptr<limits::limiter> limiter;
    terms_cache terms;
    routing::front front;
    routing::entry entry;
    admin::backend_server_admin backend_servers;
    admin::cluster_view cluster;
    replica::feed feed;
};

router_app::parts::parts(settings::router_settings settings_values)
    : values(std::move(settings_values)), instance_id(core::make_id(values.name_prefix)),
      context(thread_count(values.worker_threads)),
      history(values.history_file, instance_id, history::flush_policy::buffered),
      spans(instance_id, values.trace_file), hops(metrics, spans),
      network(context.get_executor(), {{values.ip, values.peer_port}, values.router_token, instance_id}),
      udp(context.get_executor(), {values.ip, values.udp_port}),
      http_server(
          context.get_executor(), {values.ip, values.http_port},
          [this](http::request message, const http::endpoint&) { return answer_caller(std::move(message)); },
          {},
          {.on_bad_input =
               [this](unsigned status, const std::string& reason) {
                   return is_started ? entry.make_refusal_response(status, reason) : http::response(status);
               }}),
      table(context.get_executor(), values.platform), objects(context.get_executor(), values.platform),
      admin_server(context.get_executor(), {values.ip, values.admin_port},
                   [this](http::request message, http::endpoint caller) -> asio::awaitable<http::response> {
                       while (!is_started)
                       {
                           co_await core::pause_for(drain_poll);
                       }
                       co_return co_await admin_api->handle(std::move(message), std::move(caller));
                   }),
      self([this] {
          auto info = make_self(values, instance_id);
          info.http_port = http_server.port();
          info.peer_port = network.port();
          info.udp_port = udp.port();
          info.admin_port = admin_server.port();
          return info;
      }()),
      members(self, rows), heartbeats(context.get_executor(), udp, members, rows, table),
      registration(self, table, rows),
      ownership(context.get_executor(), {members, heartbeats, rows, table, network, history}),
      contracts(rows), contract_store(table, objects),
      limiter(std::make_shared<limits::limiter>(
          network, members, metrics, [this](const std::string& customer) { return find_limits(customer); })),
      terms(contracts), front(context.get_executor(), ownership, make_hooks(), counters),
      entry({ownership, members, front, network, counters}, make_hooks()), backend_servers(table),
      cluster(network, self, rows, contracts, spans),
      feed(rows, membership::make_feed_order(members, table, network))
{
    admin_api = std::make_unique<admin::admin_api>(make_admin_inputs());
    network.on_forward([this](wire::forward_request request, std::shared_ptr<core::cancellation> cancel) {
        return front.serve(std::move(request), std::move(cancel));
    });
    replica::serve_changes(network, rows);
    contracts.on_applied([this](const contracts::contract_pointer& applied) {
        history.write(
            history::make_contract_applied("router", applied->contract.customer(), applied->info.version));
    });
    publish_counters(metrics, counters, ownership, rows);
}

routing::routing_hooks router_app::parts::make_hooks()
{
    routing::routing_hooks hooks;
    hooks.terms = [this](const std::string& customer) { return terms.find(customer); };
    hooks.admit = [this](const std::string& customer, const std::string&) { return admit(customer); };
    record_spans(hooks, hops);
    return hooks;
}

std::optional<limits::shared_limits> router_app::parts::find_limits(const std::string& customer) const
{
    const auto found = contracts.find(customer).contract;
    if (!found)
    {
        return std::nullopt;
    }
    const auto& contract = found->contract;
    return limits::shared_limits{contract.requests_per_s(), static_cast<double>(contract.burst()),
                                 contract.concurrency()};
}

routing::admission router_app::parts::admit(const std::string& customer)
{
    routing::admission decision;
    const auto found = contracts.find(customer).contract;
    if (!found)
    {
        return decision;
    }
    const auto answer = limiter->admit(*found);
    decision.is_admitted = static_cast<bool>(answer);
    decision.permit = answer.granted_permit;
    decision.retry_after = answer.retry_after;
    decision.is_transient = answer.refused_by == limits::limit_kind::concurrency;
    if (!answer)
    {
        decision.reason = "limit of the contract: " + limits::to_string(answer.refused_by);
    }
    return decision;
}

admin::admin_inputs router_app::parts::make_admin_inputs()
{
    return {values.admin_token,
            settings::to_json(values),
            contracts,
            contract_store,
            backend_servers,
            metrics,
            [this] { return ownership.map(); },
            [this](std::vector<std::string> customers, core::duration timeout) {
                return cluster.ask_all(std::move(customers), timeout);
            },
            [this](std::string request_id, core::duration timeout) {
                return cluster.find_spans(std::move(request_id), timeout);
            },
            [this] { return not_ready_reasons(); }};
}

std::vector<std::string> router_app::parts::not_ready_reasons() const
{
    std::vector<std::string> reasons;
    if (is_stopping)
    {
        reasons.emplace_back("stopping");
    }
    if (rows.current()->revision == 0)
    {
        reasons.emplace_back("no copy of the table yet");
    }
    if (heartbeats.is_cut_off())
    {
        reasons.emplace_back("cut off from other routers and the store");
    }
    return reasons;
}

asio::awaitable<http::response> router_app::parts::answer_caller(http::request message)
{
    if (!is_started)
    {
        co_return entry.make_refusal_response(routing::status::unavailable, "starting");
    }
    if (heartbeats.is_cut_off())
    {
        co_return entry.make_refusal_response(routing::status::unavailable, "cut off from routers and store");
    }
    co_return co_await entry.answer(std::move(message), nullptr);
}

asio::awaitable<void> router_app::parts::load_rows()
{
    const replica::feed_sources store{std::make_shared<replica::store_source>(table)};
    replica::feed_sources seeds;
    std::ranges::transform(values.seeds, std::back_inserter(seeds), [this](const http::endpoint& seed) {
        return std::make_shared<replica::peer_source>(network, "seed " + http::to_string(seed), seed);
    });
    for (;;)
    {
        if (co_await load_from(store))
        {
            co_return;
        }
        if (co_await load_from(seeds))
        {
            co_await catch_up_from_routers();
            co_return;
        }
        co_await core::pause_for(load_retry_delay);
    }
}

asio::awaitable<bool> router_app::parts::load_from(replica::feed_sources sources)
{
    try
    {
        co_await feed.load(std::move(sources));
        co_return true;
    }
    catch (const core::error& failure)
    {
        spdlog::warn("no copy of the table yet: {}", failure.what());
    }
    co_return false;
}

// Asks every known router for newer rows before the router serves requests, because a seed may lag behind the
// rows that the previous process of this router had applied.
asio::awaitable<void> router_app::parts::catch_up_from_routers()
{
    const auto known = members.others();
    for (const auto& router : *known)
    {
        replica::peer_source source(network, router.instance_id, {router.ip, router.peer_port});
        try
        {
            const auto answer = co_await source.changes(rows.current()->revision, core::duration{0});
            if (!answer.batch.is_truncated)
            {
                rows.apply(answer.batch);
                continue;
            }
            const auto all = co_await source.read_all();
            rows.apply_all(all.batch);
        }
        catch (const core::error& failure)
        {
            spdlog::warn("cannot read newer rows from router {}: {}", router.instance_id, failure.what());
        }
    }
}

asio::awaitable<void> router_app::parts::start()
{
    co_await load_rows();
    ownership.start();
    heartbeats.start();
    const auto executor = context.get_executor();
    asio::co_spawn(executor, registration.run(), asio::detached);
    asio::co_spawn(executor, feed.run(), asio::detached);
    asio::co_spawn(executor, heartbeats.run(), asio::detached);
    asio::co_spawn(executor, limiter->run(), asio::detached);
    is_started = true;
    spdlog::info("started: zone {}, http {}, peers {}, admin {}", self.zone, self.http_port, self.peer_port,
                 self.admin_port);
}

asio::awaitable<void> router_app::parts::finish_requests()
{
    const auto limit = core::clock::now() + drain_limit;
    while (entry.in_flight() + front.in_flight() + http_server.in_flight() > 0 && core::clock::now() < limit)
    {
        co_await core::pause_for(drain_poll);
    }
}

asio::awaitable<void> router_app::parts::stop()
{
    if (is_stopping.exchange(true))
    {
        co_return;
    }
    spdlog::info("stopping: handing over {} rows", ownership.counters().controlled_rows);
    if (is_started)
    {
        co_await ownership.hand_over_all();
        registration.stop();
        co_await registration.remove();
        co_await core::pause_for(front_grace);
        http_server.begin_stop();
        entry.begin_stop();
        front.begin_stop();
        co_await finish_requests();
    }
    spdlog::info("stopped with {} requests in flight", entry.in_flight() + front.in_flight());
    context.stop();
}

router_app::router_app(settings::router_settings values) : parts_(std::make_unique<parts>(std::move(values)))
{
    set_up_logging(parts_->values.log_format, parts_->values.log_level, parts_->instance_id);
}

router_app::~router_app() = default;

int router_app::run()
{
    auto& p = *parts_;
    asio::signal_set signals(p.context, SIGTERM, SIGINT);
    signals.async_wait([&p](const boost::system::error_code& code, int) {
        if (!code)
        {
            asio::co_spawn(p.context, p.stop(), asio::detached);
        }
    });
    asio::co_spawn(p.context, p.start(), asio::detached);
    {
        std::vector<std::jthread> workers;
        const int threads = thread_count(p.values.worker_threads);
        for (int i = 1; i < threads; ++i)
        {
            workers.emplace_back([&p] { p.context.run(); });
        }
        p.context.run();
    }
    p.history.flush();
    return 0;
}

} // namespace briarfold::router
