/// Threads for synchronous calls. libjsonrpccpp blocks while a call is under way.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace briarfold::wire::internal {

/// Grows with the number of jobs that run at the same time, up to `max_threads`; further jobs wait.
class blocking_pool
{
public:
    explicit blocking_pool(std::size_t max_threads);
    /// Waits for running jobs; drops waiting ones.
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
