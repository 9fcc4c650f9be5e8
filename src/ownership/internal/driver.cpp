#include "ownership/internal/driver.hpp"

#include "core/ids.hpp"
#include "core/pause.hpp"
#include "replica/peer_source.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::ownership {

namespace asio = core::asio;
using core::clock;
using core::duration;
using core::time_point;
using internal::machine;

namespace {

constexpr duration tick_interval{10};
constexpr duration hand_over_timeout{5000};
constexpr duration move_timeout{30000};
constexpr duration poll_interval{10};

nlohmann::json to_json(const slice_move& request)
{
    return {{"part", to_string(request.part)}, {"source", request.source}, {"target", request.target}};
}

} // namespace

ownership::driver::driver(asio::any_io_executor executor, ownership_dependencies dependencies)
    : executor_(std::move(executor)), dependencies_(dependencies),
      backends_(executor_, dependencies.members.self().instance_id),
      machine_(dependencies.members.self(), [] { return core::make_id("op"); })
{}

void ownership::driver::start()
{
    const auto self = shared_from_this();
    register_methods();
    membership::heartbeat_hooks hooks;
    hooks.on_heartbeat = [self](const std::string& from) {
        return self->with_machine([&](machine& m, time_point now) { return m.on_heartbeat(from, now); });
    };
    hooks.on_voucher = [self](const std::string& from, std::int64_t seq,
                              const internal::fenced_rows& fenced) {
        ++self->counts_.vouchers_received;
        self->with_machine([&](machine& m, time_point) { m.on_voucher(from, seq, fenced); });
    };
    dependencies_.heartbeats.set_hooks(std::move(hooks));
    dependencies_.members.on_change([self](const membership::live_routers& live) {
        self->with_machine([&](machine& m, time_point now) { m.on_live(*live, now); });
    });
    dependencies_.rows.on_change(
        [self](const auto& current, const auto& changed) { self->on_rows(current, changed); });
    const auto live = dependencies_.members.live();
    with_machine([&](machine& m, time_point now) { m.on_live(*live, now); });
    const auto current = dependencies_.rows.current();
    on_rows(current, dependencies_.rows.all_rows().rows);
    asio::co_spawn(executor_, tick(self), asio::detached);
}

void ownership::driver::on_rows(const std::shared_ptr<const replica::snapshot>& current,
                                const std::vector<store::row>& changed)
{
    with_machine([&](machine& m, time_point now) {
        for (const auto& row : changed)
        {
            try
            {
                m.on_row(row, now);
            }
            catch (const core::error& failure)
            {
                spdlog::error("row {} ignored: {}", row.key, failure.what());
            }
        }
    });
    if (!maps_.apply(changed, current->revision))
    {
        return;
    }
    std::unique_lock lock(hooks_mutex_);
    const auto hooks = hooks_;
    lock.unlock();
    const auto published = maps_.current();
    std::ranges::for_each(hooks, [&](const auto& hook) { hook(published); });
}

