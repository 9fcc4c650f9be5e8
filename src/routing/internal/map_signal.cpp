#include "routing/internal/map_signal.hpp"

namespace briarfold::routing::internal {

namespace {

namespace asio = core::asio;

} // namespace

asio::awaitable<void> map_signal::wait(core::duration limit)
{
    // All access to the timer runs on the strand, because `notify` may run on another thread while the wait
    // starts.
    const auto strand = core::make_strand(co_await asio::this_coro::executor);
    const auto timer = std::make_shared<asio::steady_timer>(strand, std::chrono::milliseconds(limit.ms));
    {
        const std::scoped_lock lock(mutex_);
        timers_.push_back(timer);
    }
    const auto sleep = [](timer_pointer sleeper) -> asio::awaitable<void> {
        boost::system::error_code ignored;
        co_await sleeper->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    };
    co_await asio::co_spawn(strand, sleep(timer), asio::use_awaitable);
    const std::scoped_lock lock(mutex_);
    std::erase(timers_, timer);
}

void map_signal::notify()
{
    std::vector<timer_pointer> woken;
    {
        const std::scoped_lock lock(mutex_);
        woken.swap(timers_);
    }
    for (const auto& timer : woken)
    {
        // Set the expiry instead of cancelling, which has no effect on a wait that has not started yet.
        asio::post(timer->get_executor(),
                   [timer] { timer->expires_at(asio::steady_timer::time_point::min()); });
    }
}

std::size_t map_signal::waiting() const
{
    const std::scoped_lock lock(mutex_);
    return timers_.size();
}

} // namespace briarfold::routing::internal
