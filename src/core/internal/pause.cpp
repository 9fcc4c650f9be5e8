#include "core/pause.hpp"

namespace briarfold::core {

asio::awaitable<void> pause_for(duration span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(span.ms));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace briarfold::core
