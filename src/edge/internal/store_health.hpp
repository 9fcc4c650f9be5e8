#pragma once

#include "core/clock.hpp"

#include <optional>

namespace briarfold::edge::internal {

/// One call to the store: it answers within some milliseconds, or 60 times that while it is slow.
constexpr core::duration store_timeout{1000};
/// Pause after a failed call.
constexpr core::duration store_retry{150};

/// Whether the store answers this router.
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
        last_success_ = now;
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
    core::time_point last_success() const { return last_success_; }
    /// Whether it failed now or within `span` before.
    bool was_failing(core::duration span, core::time_point now) const
    {
        return is_failing() || (recovered_at_ && now - *recovered_at_ < span);
    }

private:
    std::optional<core::time_point> failing_since_;
    std::optional<core::time_point> recovered_at_;
    core::time_point last_success_;
};

} // namespace briarfold::edge::internal
