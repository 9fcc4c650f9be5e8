#include "replica/peer_source.hpp"

#include <algorithm>
#include <list>

namespace briarfold::replica {

namespace asio = core::asio;
using core::clock;
using core::duration;

namespace {

/// Added to the requested wait to obtain the timeout of a call.
constexpr duration timeout_margin{1000};
constexpr duration read_timeout{2000};
constexpr duration max_wait{10000};

/// Timers of the calls that wait for the next change of the replica.
struct change_waiters
{
    std::mutex mutex;
    std::list<std::shared_ptr<asio::steady_timer>> timers;

    std::shared_ptr<asio::steady_timer> add(const asio::any_io_executor& executor)
    {
        const std::scoped_lock lock(mutex);
        timers.push_back(std::make_shared<asio::steady_timer>(asio::make_strand(executor)));
        return timers.back();
    }

    void remove(const std::shared_ptr<asio::steady_timer>& timer)
    {
        const std::scoped_lock lock(mutex);
        timers.remove(timer);
    }

    void wake()
    {
        const std::scoped_lock lock(mutex);
        for (const auto& timer : timers)
        {
            asio::post(timer->get_executor(), [timer] { timer->cancel(); });
        }
    }
};

asio::awaitable<void> wait_for_timer(std::shared_ptr<asio::steady_timer> timer, duration span)
{
    timer->expires_after(std::chrono::milliseconds(span.ms));
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> wait_for_change(std::shared_ptr<change_waiters> waiters, replica& rows,
                                      std::int64_t since, duration wait)
{
    const auto deadline = clock::now() + std::min(wait, max_wait);
    const auto timer = waiters->add(co_await asio::this_coro::executor);
    while (rows.current()->revision <= since && clock::now() < deadline)
    {
        // A change between the check and the wait does not end the wait, so each wait is short.
        constexpr duration recheck_interval{200};
        const auto strand = timer->get_executor();
        const auto span = std::min(recheck_interval, deadline - clock::now());
        co_await asio::co_spawn(strand, wait_for_timer(timer, span), asio::use_awaitable);
    }
    waiters->remove(timer);
}

nlohmann::json batch_to_json(const store::row_batch& batch, duration age)
{
    auto rows = nlohmann::json::array();
    std::ranges::transform(batch.rows, std::back_inserter(rows),
                           [](const store::row& row) { return to_json(row); });
    return {{"revision", batch.revision},
            {"age_ms", age.ms},
            {"truncated", batch.is_truncated},
            {"rows", std::move(rows)}};
}

asio::awaitable<nlohmann::json> handle_changes(std::shared_ptr<change_waiters> waiters, replica& rows,
                                               nlohmann::json parameters)
{
    const std::int64_t since = parameters.at("since");
    if (since >= 0)
    {
        const duration wait{parameters.value("wait_ms", std::int64_t{0})};
        co_await wait_for_change(std::move(waiters), rows, since, wait);
    }
    const auto age = clock::now() - rows.confirmed_at();
    const auto batch = since < 0 ? rows.all_rows() : rows.changes_since(since);
    co_return batch_to_json(batch, age);
}

} // namespace

nlohmann::json to_json(const store::row& value)
{
    return {{"key", value.key},
            {"version", value.version},
            {"revision", value.revision},
            {"operation_id", value.operation_id},
            {"value", value.value}};
}

store::row parse_row(const nlohmann::json& value)
{
    try
    {
        return {value.at("key"), value.at("version"), value.at("revision"), value.at("operation_id"),
                value.at("value")};
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("parse row", "", failure.what());
    }
}

peer_source::peer_source(wire::ipeer_rpc& peers, std::string instance_id, http::endpoint peer)
    : peers_(peers), instance_id_(std::move(instance_id)), peer_(std::move(peer))
{}

asio::awaitable<feed_answer> peer_source::request_rows(std::int64_t since, duration wait, duration timeout)
{
    nlohmann::json parameters;
    parameters["since"] = since;
    parameters["wait_ms"] = wait.ms;
    const auto result = co_await peers_.call(peer_, "changes", std::move(parameters), timeout);
    feed_answer answer;
    try
    {
        answer.batch.revision = result.at("revision");
        answer.batch.is_truncated = result.at("truncated");
        answer.age = {result.at("age_ms")};
        std::ranges::transform(result.at("rows"), std::back_inserter(answer.batch.rows), parse_row);
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::connection_error("changes", http::to_string(peer_), failure.what());
    }
    co_return answer;
}

asio::awaitable<feed_answer> peer_source::changes(std::int64_t since, duration wait)
{
    return request_rows(since, wait, wait + timeout_margin);
}

asio::awaitable<feed_answer> peer_source::read_all()
{
    return request_rows(-1, duration{0}, read_timeout);
}

void serve_changes(wire::ipeer_rpc& peers, replica& rows)
{
    auto waiters = std::make_shared<change_waiters>();
    rows.on_change([waiters](const auto&, const auto&) { waiters->wake(); });
    peers.register_method("changes", [waiters, &rows](const std::string&, nlohmann::json parameters) {
        return handle_changes(waiters, rows, std::move(parameters));
    });
}

} // namespace briarfold::replica
