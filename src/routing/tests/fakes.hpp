/// Fakes of the components that routing depends on, for tests in one process.
#pragma once

#include "core/asio.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "membership/imembership.hpp"
#include "ownership/iownership.hpp"
#include "routing/entry.hpp"
#include "routing/front.hpp"
#include "wire/peer_network.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace briarfold::routing::tests {

namespace asio = core::asio;

struct running_context
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard = asio::make_work_guard(context);
    std::thread first{[this] { context.run(); }};
    std::thread second{[this] { context.run(); }};

    ~running_context()
    {
        guard.reset();
        context.stop();
        first.join();
        second.join();
    }
};

/// Map with one owner for the whole hash space of the service "svc".
class fake_map : public ownership::iownership_map
{
public:
    fake_map(std::int64_t number, std::vector<ownership::backend_server> servers, std::string owner_id)
        : revision_(number), owner_(std::move(owner_id))
    {
        for (auto& server : servers)
        {
            rows_.push_back(std::make_shared<const ownership::backend_server>(std::move(server)));
        }
    }

    std::int64_t revision() const override { return revision_; }
    std::shared_ptr<const ownership::backend_server> owner(const std::string& service,
                                                           std::uint64_t) const override
    {
        return service == "svc" ? find(owner_) : nullptr;
    }
    bool has_service(const std::string& service) const override { return service == "svc"; }
    std::shared_ptr<const ownership::backend_server> find(const std::string& id) const override
    {
        for (const auto& row : rows_)
        {
            if (row->id == id)
            {
                return row;
            }
        }
        return nullptr;
    }
    std::vector<std::shared_ptr<const ownership::backend_server>> all() const override { return rows_; }

private:
    std::int64_t revision_;
    std::vector<std::shared_ptr<const ownership::backend_server>> rows_;
    std::string owner_;
};

class fake_ownership : public ownership::iownership
{
public:
    void publish(std::vector<ownership::backend_server> servers, const std::string& owner_id)
    {
        std::vector<std::function<void(const std::shared_ptr<const ownership::iownership_map>&)>> hooks;
        std::shared_ptr<const ownership::iownership_map> published;
        {
            const std::scoped_lock lock(mutex_);
            map_ = std::make_shared<fake_map>(map_->revision() + 1, std::move(servers), owner_id);
            published = map_;
            hooks = hooks_;
        }
        for (const auto& hook : hooks)
        {
            hook(published);
        }
    }

    std::shared_ptr<const ownership::iownership_map> map() const override
    {
        const std::scoped_lock lock(mutex_);
        return map_;
    }
    void
    on_map_change(std::function<void(const std::shared_ptr<const ownership::iownership_map>&)> hook) override
    {
        hooks_.push_back(std::move(hook));
    }
    core::duration unchecked_authority(const std::string&) const override { return {authority_ms.load()}; }
    asio::awaitable<bool> move(ownership::slice_move) override { co_return false; }
    asio::awaitable<void> hand_over_all() override { co_return; }

    std::atomic<std::int64_t> authority_ms{0};

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ownership::iownership_map> map_ =
        std::make_shared<fake_map>(0, std::vector<ownership::backend_server>(), "");
    std::vector<std::function<void(const std::shared_ptr<const ownership::iownership_map>&)>> hooks_;
};

class fake_membership : public membership::imembership
{
public:
    explicit fake_membership(membership::router_info self) : self_(std::move(self)) { set({self_}); }

    void set(std::vector<membership::router_info> routers)
    {
        const std::scoped_lock lock(mutex_);
        live_ = std::make_shared<const std::vector<membership::router_info>>(std::move(routers));
    }
    const membership::router_info& self() const override { return self_; }
    membership::live_routers live() const override
    {
        const std::scoped_lock lock(mutex_);
        return live_;
    }
    void report_unreachable(const std::string& instance_id) override
    {
        const std::scoped_lock lock(mutex_);
        unreachable.push_back(instance_id);
    }
    void on_change(std::function<void(const membership::live_routers&)>) override {}

    std::vector<std::string> unreachable;

private:
    mutable std::mutex mutex_;
    membership::router_info self_;
    membership::live_routers live_;
};

/// Backend server that handles requests with the given function, counts them and answers `/cancel`.
class fake_backend
{
public:
    using behaviour = std::function<asio::awaitable<http::response>(http::request, int attempt)>;

    fake_backend(const asio::any_io_executor& executor, std::string id, behaviour work)
        : id_(std::move(id)), work_(std::move(work)),
          server_(std::make_unique<http::server>(
              executor, http::endpoint("127.0.0.1", 0),
              [this](http::request message, const http::endpoint&) { return answer(std::move(message)); }))
    {}

