// Determines when the grants of former controllers have ended.
#include "ownership/internal/row_controller.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

using core::duration;
using core::time_point;

constexpr duration fence_interval{250};

/// Returns the latest time on this clock of an event that is `age` old on another machine's clock.
time_point latest_local_time(duration age, time_point now)
{
    constexpr std::int64_t percent = 100;
    return now - duration{age.ms * percent / (percent + timing::max_clock_drift_percent)};
}

/// Returns the longest time for which grants or requests of a controller may stay in effect after its last
/// proven activity, where `authority` is the time for which it may go on acting.
duration max_remaining_authority(duration authority, bool checks_grants)
{
    const auto order = checks_grants ? timing::grant_duration : timing::max_unchecked_deadline;
    return timing::with_clock_drift(authority + order) + timing::safety_margin;
}

} // namespace

void row_controller::send_fences(row_context& context)
{
    next_fence_ = context.now + fence_interval;
    for (const auto& former : row_.server.predecessors)
    {
        const auto& state = fence_state_of(former.epoch);
        if (state.expiry)
        {
            continue;
        }
        fence_request request;
        request.server = row_.server.id;
        request.controller = former.controller;
        request.witnesses = former.witnesses;
        request.epoch = former.epoch;
        request.to = former.controller;
        context.out.emplace_back(request);
        for (const auto& witness : former.witnesses)
        {
            if (!state.bounds.contains(witness))
            {
                request.to = witness;
                context.out.emplace_back(request);
            }
        }
    }
}

void row_controller::on_fence_answer(const std::string& from, const fence_request& request,
                                     const fence_answer& answer, time_point now)
{
    const auto former = std::ranges::find(row_.server.predecessors, request.epoch, &predecessor::epoch);
    if (!answer.is_promised || former == row_.server.predecessors.end() ||
        former->controller != request.controller || former->witnesses != request.witnesses)
    {
        return;
    }
    auto& state = fence_state_of(request.epoch);
    const bool checks_grants = row_.server.checks_grants;
    if (answer.is_from_controller && from == former->controller)
    {
        // If the backend server does not check grants, its former controller may have sent work until now.
        const auto last = checks_grants ? answer.age : std::optional(duration{0});
        state.expiry =
            last ? latest_local_time(*last, now) + max_remaining_authority({0}, checks_grants) : now;
        return;
    }
    const bool is_witness = std::ranges::find(former->witnesses, from) != former->witnesses.end();
    if (state.expiry || !is_witness || !answer.age)
    {
        return;
    }
    state.bounds[from] = latest_local_time(*answer.age, now);
    if (state.bounds.size() == former->witnesses.size())
    {
        const auto last =
            *std::ranges::max_element(state.bounds, {}, [](const auto& item) { return item.second; });
        state.expiry = last.second + max_remaining_authority(timing::voucher_duration, checks_grants);
    }
}

bool row_controller::are_predecessors_cleared(time_point now) const
{
    if (cleared_at_)
    {
        return true;
    }
    return std::ranges::all_of(row_.server.predecessors, [&](const predecessor& former) {
        const auto found = fences_.find(former.epoch);
        return found != fences_.end() && found->second.expiry && now > *found->second.expiry;
    });
}

} // namespace briarfold::ownership::internal
