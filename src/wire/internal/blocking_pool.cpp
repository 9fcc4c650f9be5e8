#include "wire/internal/blocking_pool.hpp"

namespace briarfold::wire::internal {

blocking_pool::blocking_pool(std::size_t max_threads) : max_threads_(max_threads) {}

blocking_pool::~blocking_pool()
{
    std::deque<std::function<void()>> dropped;
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
        dropped.swap(jobs_);
    }
    changed_.notify_all();
    for (auto& thread : threads_)
    {
        thread.join();
    }
}

void blocking_pool::run(std::function<void()> job)
{
    const std::scoped_lock lock(mutex_);
    if (is_stopping_)
    {
        return;
    }
    jobs_.push_back(std::move(job));
    if (idle_ < jobs_.size() && threads_.size() < max_threads_)
    {
        threads_.emplace_back([this] { work(); });
    }
    changed_.notify_one();
}

void blocking_pool::work()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        ++idle_;
        changed_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
        --idle_;
        if (is_stopping_)
        {
            return;
        }
        auto job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        job();
        job = nullptr;
        lock.lock();
    }
}

} // namespace briarfold::wire::internal
