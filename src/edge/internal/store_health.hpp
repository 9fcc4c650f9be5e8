#pragma once

#include "core/clock.hpp"
#include "edge/event_log.hpp"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <optional>

namespace briarfold::edge::internal {

/// Timeout of one call. The store answers within some milliseconds, or 60 times that while it is slow.
constexpr core::duration store_timeout{1000};
/// Pause after a failed call to the store.
constexpr core::duration store_retry{150};

/// Record of whether the store answers this router, and in which era.
class store_health
{
public:
    /// Records an answer. Returns whether it is the first one after the store was restored from a copy.
    bool on_answer(std::int64_t era, core::time_point now)
    {
        const bool is_restored = era > era_.value_or(era);
        if (failing_since_ || is_restored)
        {
            recovered_at_ = now;
        }
        if (is_restored)
        {
            restored_at_ = now;
        }
        failing_since_.reset();
        era_ = std::max(era, era_.value_or(era));
        return is_restored;
    }
    void on_failure(core::time_point now)
    {
        if (!failing_since_)
        {
            failing_since_ = now;
        }
    }

    bool is_failing() const { return failing_since_.has_value(); }
    /// Returns the latest era in which the store answered.
    std::int64_t era() const { return era_.value_or(0); }
    core::duration failing_for(core::time_point now) const
    {
        return failing_since_ ? now - *failing_since_ : core::duration{0};
    }
    /// Whether the store is failing, or recovered or was restored less than `span` ago.
    bool was_failing(core::duration span, core::time_point now) const
    {
        return is_failing() || (recovered_at_ && now - *recovered_at_ < span);
    }

    /// Returns when the store was found restored; nothing while it has not been.
    std::optional<core::time_point> restored_at() const { return restored_at_; }
    /// Whether the store was found restored less than `span` ago.
    bool was_restored(core::duration span, core::time_point now) const
    {
        return restored_at_ && now - *restored_at_ < span;
    }

private:
    std::optional<core::time_point> failing_since_;
    std::optional<core::time_point> restored_at_;
    std::optional<core::time_point> recovered_at_;
    std::optional<std::int64_t> era_;
};

/// Records an answer of the store and logs the first one after a restore.
inline void note_store_answer(store_health& health, event_log& log, std::int64_t era)
{
    const auto former = health.era();
    if (health.on_answer(era, core::clock::now()))
    {
        log.write("store restored", {{"era", era}, {"former", former}});
    }
}

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
