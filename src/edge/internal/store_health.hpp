#pragma once

#include "core/clock.hpp"
#include "edge/event_log.hpp"

#include <exception>
#include <optional>

namespace briarfold::edge::internal {

/// Timeout of one call. The store answers within some milliseconds, or 60 times that while it is slow.
constexpr core::duration store_timeout{1000};
/// Pause after a failed call to the store.
constexpr core::duration store_retry{150};

/// Record of whether the store answers this router.
class store_health
{
public:
    void on_success(core::time_point now)
    {
        if (failing_since_)
        {
            recovered_at_ = now;
        }
        failing_since_.reset();
    }
    void on_failure(core::time_point now)
    {
        if (!failing_since_)
        {
            failing_since_ = now;
        }
    }

    bool is_failing() const { return failing_since_.has_value(); }
    core::duration failing_for(core::time_point now) const
    {
        return failing_since_ ? now - *failing_since_ : core::duration{0};
    }
    /// Whether the store is failing or recovered less than `span` ago.
    bool was_failing(core::duration span, core::time_point now) const
    {
        return is_failing() || (recovered_at_ && now - *recovered_at_ < span);
    }

private:
    std::optional<core::time_point> failing_since_;
    std::optional<core::time_point> recovered_at_;
};

/// Records a failed call and logs the first one after a success. `step` names the purpose of the call.
inline void note_store_failure(store_health& health, event_log& log, const char* step,
                               const std::exception& failure)
{
    if (!health.is_failing())
    {
        log.write("store lost", {{"step", step}, {"reason", failure.what()}});
    }
    health.on_failure(core::clock::now());
}

} // namespace briarfold::edge::internal
