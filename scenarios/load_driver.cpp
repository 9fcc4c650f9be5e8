#include "scenarios/load_driver.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/key_hash.hpp"
#include "core/pause.hpp"
#include "http/client_connection.hpp"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace briarfold::scenarios {

namespace {

namespace asio = core::asio;

constexpr core::duration connect_timeout{1000};
constexpr core::duration request_deadline{2000};
/// A router that keeps to the deadline answers well within this time.
constexpr core::duration answer_limit{8000};
/// How long the load balancer leaves out a router that refuses connections.
constexpr core::duration router_pause{500};
constexpr core::duration no_router_pause{50};
/// Shorter than the 60 s after which a router closes an idle connection, so that no request meets the close.
constexpr core::duration idle_limit{20000};
constexpr int most_connect_tries = 20;
constexpr unsigned status_ok = 200;

struct load_key
{
    std::string service;
    std::string key;
    core::duration interval;
};

struct idle_connection
{
    http::client_connection connection;
    core::time_point since;
};

struct router_pool
{
    http::endpoint address;
    std::vector<idle_connection> idle;
    core::time_point out_until;
};

struct call_record
{
    std::string id;
    load_key target;
    bool is_idempotent = false;
};

http::request make_request(const call_record& record, const std::string& customer)
{
    http::request message(record.is_idempotent ? "GET" : "POST", "/" + record.target.service + "/item");
    message.headers.emplace_back("X-Briarfold-Customer", customer);
    message.headers.emplace_back("X-Briarfold-Key", record.target.key);
    message.headers.emplace_back("X-Request-Id", record.id);
    message.headers.emplace_back("X-Briarfold-Deadline-Ms", std::to_string(request_deadline.ms));
    if (!record.is_idempotent)
    {
        message.body = "body of " + record.id;
    }
    return message;
}

void add_idle(router_pool& pool, http::client_connection connection)
{
    pool.idle.push_back({std::move(connection), core::clock::now()});
}

/// An open connection, if there is one. A connection that the router has closed already carries no request.
std::optional<http::client_connection> take_idle(router_pool& pool)
{
    while (!pool.idle.empty())
    {
        auto item = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (item.since + idle_limit >= core::clock::now() && item.connection.is_reusable())
        {
            return std::move(item.connection);
        }
    }
    return std::nullopt;
}

history::outcome_fields read_outcome(const call_record& record, const http::response& answer)
{
    history::outcome_fields outcome;
    outcome.request_id = record.id;
    outcome.outcome = http::find_header(answer.headers, "X-Briarfold-Outcome");
    outcome.status = answer.status;
    outcome.answer_id = http::find_header(answer.headers, "X-Request-Id");
    outcome.answer_hash = core::to_hex(core::text_hash(answer.body));
    if (outcome.outcome != "answered")
    {
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (body.is_object())
        {
            outcome.peer = body.value("peer", "");
            outcome.reason = body.value("step", "") + ": " + body.value("reason", "");
        }
    }
    return outcome;
}

} // namespace

struct load_driver::state
{
    state(deployment& system, history::writer& lines, std::uint64_t seed)
        : history(lines), customer(system.spec().customer), random(seed)
    {
        for (const auto& service : system.spec().services)
        {
            for (int number = 0; number < service.keys; ++number)
            {
                constexpr std::int64_t ms_per_second = 1000;
                keys.push_back({service.name, "key-" + std::to_string(number),
                                core::duration{ms_per_second / service.requests_per_s}});
            }
        }
        for (const auto& router : system.routers())
        {
            pools.emplace_back().address = router.http;
        }
    }

    asio::awaitable<void> drive(load_key target);
    asio::awaitable<void> send(load_key target);
    asio::awaitable<std::optional<std::size_t>> connect(std::optional<http::client_connection>& connection);
    std::optional<std::size_t> pick_router();
    void finish(const call_record& record, history::outcome_fields outcome, const http::response& answer);

    /// Outlives the connections of the pools.
    asio::io_context context{1};
    history::writer& history;
    std::string customer;
    std::mt19937_64 random;
    std::vector<load_key> keys;
    std::vector<router_pool> pools;
    std::thread thread;
    std::atomic<bool> is_stopping{false};

    mutable std::mutex mutex;
    load_counts counts;
    std::map<std::string, std::int64_t> reasons;
    std::map<std::string, std::string> owners;
};

