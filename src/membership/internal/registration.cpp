#include "membership/registration.hpp"

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/pause.hpp"
#include "membership/membership.hpp"

#include <spdlog/spdlog.h>

namespace briarfold::membership {

namespace asio = core::asio;

namespace {

constexpr core::duration write_timeout{1000};
constexpr core::duration check_interval{200};

std::vector<store::row_write> single_write(std::string key, std::int64_t version, nlohmann::json value)
{
    std::vector<store::row_write> writes;
    writes.emplace_back(std::move(key), version, std::move(value));
    return writes;
}

} // namespace

registration::registration(router_info self, store::itable_store& store, replica::ireplica& rows)
    : self_(std::move(self)), store_(store), rows_(rows), started_ms_(core::clock::wall().ms)
{}

asio::awaitable<bool> registration::write_row()
{
    auto value = to_json(self_);
    value["started_ms"] = started_ms_;
    const auto key = row_key(self_.instance_id);
    try
    {
        const auto operation = core::make_id("register");
        const auto result = co_await store_.commit(operation, single_write(key, 0, value), write_timeout);
        if (!result.is_committed)
        {
            // The row may exist although the replica lacks it: the replica lags, or an earlier attempt
            // committed.
            co_return !result.conflicts.empty() && result.conflicts.front().version > 0;
        }
        store::row_batch pushed;
        pushed.rows.emplace_back(key, 1, result.revision, operation, std::move(value));
        rows_.apply(pushed);
        spdlog::info("router {} registered", self_.instance_id);
        co_return true;
    }
    catch (const core::error&)
    {
        co_return false;
    }
}

asio::awaitable<void> registration::run()
{
    const auto key = row_key(self_.instance_id);
    while (!is_stopping_)
    {
        if (!rows_.current()->find(key))
        {
            co_await write_row();
        }
        co_await core::pause_for(check_interval);
    }
}

asio::awaitable<void> registration::remove()
{
    const auto key = row_key(self_.instance_id);
    try
    {
        const auto current = co_await store_.read(key, write_timeout);
        if (current)
        {
            co_await store_.commit(core::make_id("unregister"), single_write(key, current->version, nullptr),
                                   write_timeout);
        }
    }
    catch (const core::error& failure)
    {
        spdlog::warn("cannot remove the row of router {}: {}", self_.instance_id, failure.what());
    }
}

} // namespace briarfold::membership
