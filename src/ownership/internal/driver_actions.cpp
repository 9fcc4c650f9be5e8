// Executes the actions of the state machine.
#include "core/ids.hpp"
#include "core/pause.hpp"
#include "ownership/internal/driver.hpp"
#include "ownership/timing.hpp"
#include "replica/peer_source.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::ownership {

namespace asio = core::asio;
using core::duration;
using core::time_point;
using internal::machine;

namespace {

constexpr duration commit_timeout{2000};
constexpr duration commit_retry_delay{100};
constexpr duration fence_timeout{250};
constexpr duration call_timeout{500};

nlohmann::json to_json(const internal::fence_request& request)
{
    return {{"to", request.to},
            {"server", request.server},
            {"controller", request.controller},
            {"witnesses", request.witnesses},
            {"epoch", request.epoch}};
}

/// Returns the written rows at the revision of the commit.
store::row_batch committed_rows(const internal::commit_request& request, std::int64_t revision)
{
    store::row_batch batch;
    for (const auto& write : request.writes)
    {
        batch.rows.emplace_back(write.key, write.expected_version + 1, revision, request.operation_id,
                                write.value);
    }
    return batch;
}

} // namespace

void ownership::driver::dispatch(internal::action item)
{
    std::visit([this](auto&& value) { execute(std::forward<decltype(value)>(value)); }, std::move(item));
}

void ownership::driver::execute(internal::grant_request request)
{
    if (!request.nonce.empty())
    {
        ++counts_.grants_sent;
        dependencies_.history.write(history::make_grant(request.server, request.epoch,
                                                        dependencies_.members.self().instance_id,
                                                        request.nonce, request.slices_version));
    }
    asio::co_spawn(executor_, exchange(shared_from_this(), std::move(request)), asio::detached);
}

asio::awaitable<void> ownership::driver::exchange(self_pointer self, internal::grant_request request)
{
    const auto server = request.server;
    const auto exchange_id = request.exchange;
    const bool is_grant = !request.nonce.empty();
    std::optional<internal::grant_reply> reply;
    try
    {
        reply = co_await self->backends_.exchange(std::move(request));
    }
    catch (const core::error&)
    {
        ++self->counts_.exchange_failures;
    }
    if (!reply)
    {
        self->with_machine([&](machine& m, time_point now) { m.on_failure(server, exchange_id, now); });
        co_return;
    }
    if (is_grant)
    {
        ++(reply->is_accepted ? self->counts_.grants_accepted : self->counts_.grants_refused);
    }
    self->with_machine([&](machine& m, time_point now) { m.on_reply(server, exchange_id, *reply, now); });
}

void ownership::driver::execute(internal::commit_request request)
{
    asio::co_spawn(executor_, commit(shared_from_this(), std::move(request)), asio::detached);
}

asio::awaitable<void> ownership::driver::commit(self_pointer self, internal::commit_request request)
{
    std::optional<store::commit_result> result;
    while (!result && !self->is_stopping_)
    {
        try
        {
            result = co_await self->dependencies_.store.commit(request.operation_id, request.writes,
                                                               commit_timeout);
        }
        catch (const core::error&)
        {
            ++self->counts_.commit_retries;
        }
        if (!result)
        {
            co_await core::pause_for(commit_retry_delay);
        }
    }
    if (!result)
    {
        co_return;
    }
    self->record_commit(request, *result);
    self->with_machine([&](machine& m, time_point now) { m.on_commit(request.operation_id, *result, now); });
    store::row_batch pushed;
    if (result->is_committed)
    {
        pushed = committed_rows(request, result->revision);
    }
    std::ranges::copy_if(result->conflicts, std::back_inserter(pushed.rows),
                         [](const store::row& row) { return row.revision > 0; });
    self->dependencies_.rows.apply(pushed);
}

void ownership::driver::record_commit(const internal::commit_request& request,
                                      const store::commit_result& result)
{
    if (!result.is_committed)
    {
        ++counts_.conflicts;
        return;
    }
    ++counts_.commits;
    for (const auto& write : request.writes)
    {
        if (!write.key.starts_with("backend-server/"))
        {
            continue;
        }
        const auto server = parse_backend_server(write.value);
        history::assignment_fields fields;
        fields.source = "controller";
        fields.backend_server = server.id;
        fields.service = server.service;
        fields.intent = to_string(server.intent);
        fields.row_version = write.expected_version + 1;
        fields.revision = result.revision;
        std::ranges::transform(server.slices, std::back_inserter(fields.slices),
                               [](const slice& item) { return to_string(item); });
        dependencies_.history.write(history::make_assignment(fields));
        spdlog::info("row {}: epoch {}, controller {}, {}, {} slices", server.id, server.epoch,
                     server.controller, fields.intent, server.slices.size());
    }
}

