#include "core/cancellation.hpp"

#include <utility>

namespace briarfold::core {

void cancellation::cancel()
{
    std::function<void()> hook;
    {
        const std::scoped_lock lock(mutex_);
        if (std::exchange(is_cancelled_, true))
        {
            return;
        }
        hook = std::move(hook_);
    }
    if (hook)
    {
        hook();
    }
}

bool cancellation::is_cancelled() const
{
    const std::scoped_lock lock(mutex_);
    return is_cancelled_;
}

void cancellation::set_hook(std::function<void()> hook)
{
    {
        const std::scoped_lock lock(mutex_);
        if (!is_cancelled_)
        {
            hook_ = std::move(hook);
            return;
        }
    }
    if (hook)
    {
        hook();
    }
}

} // namespace briarfold::core
