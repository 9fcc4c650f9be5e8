#include "dispatch/slot_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace briarfold::dispatch {

namespace {

/// Work times spread by about half of their mean, so a request is expected in time only with this room.
constexpr double work_margin = 1.6;
/// A request whose remaining time is below this share of its work is not started any more.
constexpr double least_work_share = 0.5;
/// Each so many starts the least urgent kind that waits goes first, which keeps it above a quarter of the
/// service that the others get.
constexpr unsigned turns_of_urgent = 5;
/// Each so many starts a request that missed its objective goes first, so that none waits in vain behind new
/// ones.
constexpr unsigned turns_of_punctual = 4;
/// Time constant of the offered load.
constexpr double load_window_ms = 500;
/// Offered load above which late requests are rejected, since requests in time take all slots.
constexpr double overload = 0.9;
/// Share of the time left that a caller waits at most before it comes back.
constexpr double retry_share = 1.0 / 3.0;
constexpr core::duration least_retry_after{50};

double decayed(double value, core::duration age)
{
    return value * std::exp(-static_cast<double>(age.ms) / load_window_ms);
}

bool is_in_time(const waiting_request& item, core::time_point now)
{
    return static_cast<double>((item.objective_deadline - now).ms) >= item.work_ms;
}

} // namespace

void slot_queue::count_offer(double work_ms, int slots, core::time_point now)
{
    offered_ = decayed(offered_, now - offered_at_) + work_ms / (std::max(slots, 1) * load_window_ms);
    offered_at_ = now;
}

double slot_queue::offered_load(core::time_point now) const
{
    return decayed(offered_, now - offered_at_);
}

core::duration slot_queue::forecast(const waiting_request& request, const slot_state& state) const
{
    if (waiting_.empty() && state.has_free_slot())
    {
        return {};
    }
    const double slots = std::max(state.slots, 1);
    const double running = std::max(state.running, 1);
    const double ahead =
        std::accumulate(waiting_.begin(), waiting_.end(), 0.0, [&](double sum, const waiting_request& item) {
            const bool goes_first = item.priority <= request.priority;
            return sum + (goes_first ? item.work_ms : item.work_ms / turns_of_urgent);
        });
    // The mean remaining work of n busy slots is about (n + 1) / 2 times the time to the first free one.
    const double first_free = state.has_free_slot() ? 0 : 2 * state.remaining_ms / running / (slots + 1);
    return {static_cast<std::int64_t>(first_free + ahead / slots)};
}

offer_result slot_queue::offer(const waiting_request& request, const slot_state& state, core::time_point now)
{
    count_offer(request.work_ms, state.slots, now);
    offer_result result;
    result.forecast = forecast(request, state);
    const auto wait = static_cast<double>(result.forecast.ms);
    const auto objective_left = static_cast<double>((request.objective_deadline - now).ms);
    const auto time_left = static_cast<double>((request.deadline - now).ms);
    const bool is_immediate = result.forecast.ms == 0 && state.slots > 0;
    const bool meets_objective = wait + work_margin * request.work_ms <= objective_left;
    const bool is_late_but_useful =
        offered_load(now) < overload && wait + work_margin * request.work_ms <= time_left;
    const bool can_finish = least_work_share * request.work_ms <= time_left;
    result.is_accepted = can_finish && (is_immediate || meets_objective || is_late_but_useful);
    if (result.is_accepted)
    {
        waiting_.push_back(request);
        return result;
    }
    const auto longest = static_cast<std::int64_t>(time_left * retry_share);
    const bool is_overload = offered_load(now) >= overload;
    const auto asked = is_overload ? longest : std::max(result.forecast.ms, least_retry_after.ms);
    result.retry_after = {std::clamp<std::int64_t>(asked, 0, std::max<std::int64_t>(longest, 0))};
    return result;
}

std::optional<waiting_request> slot_queue::take(core::time_point now)
{
    if (waiting_.empty())
    {
        return std::nullopt;
    }
    const bool is_turn_of_least_urgent = ++turns_ % turns_of_urgent == 0;
    const bool is_turn_of_late = turns_ % turns_of_punctual == 0;
    const auto rank = [&](const waiting_request& item) {
        const int urgency = is_turn_of_least_urgent ? -item.priority : item.priority;
        const bool in_time = is_in_time(item, now);
        const auto order = in_time ? item.objective_deadline : item.deadline;
        return std::tuple(in_time == is_turn_of_late, urgency, order);
    };
    const auto next = std::ranges::min_element(waiting_, {}, rank);
    const auto taken = *next;
    waiting_.erase(next);
    return taken;
}

std::vector<waiting_request> slot_queue::expire(core::time_point now)
{
    return extract([now](const waiting_request& item) {
        return static_cast<double>((item.deadline - now).ms) < least_work_share * item.work_ms;
    });
}

bool slot_queue::remove(std::uint64_t id)
{
    return std::erase_if(waiting_, [id](const waiting_request& item) { return item.id == id; }) > 0;
}

} // namespace briarfold::dispatch