void ownership::driver::execute(internal::fence_request request)
{
    ++counts_.fences_requested;
    if (request.to != dependencies_.members.self().instance_id)
    {
        asio::co_spawn(executor_, fence(shared_from_this(), std::move(request)), asio::detached);
        return;
    }
    with_machine([&](machine& m, time_point now) {
        const auto answer = m.on_fence(request, now);
        m.on_fence_answer(request.to, request, answer, now);
    });
}

asio::awaitable<void> ownership::driver::fence(self_pointer self, internal::fence_request wanted)
{
    const auto request = std::move(wanted);
    const auto peer = self->find_peer(request.to);
    if (!peer)
    {
        co_return;
    }
    internal::fence_answer answer;
    try
    {
        const auto result =
            co_await self->dependencies_.peers.call(*peer, "fence", to_json(request), fence_timeout);
        answer.is_promised = result.at("promised");
        answer.is_from_controller = result.at("controller");
        if (result.contains("age_ms"))
        {
            answer.age = duration{result.at("age_ms")};
        }
    }
    catch (const std::exception&)
    {
        // The request is repeated until it is answered.
        co_return;
    }
    self->with_machine(
        [&](machine& m, time_point now) { m.on_fence_answer(request.to, request, answer, now); });
}

void ownership::driver::execute(const internal::heartbeat_request& request)
{
    ++counts_.heartbeats_sent;
    dependencies_.heartbeats.send_heartbeat(request.to, request.seq);
}

void ownership::driver::execute(internal::row_push push)
{
    ++counts_.rows_pushed;
    auto rows = nlohmann::json::array();
    std::ranges::transform(push.rows, std::back_inserter(rows),
                           [](const store::row& row) { return replica::to_json(row); });
    nlohmann::json parameters;
    parameters["rows"] = std::move(rows);
    asio::co_spawn(executor_, notify_peer(shared_from_this(), push.to, "row_changed", std::move(parameters)),
                   asio::detached);
}

void ownership::driver::execute(const internal::hand_over_request& request)
{
    nlohmann::json parameters;
    parameters["server"] = request.server;
    asio::co_spawn(executor_, notify_peer(shared_from_this(), request.to, "hand_over", std::move(parameters)),
                   asio::detached);
}

asio::awaitable<void> ownership::driver::notify_peer(self_pointer self, std::string to, std::string method,
                                                     nlohmann::json parameters)
{
    const auto peer = self->find_peer(to);
    if (!peer)
    {
        co_return;
    }
    try
    {
        co_await self->dependencies_.peers.call(*peer, method, std::move(parameters), call_timeout);
    }
    catch (const core::error&)
    {
        // The feed delivers the rows later, and handover requests are repeated.
    }
}

void ownership::driver::execute(const internal::suspicion_report& report)
{
    dependencies_.heartbeats.suspect(report.instance_id);
}

void ownership::driver::execute(internal::liveness_probe probe_request)
{
    asio::co_spawn(executor_, probe(shared_from_this(), std::move(probe_request)), asio::detached);
}

asio::awaitable<void> ownership::driver::probe(self_pointer self, internal::liveness_probe wanted)
{
    const auto request = std::move(wanted);
    const auto server = self->map()->find(request.server);
    const bool checks_grants = !server || server->checks_grants;
    if (co_await self->backends_.is_alive(request.address, checks_grants))
    {
        self->with_machine([&](machine& m, time_point now) { m.on_alive(request.server, now); });
    }
}

void ownership::driver::execute(internal::lifecycle_order request)
{
    asio::co_spawn(executor_, send_lifecycle_order(shared_from_this(), std::move(request)), asio::detached);
}

asio::awaitable<void> ownership::driver::send_lifecycle_order(self_pointer self,
                                                              internal::lifecycle_order request)
{
    co_await self->backends_.send_lifecycle_order(std::move(request));
}

void ownership::driver::execute(const internal::move_end& end)
{
    const std::scoped_lock lock(hooks_mutex_);
    if (const auto found = move_results_.find(end.move_id); found != move_results_.end())
    {
        found->second = end.is_committed;
    }
}

} // namespace briarfold::ownership
