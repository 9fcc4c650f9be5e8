#include "edge/backend_link.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

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
/// Time after the end of an attempt in which another router, whose view of the deadline is later by the delay
/// of a forwarded request, may still send it again.
constexpr core::duration attempt_end_margin{1000};
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t max_control_answer_bytes = std::size_t{16} * 1024;

http::answer_limits make_answer_limits(link_use use)
{
    http::answer_limits limits;
    limits.body_bytes = use == link_use::control ? max_control_answer_bytes : max_answer_bytes;
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

std::optional<backend_link::pooled_connection> backend_link::take_idle(const std::string& attempt_id)
{
    const auto can_carry = [&](const pooled_connection& item) {
        return attempt_id.empty() ||
               std::ranges::find(item.carried, attempt_id, &carried_attempt::id) == item.carried.end();
    };
    while (true)
    {
        const auto newest = std::ranges::find_if(idle_ | std::views::reverse, can_carry);
        if (newest == idle_.rend())
        {
            return std::nullopt;
        }
        auto taken = std::move(*newest);
        idle_.erase(std::next(newest).base());
        if (clock::now() < taken.usable_until && taken.connection->is_reusable())
        {
            return taken;
        }
        taken.connection->close();
    }
}

void backend_link::return_idle(pooled_connection pooled, const response_head& head)
{
    if (head.closes_connection || !pooled.connection->is_reusable())
    {
        pooled.connection->close();
        return;
    }
    const auto now = clock::now();
    const auto usable =
        head.keep_alive ? core::duration{head.keep_alive->ms * idle_share_numerator / idle_share_denominator}
                        : default_idle_time;
    pooled.usable_until = now + usable;
    std::erase_if(pooled.carried, [now](const carried_attempt& item) { return item.ends_at < now; });
    idle_.push_back(std::move(pooled));
}

void backend_link::close_idle()
{
    std::ranges::for_each(idle_, [](pooled_connection& item) { item.connection->close(); });
    idle_.clear();
}

bool backend_link::has_idle()
{
    auto taken = take_idle("");
    if (taken)
    {
        taken->usable_until = clock::now() + default_idle_time;
        idle_.push_back(std::move(*taken));
    }
    return !idle_.empty();
}

asio::awaitable<void> backend_link::connect(pooled_connection& pooled, core::duration timeout)
{
    pooled.connection =
        std::make_shared<http::client_connection>(executor_, peer_, make_answer_limits(use_), budget_);
    ++opened_;
    co_await pooled.connection->connect(timeout);
}

asio::awaitable<bool> backend_link::open()
{
    const auto self = shared_from_this();
    pooled_connection pooled;
    try
    {
        co_await connect(pooled, connect_timeout);
    }
    catch (const core::error&)
    {
        // The caller reports the failure together with the purpose of the connection.
        co_return false;
    }
    connected_at_ = clock::now();
    pooled.usable_until = connected_at_ + default_idle_time;
    idle_.push_back(std::move(pooled));
    co_return true;
}

asio::awaitable<exchange_result> backend_link::exchange(http::request message, std::string attempt_id,
                                                        core::duration timeout,
                                                        std::shared_ptr<exchange_handle> handle,
                                                        connection_choice choice)
{
    const auto self = shared_from_this();
    const auto start = clock::now();
    exchange_result result;
    auto idle = choice == connection_choice::own ? std::nullopt : take_idle(attempt_id);
    if (!idle && choice == connection_choice::idle)
    {
        result.reason = "no connection is open";
        co_return result;
    }
    auto pooled = idle ? std::move(*idle) : pooled_connection();
    try
    {
        if (!pooled.connection)
        {
            result.is_new_connection = true;
            co_await connect(pooled, std::min(timeout, connect_timeout));
            if (choice != connection_choice::own)
            {
                connected_at_ = clock::now();
            }
        }
        if (handle && handle->is_cancelled())
        {
            pooled.connection->close();
            result.outcome = exchange_outcome::cancelled;
            co_return result;
        }
        if (handle)
        {
            handle->connection_ = pooled.connection;
        }
        const auto remaining = std::max(timeout - (clock::now() - start), core::duration{1});
        result.answer = co_await pooled.connection->exchange(message, remaining);
        result.elapsed = clock::now() - start;
        if (handle)
        {
            // The connection carries other exchanges from here on.
            handle->connection_.reset();
        }
    }
    catch (const core::error& failure)
    {
        result.elapsed = clock::now() - start;
        result.reason = failure.what();
        result.is_over_limit = dynamic_cast<const http::limit_error*>(&failure) != nullptr;
        const bool was_sent = pooled.connection && pooled.connection->has_sent_bytes();
        const bool is_cancelled = handle && handle->is_cancelled();
        result.outcome = is_cancelled ? exchange_outcome::cancelled
                         : was_sent   ? exchange_outcome::broken
                                      : exchange_outcome::not_sent;
        co_return result;
    }
    result.head = adapter_.read_response(result.answer);
    // Backend servers echo the id of the request, so an answer with another id belongs to an earlier request.
    if (result.head.attempt_id != attempt_id)
    {
        pooled.connection->close();
        result.outcome = exchange_outcome::mismatched;
        result.reason = "the answer belongs to another request";
        co_return result;
    }
    result.outcome = exchange_outcome::answered;
    // Without an id, a late copy of a rejection would be taken for the answer to the next message.
    const bool may_repeat_rejection = attempt_id.empty() && !http::is_success(result.answer.status);
    if (choice == connection_choice::own || may_repeat_rejection)
    {
        pooled.connection->close();
        co_return result;
    }
    if (!attempt_id.empty() && !(result.head.is_signed && http::is_success(result.answer.status)))
    {
        pooled.carried.push_back({std::move(attempt_id), start + timeout + attempt_end_margin});
    }
    return_idle(std::move(pooled), result.head);
    co_return result;
}

} // namespace briarfold::edge