asio::awaitable<void> ownership::driver::tick(self_pointer self)
{
    asio::steady_timer timer(self->executor_);
    while (!self->is_stopping_)
    {
        self->with_machine([](machine& m, time_point now) { m.tick(now); });
        timer.expires_after(std::chrono::milliseconds(tick_interval.ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ownership::driver::on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook)
{
    const std::scoped_lock lock(hooks_mutex_);
    hooks_.push_back(std::move(hook));
}

duration ownership::driver::unchecked_authority(const std::string& server) const
{
    const std::scoped_lock lock(mutex_);
    return machine_.unchecked_authority(server, clock::now());
}

asio::awaitable<bool> ownership::driver::move(slice_move request)
{
    const auto source = map()->find(request.source);
    if (!source)
    {
        co_return false;
    }
    if (source->controller == dependencies_.members.self().instance_id)
    {
        co_return co_await move_locally(std::move(request));
    }
    const auto peer = find_peer(source->controller);
    if (!peer)
    {
        co_return false;
    }
    try
    {
        const auto result = co_await dependencies_.peers.call(*peer, "move", to_json(request), move_timeout);
        co_return result.value("moved", false);
    }
    catch (const core::error&)
    {
        co_return false;
    }
}

asio::awaitable<bool> ownership::driver::move_locally(slice_move request)
{
    const auto move_id = next_move_id_++;
    {
        const std::scoped_lock lock(hooks_mutex_);
        move_results_[move_id] = std::nullopt;
    }
    bool is_accepted =
        with_machine([&](machine& m, time_point now) { return m.move(request, move_id, now); });
    std::optional<bool> result;
    const auto deadline = clock::now() + move_timeout;
    while (is_accepted && !result && clock::now() < deadline && !is_stopping_)
    {
        co_await core::pause_for(poll_interval);
        const std::scoped_lock lock(hooks_mutex_);
        result = move_results_[move_id];
    }
    const std::scoped_lock lock(hooks_mutex_);
    move_results_.erase(move_id);
    co_return result.value_or(false);
}

asio::awaitable<void> ownership::driver::hand_over_all()
{
    with_machine([](machine& m, time_point) { m.begin_stop(); });
    const auto deadline = clock::now() + hand_over_timeout;
    while (clock::now() < deadline && has_other_routers())
    {
        const auto left = with_machine([](machine& m, time_point) { return m.controlled(); });
        if (left == 0)
        {
            break;
        }
        co_await core::pause_for(poll_interval);
    }
}

bool ownership::driver::has_other_routers() const
{
    return dependencies_.members.live()->size() > 1;
}

std::optional<http::endpoint> ownership::driver::find_peer(const std::string& instance_id) const
{
    const auto others = dependencies_.members.others();
    const auto found = std::ranges::find(*others, instance_id, &membership::router_info::instance_id);
    if (found == others->end())
    {
        return std::nullopt;
    }
    return http::endpoint(found->ip, found->peer_port);
}

protocol_counters ownership::driver::counters() const
{
    protocol_counters values;
    values.grants_sent = counts_.grants_sent;
    values.grants_accepted = counts_.grants_accepted;
    values.grants_refused = counts_.grants_refused;
    values.exchange_failures = counts_.exchange_failures;
    values.heartbeats_sent = counts_.heartbeats_sent;
    values.vouchers_received = counts_.vouchers_received;
    values.commits = counts_.commits;
    values.conflicts = counts_.conflicts;
    values.commit_retries = counts_.commit_retries;
    values.fences_requested = counts_.fences_requested;
    values.fences_promised = counts_.fences_promised;
    values.rows_pushed = counts_.rows_pushed;
    const std::scoped_lock lock(mutex_);
    values.controlled_rows = machine_.controlled();
    return values;
}

void ownership::driver::register_methods()
{
    const auto self = shared_from_this();
    const auto reply = [](nlohmann::json value) -> asio::awaitable<nlohmann::json> { co_return value; };
    dependencies_.peers.register_method("fence", [self, reply](const std::string&,
                                                               nlohmann::json parameters) {
        internal::fence_request request;
        request.to = parameters.at("to");
        request.server = parameters.at("server");
        request.controller = parameters.at("controller");
        request.witnesses = parameters.at("witnesses");
        request.epoch = parameters.at("epoch");
        if (request.to != self->dependencies_.members.self().instance_id)
        {
            // The request is meant for another process that had this address before. This process does not
            // know its promises.
            throw core::error("fence", request.to, "not this instance");
        }
        const auto answer =
            self->with_machine([&](machine& m, time_point now) { return m.on_fence(request, now); });
        ++self->counts_.fences_promised;
        nlohmann::json result = {{"promised", answer.is_promised}, {"controller", answer.is_from_controller}};
        if (answer.age)
        {
            result["age_ms"] = answer.age->ms;
        }
        return reply(std::move(result));
    });
    dependencies_.peers.register_method(
        "row_changed", [self, reply](const std::string&, nlohmann::json parameters) {
            store::row_batch batch;
            std::ranges::transform(parameters.at("rows"), std::back_inserter(batch.rows), replica::parse_row);
            self->dependencies_.rows.apply(batch);
            return reply(nlohmann::json::object());
        });
    dependencies_.peers.register_method(
        "hand_over", [self, reply](const std::string&, nlohmann::json parameters) {
            const std::string server = parameters.at("server");
            const bool is_taken =
                self->with_machine([&](machine& m, time_point) { return m.on_hand_over(server); });
            return reply({{"taken", is_taken}});
        });
    dependencies_.peers.register_method(
        "move", [self](const std::string&, nlohmann::json parameters) -> asio::awaitable<nlohmann::json> {
            return [](self_pointer driver, nlohmann::json fields) -> asio::awaitable<nlohmann::json> {
                slice_move request;
                request.part = parse_slice(fields.at("part"));
                request.source = fields.at("source");
                request.target = fields.at("target");
                const bool is_moved = co_await driver->move_locally(std::move(request));
                nlohmann::json result;
                result["moved"] = is_moved;
                co_return result;
            }(self, std::move(parameters));
        });
}

} // namespace briarfold::ownership