    ownership::backend_server row() const
    {
        ownership::backend_server row;
        row.id = id_;
        row.service = "svc";
        row.address = http::endpoint("127.0.0.1", server_->port());
        row.zone = "z1";
        row.slots = slots;
        row.connections = 16;
        row.intent = ownership::intent::active;
        return row;
    }

    unsigned short port() const { return server_->port(); }
    /// Sets the state that `/cancel` reports for the request id. The default is "unknown".
    void set_state(const std::string& request_id, const std::string& state)
    {
        const std::scoped_lock lock(mutex_);
        states_[request_id] = state;
    }

    int slots = 4;
    std::atomic<int> attempts{0};
    std::atomic<int> cancels{0};
    std::atomic<int> running{0};
    std::atomic<int> max_running{0};
    std::atomic<std::int64_t> last_deadline_ms{0};

private:
    asio::awaitable<http::response> answer(http::request message)
    {
        if (message.target == "/cancel")
        {
            ++cancels;
            co_return answer_cancel(message);
        }
        const int now_running = ++running;
        max_running = std::max(max_running.load(), now_running);
        last_deadline_ms =
            std::stoll(std::string(http::find_header(message.headers, "X-Briarfold-Deadline-Ms")));
        auto response = co_await work_(std::move(message), ++attempts);
        --running;
        co_return response;
    }

    http::response answer_cancel(const http::request& message)
    {
        const std::string request_id = nlohmann::json::parse(message.body).at("request_id");
        const std::scoped_lock lock(mutex_);
        const auto position = states_.find(request_id);
        const nlohmann::json body = {{"state", position == states_.end() ? "unknown" : position->second}};
        return http::json_response(200, body.dump());
    }

    std::string id_;
    behaviour work_;
    std::mutex mutex_;
    std::map<std::string, std::string> states_;
    std::unique_ptr<http::server> server_;
};

inline http::response echo_answer(const http::request& message)
{
    http::response answer;
    answer.headers.emplace_back("X-Request-Id",
                                std::string(http::find_header(message.headers, "X-Request-Id")));
    answer.body = message.method + " " + message.target + " " + message.body;
    return answer;
}

inline http::response refusal_answer(const http::request& message, const std::string& reason)
{
    auto answer = echo_answer(message);
    answer.status = 503;
    answer.headers.emplace_back("X-Briarfold-Not-Run", reason);
    return answer;
}

inline asio::awaitable<http::response> echo(http::request message, int)
{
    co_return echo_answer(message);
}

inline asio::awaitable<void> pause(int ms)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

/// A router with entry, front and connections to peers.
struct router
{
    router(const asio::any_io_executor& executor, fake_ownership& ownership, const std::string& id,
           const routing_hooks& hooks = {})
        : network(executor, {{"127.0.0.1", 0}, "token", id}), membership(make_info(id, network.port())),
          front_role(executor, ownership, hooks, counters),
          entry_role({ownership, membership, front_role, network, counters}, hooks)
    {
        network.on_forward([this](wire::forward_request request, std::shared_ptr<core::cancellation> cancel) {
            return front_role.serve(std::move(request), std::move(cancel));
        });
    }

    static membership::router_info make_info(const std::string& id, unsigned short peer_port)
    {
        membership::router_info info;
        info.instance_id = id;
        info.zone = "z1";
        info.ip = "127.0.0.1";
        info.peer_port = peer_port;
        return info;
    }

    routing_counters counters;
    wire::peer_network network;
    fake_membership membership;
    front front_role;
    entry entry_role;
};

inline http::request make_request(const std::string& method, const std::string& id, int deadline_ms = 10000)
{
    return http::request(method, "/svc/item?x=1",
                         {{"X-Briarfold-Customer", "kiosk"},
                          {"X-Briarfold-Key", "k1"},
                          {"X-Request-Id", id},
                          {"X-Briarfold-Deadline-Ms", std::to_string(deadline_ms)}},
                         "body");
}

inline std::future<http::response> send_async(running_context& runner, router& target, http::request message,
                                              std::shared_ptr<core::cancellation> cancel = nullptr)
{
    return asio::co_spawn(runner.context, target.entry_role.answer(std::move(message), std::move(cancel)),
                          asio::use_future);
}

inline std::string outcome_of(const http::response& answer)
{
    return std::string(http::find_header(answer.headers, "X-Briarfold-Outcome"));
}

/// Waits until the condition holds and returns true; returns false after 20 s, which only a fault reaches.
template <class Condition>
bool wait_until(Condition condition)
{
    constexpr std::chrono::seconds limit{20};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace briarfold::routing::tests
