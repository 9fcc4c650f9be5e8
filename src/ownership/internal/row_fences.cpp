// The part of row_controller that proves the end of former controllers' grants.
#include "ownership/internal/row_controller.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

using core::duration;
using core::time_point;

constexpr duration fence_interval{250};

/// The latest point of this clock that lies `age` back on another one.
time_point bound_of(duration age, time_point now)
{
    constexpr std::int64_t percent = 100;
    return now - duration{age.ms * percent / (percent + timing::clock_rate_bound_percent)};
}

/// What a controller that stopped at `last` may leave behind.
duration authority_after(duration authority, bool checks_grants)
{
    const auto order = checks_grants ? timing::grant_duration : timing::max_unchecked_deadline;
    return timing::with_rate_bound(authority + order) + timing::margin;
}

} // namespace

void row_controller::send_fences(row_context& context)
{
    next_fence_ = context.now + fence_interval;
    for (const auto& former : row_.server.predecessors)
    {
        const auto& state = fence_of(former.epoch);
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
    auto& state = fence_of(request.epoch);
    const bool checks_grants = row_.server.checks_grants;
    if (answer.is_from_controller && from == former->controller)
    {
        // A former controller of a backend server that checks nothing may have sent work until just now.
        const auto last = checks_grants ? answer.age : std::optional(duration{0});
        state.expiry = last ? bound_of(*last, now) + authority_after({0}, checks_grants) : now;
        return;
    }
    const bool is_witness = std::ranges::find(former->witnesses, from) != former->witnesses.end();
    if (state.expiry || !is_witness || !answer.age)
    {
        return;
    }
    state.bounds[from] = bound_of(*answer.age, now);
    if (state.bounds.size() == former->witnesses.size())
    {
        const auto last =
            *std::ranges::max_element(state.bounds, {}, [](const auto& item) { return item.second; });
        state.expiry = last.second + authority_after(timing::voucher_duration, checks_grants);
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