asio::awaitable<void> load_driver::state::drive(load_key target)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto first = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(target.interval.ms));
    co_await core::pause_for(core::duration{first});
    while (!is_stopping)
    {
        // The load is open: a request that waits does not hold up the next one on its key.
        asio::co_spawn(executor, send(target), asio::detached);
        co_await core::pause_for(target.interval);
    }
}

std::optional<std::size_t> load_driver::state::pick_router()
{
    std::vector<std::size_t> candidates;
    const auto now = core::clock::now();
    for (std::size_t i = 0; i < pools.size(); ++i)
    {
        if (pools[i].out_until <= now)
        {
            candidates.push_back(i);
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return candidates[random() % candidates.size()];
}

asio::awaitable<std::optional<std::size_t>>
load_driver::state::connect(std::optional<http::client_connection>& connection)
{
    const auto executor = co_await asio::this_coro::executor;
    for (int tries = 0; tries < most_connect_tries; ++tries)
    {
        const auto chosen = pick_router();
        if (!chosen)
        {
            co_await core::pause_for(no_router_pause);
            continue;
        }
        auto& pool = pools[*chosen];
        if (auto idle = take_idle(pool))
        {
            connection.emplace(std::move(*idle));
            co_return chosen;
        }
        connection.emplace(executor, pool.address);
        try
        {
            co_await connection->connect(connect_timeout);
            co_return chosen;
        }
        catch (const core::error&)
        {
            pool.out_until = core::clock::now() + router_pause;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> load_driver::state::send(load_key target)
{
    std::optional<http::client_connection> connection;
    const auto pool = co_await connect(connection);
    if (!pool)
    {
        // No router accepted a connection: the request was never sent.
        co_return;
    }
    call_record record;
    record.id = core::make_id("req");
    record.target = target;
    record.is_idempotent = random() % 2 == 0;
    history.write(history::make_call(record.id, customer, target.service, target.key, record.is_idempotent));
    {
        const std::scoped_lock lock(mutex);
        ++counts.sent;
    }
    http::response answer;
    history::outcome_fields outcome;
    try
    {
        answer = co_await connection->exchange(make_request(record, customer), answer_limit);
        outcome = read_outcome(record, answer);
        if (connection->is_open())
        {
            add_idle(pools[*pool], std::move(*connection));
        }
    }
    catch (const core::error& failure)
    {
        outcome.request_id = record.id;
        outcome.outcome = "unknown";
        outcome.reason = failure.step();
        // Other idle connections to a router that closed one are most likely closed as well.
        pools[*pool].idle.clear();
    }
    finish(record, outcome, answer);
}

void load_driver::state::finish(const call_record& record, history::outcome_fields outcome,
                                const http::response& answer)
{
    const std::scoped_lock lock(mutex);
    if (outcome.outcome == "answered")
    {
        ++counts.answered;
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status == status_ok && body.is_object())
        {
            owners[record.target.service + "/" + record.target.key] = body.value("backend_server", "");
        }
    }
    else if (outcome.outcome == "refused-not-run")
    {
        ++counts.refused;
    }
    else
    {
        counts.malformed += outcome.outcome == "unknown" ? 0 : 1;
        outcome.outcome = "unknown";
        ++counts.unknown;
    }
    if (outcome.outcome != "answered")
    {
        ++reasons[outcome.outcome + " " + std::to_string(outcome.status) + " " + outcome.reason];
    }
    history.write(history::make_outcome(outcome));
}

load_driver::load_driver(deployment& system, history::writer& history, std::uint64_t seed)
    : state_(std::make_unique<state>(system, history, seed))
{}

load_driver::~load_driver()
{
    stop();
}

void load_driver::start()
{
    for (const auto& key : state_->keys)
    {
        asio::co_spawn(state_->context, state_->drive(key), asio::detached);
    }
    state_->thread = std::thread([this] { state_->context.run(); });
}

void load_driver::stop()
{
    state_->is_stopping = true;
    if (state_->thread.joinable())
    {
        state_->thread.join();
    }
}

load_counts load_driver::counts() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->counts;
}

std::map<std::string, std::int64_t> load_driver::reasons() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->reasons;
}

std::map<std::string, std::string> load_driver::owners() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->owners;
}

std::size_t load_driver::key_count() const
{
    return state_->keys.size();
}

} // namespace briarfold::scenarios
