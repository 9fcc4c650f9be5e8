/// Thread pool for synchronous calls, since libjsonrpccpp blocks during a call.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace briarfold::wire::internal {

/// Thread pool that grows with the number of concurrent jobs up to `max_threads`; further jobs are queued.
class blocking_pool
{
public:
    explicit blocking_pool(std::size_t max_threads);
    /// Waits for running jobs and discards queued ones.
    ~blocking_pool();
    blocking_pool(const blocking_pool&) = delete;
    blocking_pool& operator=(const blocking_pool&) = delete;

    void run(std::function<void()> job);

private:
    void work();

    const std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool is_stopping_ = false;
};

} // namespace briarfold::wire::internal
