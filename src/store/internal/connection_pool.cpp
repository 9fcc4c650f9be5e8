#include "store/connection_pool.hpp"

#include "core/error.hpp"

#include <algorithm>

namespace briarfold::store {

namespace asio = core::asio;

namespace {

constexpr std::size_t max_idle = 4;

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor, http::endpoint peer)
    : executor_(std::move(executor)), peer_(std::move(peer))
{}

asio::awaitable<http::response> connection_pool::exchange(http::request message, core::duration timeout)
{
    auto used = take_idle();
    if (!used)
    {
        used = std::make_shared<slot>(executor_, peer_);
    }
    const auto strand = used->strand;
    co_return co_await asio::co_spawn(
        strand, run(shared_from_this(), std::move(used), std::move(message), timeout), asio::use_awaitable);
}

asio::awaitable<http::response> connection_pool::run(std::shared_ptr<connection_pool> pool,
                                                     std::shared_ptr<slot> used, http::request message,
                                                     core::duration timeout)
{
    const auto deadline = core::clock::now() + timeout;
    try
    {
        if (!used->connection.is_open())
        {
            co_await used->connection.connect(timeout);
        }
        const auto left = std::max(deadline - core::clock::now(), core::duration{1});
        auto answer = co_await used->connection.exchange(message, left);
        pool->put_back(std::move(used));
        co_return answer;
    }
    catch (const core::error&)
    {
        pool->drop_idle();
        throw;
    }
}

std::shared_ptr<connection_pool::slot> connection_pool::take_idle()
{
    const std::scoped_lock lock(mutex_);
    if (idle_.empty())
    {
        return nullptr;
    }
    auto used = std::move(idle_.back());
    idle_.pop_back();
    return used;
}

void connection_pool::put_back(std::shared_ptr<slot> used)
{
    if (!used->connection.is_open())
    {
        return;
    }
    const std::scoped_lock lock(mutex_);
    if (idle_.size() < max_idle)
    {
        idle_.push_back(std::move(used));
    }
}

void connection_pool::drop_idle()
{
    std::vector<std::shared_ptr<slot>> dropped;
    {
        const std::scoped_lock lock(mutex_);
        dropped.swap(idle_);
    }
    // A connection is closed on its own strand.
    for (auto& item : dropped)
    {
        const auto strand = item->strand;
        asio::post(strand, [item = std::move(item)] { item->connection.close(); });
    }
}

} // namespace briarfold::store
