/// How long keys went without service around a fault.
#pragma once

#include "core/clock.hpp"
#include "history/event.hpp"

#include <functional>
#include <string>
#include <vector>

namespace briarfold::scenarios {

/// The stated bound on the time until a key is served again after a loss.
constexpr core::duration recovery_target{2000};

struct key_gap
{
    /// "<service>/<key>".
    std::string key;
    /// The longest time between two effects on the key that overlaps the window, counted from the fault on.
    core::duration gap;
    /// False when no effect followed until the end of the history; `gap` then ends there.
    bool is_served_again = false;

    bool operator==(const key_gap&) const = default;
};

/// Gaps of the keys for which `is_affected` holds for the backend server of the last effect before the fault.
/// The result includes up to one interval between requests. `events` are ordered by time.
std::vector<key_gap> find_gaps(const std::vector<history::event>& events, core::time_point fault,
                               core::duration window,
                               const std::function<bool(const std::string& backend_server)>& is_affected);

/// One line: number of keys, median, 90th percentile and maximum, keys over the target or never served again.
std::string describe(std::vector<key_gap> gaps);

} // namespace briarfold::scenarios
