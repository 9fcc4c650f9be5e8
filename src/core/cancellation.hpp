/// A flag by which the receiver of a request learns that nobody waits for the answer any more.
#pragma once

#include <functional>
#include <mutex>

namespace briarfold::core {

/// Thread-safe. Shared by the party that waits and the party that works.
class cancellation
{
public:
    /// Runs the hook once; later calls do nothing.
    void cancel();
    bool is_cancelled() const;
    /// Replaces the hook; runs it at once when already cancelled. An empty hook removes it.
    void set_hook(std::function<void()> hook);

private:
    mutable std::mutex mutex_;
    bool is_cancelled_ = false;
    std::function<void()> hook_;
};

} // namespace briarfold::core
