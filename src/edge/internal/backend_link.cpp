#include "edge/backend_link.hpp"

#include "core/error.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

namespace asio = core::asio;
using core::clock;

/// A backend server accepts within a few milliseconds; a lost SYN packet is sent again after a second.
constexpr core::duration connect_timeout{400};
/// Backend servers that state no keep-alive time close idle connections after 10 s.
constexpr core::duration default_idle_time{8000};
/// Share of the stated keep-alive time for which an idle connection is used, so that no request is sent while
/// the backend server closes it.
constexpr std::int64_t idle_share_numerator = 7;
constexpr std::int64_t idle_share_denominator = 10;
/// The answers of all slots of a few faulty backend servers fit into the memory of a small instance.
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;

http::answer_limits make_answer_limits()
{
    http::answer_limits limits;
    limits.body_bytes = max_answer_bytes;
    return limits;
}

} // namespace

void exchange_handle::cancel()
{
    is_cancelled_ = true;
    if (const auto connection = connection_.lock())
    {
        connection->abort();
    }
}

std::shared_ptr<http::client_connection> backend_link::take_idle()
{
    while (!idle_.empty())
    {
        auto next = std::move(idle_.back());
        idle_.pop_back();
        if (clock::now() < next.usable_until && next.connection->is_reusable())
        {
            return next.connection;
        }
        next.connection->close();
    }
    return nullptr;
}

void backend_link::return_idle(std::shared_ptr<http::client_connection> connection, const response_head& head)
{
    if (head.closes_connection || !connection->is_reusable())
    {
        connection->close();
        return;
    }
    const auto usable =
        head.keep_alive ? core::duration{head.keep_alive->ms * idle_share_numerator / idle_share_denominator}
                        : default_idle_time;
    idle_.push_back({std::move(connection), clock::now() + usable});
}

void backend_link::close_idle()
{
    std::ranges::for_each(idle_, [](idle_connection& item) { item.connection->close(); });
    idle_.clear();
}

bool backend_link::has_idle()
{
    auto connection = take_idle();
    if (connection)
    {
        idle_.push_back({std::move(connection), clock::now() + default_idle_time});
    }
    return !idle_.empty();
}

asio::awaitable<bool> backend_link::open()
{
    const auto self = shared_from_this();
    const auto connection = std::make_shared<http::client_connection>(executor_, peer_, make_answer_limits());
    ++opened_;
    try
    {
        co_await connection->connect(connect_timeout);
    }
    catch (const core::error&)
    {
        // The caller reports the failure together with the purpose of the connection.
        co_return false;
    }
    connected_at_ = clock::now();
    idle_.push_back({connection, clock::now() + default_idle_time});
    co_return true;
}

asio::awaitable<exchange_result> backend_link::exchange(http::request message, std::string attempt_id,
                                                        core::duration timeout,
                                                        std::shared_ptr<exchange_handle> handle,
                                                        bool may_connect)
{
    const auto self = shared_from_this();
    const auto start = clock::now();
    exchange_result result;
    auto connection = take_idle();
    if (!connection && !may_connect)
    {
        result.reason = "no connection is open";
        co_return result;
    }
    try
    {
        if (!connection)
        {
            connection = std::make_shared<http::client_connection>(executor_, peer_, make_answer_limits());
            result.is_new_connection = true;
            ++opened_;
            co_await connection->connect(std::min(timeout, connect_timeout));
            connected_at_ = clock::now();
        }
        if (handle && handle->is_cancelled())
        {
            connection->close();
            result.outcome = exchange_outcome::cancelled;
            co_return result;
        }
        if (handle)
        {
            handle->connection_ = connection;
        }
        const auto remaining = std::max(timeout - (clock::now() - start), core::duration{1});
        result.answer = co_await connection->exchange(message, remaining);
        result.elapsed = clock::now() - start;
    }
    catch (const core::error& failure)
    {
        result.elapsed = clock::now() - start;
        result.reason = failure.what();
        const bool was_sent = connection && connection->has_sent_bytes();
        const bool is_cancelled = handle && handle->is_cancelled();
        result.outcome = is_cancelled ? exchange_outcome::cancelled
                         : was_sent   ? exchange_outcome::broken
                                      : exchange_outcome::not_sent;
        co_return result;
    }
    result.head = adapter_.read_response(result.answer);
    // Backend servers echo the id of the request, so an answer with another id belongs to an earlier request.
    if (!attempt_id.empty() && !result.head.attempt_id.empty() && result.head.attempt_id != attempt_id)
    {
        connection->close();
        result.outcome = exchange_outcome::mismatched;
        result.reason = "the answer belongs to another request";
        co_return result;
    }
    result.outcome = exchange_outcome::answered;
    return_idle(std::move(connection), result.head);
    co_return result;
}

} // namespace briarfold::edge
