#include "routing/internal/connection_pool.hpp"

#include "core/error.hpp"
#include "routing/outcome.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarfold::routing::internal {

namespace {

namespace asio = core::asio;
using boost::system::error_code;
using namespace core::literals;

constexpr core::duration connect_timeout{300};
constexpr core::duration probe_check_interval{50};
/// The backend servers of Fairway answer a probe within 6 ms.
constexpr core::duration probe_timeout{300};
/// Time for the answer of a finished request to arrive, unless its connection is silent.
constexpr core::duration answer_margin{50};
/// Minimum age at which an exchange is probed at once when another connection of the pool is found silent.
constexpr core::duration min_suspect_age{100};

request_state parse_state(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const auto state = document.is_object() ? document.value("state", "") : std::string();
    if (state == "cancelled_before_start")
    {
        return request_state::cancelled_before_start;
    }
    if (state == "running")
    {
        return request_state::running;
    }
    if (state == "finished")
    {
        return request_state::finished;
    }
    return state == "unknown" ? request_state::unknown : request_state::no_answer;
}

http::request make_cancel(const std::string& request_id)
{
    const nlohmann::json body = {{"request_id", request_id}};
    return http::request("POST", "/cancel", {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

struct connection_pool::exchange_record
{
    enum class close_reason
    {
        none,
        silent,
        cancelled
    };

    std::string request_id;
    connection_pointer connection;
    std::uint64_t generation = 0;
    core::time_point started;
    core::time_point probe_at;
    core::duration probe_delay;
    bool is_probing = false;
    bool was_finished = false;
    close_reason reason_for_close = close_reason::none;
};

connection_pool::connection_pool(asio::any_io_executor strand, http::endpoint peer, int max_connections,
                                 routing_counters& counters)
    : strand_(std::move(strand)), peer_(std::move(peer)),
      max_idle_(static_cast<std::size_t>(std::max(max_connections, 1))), counters_(counters)
{}

connection_pool::~connection_pool() = default;

void connection_pool::set_peer(const http::endpoint& peer)
{
    if (peer != peer_)
    {
        peer_ = peer;
        rebuild();
    }
}

void connection_pool::rebuild()
{
    ++generation_;
    idle_.clear();
}

asio::awaitable<connection_pool::connection_pointer>
connection_pool::take_connection(core::time_point deadline)
{
    while (!idle_.empty())
    {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->is_reusable())
        {
            co_return connection;
        }
    }
    auto connection = std::make_shared<http::client_connection>(strand_, peer_);
    const auto left = deadline - core::clock::now();
    co_await connection->connect(std::clamp(left, 1_ms, connect_timeout));
    ++counters_.connections_opened;
    co_return connection;
}

void connection_pool::return_connection(const connection_pointer& connection, std::uint64_t generation)
{
    if (connection->is_open() && generation == generation_ && idle_.size() < max_idle_)
    {
        idle_.push_back(connection);
    }
}

asio::awaitable<attempt_result> connection_pool::exchange(http::request message, std::string request_id,
                                                          core::time_point deadline,
                                                          core::duration probe_delay)
{
    const auto self = shared_from_this();
    const auto record = std::make_shared<exchange_record>();
    record->request_id = std::move(request_id);
    record->probe_delay = probe_delay;
    record->generation = generation_;
    std::string failure;
    try
    {
        record->connection = co_await take_connection(deadline);
    }
    catch (const core::error& error)
    {
        failure = error.what();
    }
    if (!record->connection)
    {
        co_return attempt_result(attempt_result::kind::not_sent, std::move(failure));
    }
    record->started = core::clock::now();
    if (record->started >= deadline)
    {
        return_connection(record->connection, record->generation);
        co_return attempt_result(attempt_result::kind::not_run, std::string(not_run::expired));
    }
    record->probe_at = record->started + probe_delay;
    const auto position = in_flight_.insert(in_flight_.end(), record);
    if (!is_probe_loop_running_)
    {
        is_probe_loop_running_ = true;
        asio::co_spawn(
            strand_, [self] { return self->run_probe_loop(); }, asio::detached);
    }
    auto result = co_await send(record, std::move(message), deadline);
    in_flight_.erase(position);
    co_return result;
}

asio::awaitable<attempt_result> connection_pool::send(record_pointer record, http::request message,
                                                      core::time_point deadline)
{
    using kind = attempt_result::kind;
    const auto left = deadline - record->started;
    message.headers.emplace_back("X-Briarfold-Deadline-Ms", std::to_string(left.ms));
    try
    {
        auto response = co_await record->connection->exchange(message, left);
        auto result = check_answer(*record, std::move(response));
        // A late copy of a refusal would be taken for the answer when the same request is sent again.
        if (result.outcome == kind::lost || result.outcome == kind::not_run)
        {
            record->connection->close();
        }
        return_connection(record->connection, record->generation);
        co_return result;
    }
    catch (const core::timeout_error& error)
    {
        ++counters_.timeouts;
        co_return attempt_result(kind::timed_out, error.what());
    }
    catch (const core::error& error)
    {
        if (record->reason_for_close == exchange_record::close_reason::cancelled)
        {
            co_return attempt_result(kind::cancelled_by_probe, "cancelled before its start");
        }
        ++counters_.connections_lost;
        if (record->reason_for_close == exchange_record::close_reason::silent)
        {
            co_return attempt_result(kind::lost, "silent connection");
        }
        co_return attempt_result(record->connection->has_sent_bytes() ? kind::lost : kind::not_sent,
                                 error.what());
    }
}

attempt_result connection_pool::check_answer(const exchange_record& record, http::response response)
{
    using kind = attempt_result::kind;
    if (http::find_header(response.headers, "X-Request-Id") != record.request_id)
    {
        ++counters_.id_mismatches;
        return attempt_result(kind::lost, "the answer carries the id of another request");
    }
    const auto refusal = http::find_header(response.headers, "X-Briarfold-Not-Run");
    if (!refusal.empty())
    {
        return attempt_result(kind::not_run, std::string(refusal));
    }
    attempt_result result;
    result.outcome = kind::answered;
    result.response = std::move(response);
    return result;
}

asio::awaitable<request_state> connection_pool::cancel(std::string request_id, core::duration timeout,
                                                       std::ptrdiff_t own_exchanges)
{
    const auto same_id = std::ranges::count(in_flight_, request_id,
                                            [](const record_pointer& record) { return record->request_id; });
    if (same_id != own_exchanges || timeout.ms <= 0)
    {
        co_return request_state::no_answer;
    }
    ++counters_.cancels_sent;
    try
    {
        const auto answer = co_await http::fetch(peer_, make_cancel(request_id), timeout);
        co_return parse_state(answer.body);
    }
    catch (const core::error&)
    {
        co_return request_state::no_answer;
    }
}

asio::awaitable<void> connection_pool::run_probe_loop()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(strand_);
    while (!in_flight_.empty())
    {
        error_code ignored;
        timer.expires_after(std::chrono::milliseconds(probe_check_interval.ms));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = core::clock::now();
        for (const auto& record : in_flight_)
        {
            if (record->probe_at <= now && !record->is_probing)
            {
                record->is_probing = true;
                asio::co_spawn(
                    strand_, [self, record] { return self->probe(record); }, asio::detached);
            }
        }
    }
    is_probe_loop_running_ = false;
}

asio::awaitable<void> connection_pool::probe(record_pointer record)
{
    const auto self = shared_from_this();
    const auto state = co_await cancel(record->request_id, probe_timeout, 1);
    record->is_probing = false;
    if (std::ranges::find(in_flight_, record) != in_flight_.end())
    {
        apply_probe_result(record, state);
    }
}

void connection_pool::apply_probe_result(const record_pointer& record, request_state state)
{
    const auto now = core::clock::now();
    if (state == request_state::cancelled_before_start)
    {
        record->reason_for_close = exchange_record::close_reason::cancelled;
        record->connection->close();
        return;
    }
    if (state == request_state::finished && !record->was_finished)
    {
        record->was_finished = true;
        record->probe_at = now + answer_margin;
        return;
    }
    if (state == request_state::running || state == request_state::no_answer)
    {
        // The service is slow or the backend server does not answer, so the connection is not at fault.
        record->probe_at = now + record->probe_delay;
        return;
    }
    // The request did not arrive, or its answer was lost: the connection is silent.
    ++counters_.silent_connections;
    ++counters_.pool_rebuilds;
    rebuild();
    for (const auto& other : in_flight_)
    {
        if (now - other->started >= min_suspect_age)
        {
            other->probe_at = std::min(other->probe_at, now);
        }
    }
    record->reason_for_close = exchange_record::close_reason::silent;
    record->connection->close();
}

} // namespace briarfold::routing::internal
