#include "dispatch/slot_queue.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace briarfold::dispatch {

namespace {

/// Safety factor on the expected work: work times vary by about half of their mean.
constexpr double work_margin = 1.6;
/// A request is not started any more if its remaining time is below this fraction of its expected work.
constexpr double min_work_fraction = 0.5;
/// Once per this many starts, the least urgent priority in the queue goes first, which keeps it above a
/// quarter of the service that the others get.
constexpr unsigned starts_per_least_urgent_turn = 5;
/// Once per this many starts, a request that has missed its objective goes first, so that new requests do not
/// starve it.
constexpr unsigned starts_per_late_turn = 4;
/// Time constant of the exponential decay of the offered load.
constexpr double load_window_ms = 500;
/// Offered load from which late requests are rejected, since requests that are in time take all slots.
constexpr double overload_threshold = 0.9;
/// Maximum fraction of the remaining time that a rejected caller is told to wait before it retries.
constexpr double max_retry_wait_fraction = 1.0 / 3.0;
constexpr core::duration min_retry_after{50};
/// Share of the slots that reserved retries may take under overload. They are answered late mostly, which is
/// worth a third of an answer in time at most, and with a quarter of the slots a lasting overload of 1.3 lost
/// a tenth of the answers in time.
constexpr double min_retry_share = 0.1;

double decayed(double value, core::duration age)
{
    return value * std::exp(-static_cast<double>(age.ms) / load_window_ms);
}

bool is_in_time(const waiting_request& item, core::time_point now)
{
    return static_cast<double>((item.objective_deadline - now).ms) >= item.work_ms;
}

} // namespace

void slot_queue::record_offered_work(double work_ms, int slots, core::time_point now)
{
    offered_load_ =
        decayed(offered_load_, now - offered_at_) + work_ms / (std::max(slots, 1) * load_window_ms);
    offered_at_ = now;
}

double slot_queue::offered_load(core::time_point now) const
{
    return decayed(offered_load_, now - offered_at_);
}

core::duration slot_queue::forecast(const waiting_request& request, const slot_state& state,
                                    core::time_point now) const
{
    if (waiting_.empty() && state.has_free_slot())
    {
        return {};
    }
    const double slots = std::max(state.slots, 1);
    const double running = std::max(state.running, 1);
    const bool in_time = is_in_time(request, now);
    const double ahead =
        std::accumulate(waiting_.begin(), waiting_.end(), 0.0, [&](double sum, const waiting_request& item) {
            const bool goes_first = item.priority <= request.priority;
            return sum + (goes_first ? item.work_ms : item.work_ms / starts_per_least_urgent_turn);
        });
    // With n busy slots, the mean remaining work is about (n + 1) / 2 times the time until the first is free.
    const double first_free = state.has_free_slot() ? 0 : 2 * state.remaining_ms / running / (slots + 1);
    const double late_wait = in_time ? 0 : late_work(now) / (slots * late_share(now));
    return {static_cast<std::int64_t>(first_free + std::max(ahead / slots, late_wait))};
}

double slot_queue::late_work(core::time_point now) const
{
    return std::accumulate(waiting_.begin(), waiting_.end(), 0.0, [now](double sum, const auto& item) {
        return is_in_time(item, now) ? sum : sum + item.work_ms;
    });
}

double slot_queue::late_share(core::time_point now) const
{
    return std::max(1 - offered_load(now), 1.0 / starts_per_late_turn);
}

core::duration slot_queue::expected_wait(const waiting_request& request, const slot_state& state,
                                         core::time_point now)
{
    const auto wait = forecast(request, state, now);
    const double slots = std::max(state.slots, 1);
    // Reserved retries that return before this request would start. Most have missed their objective, so that
    // they take only the turns of late requests.
    const double retry_ms = retries_.work_due(now + wait, now) / starts_per_late_turn / slots;
    // More urgent requests that arrive meanwhile go first, except for the turns of the least urgent priority.
    const double free_share =
        std::max(1 - rates_.urgent_work(request.priority, now) / slots, 1.0 / starts_per_least_urgent_turn);
    return {static_cast<std::int64_t>((static_cast<double>(wait.ms) + retry_ms) / free_share)};
}

bool slot_queue::has_capacity(const waiting_request& request, core::duration wait, bool is_expected,
                              core::time_point now) const
{
    const auto needed = static_cast<double>(wait.ms) + work_margin * request.work_ms;
    if (is_expected)
    {
        return needed <= static_cast<double>((request.deadline - now).ms);
    }
    if (rates_.is_ahead_of_urgent(request.priority, now))
    {
        return false;
    }
    const bool may_be_late = offered_load(now) < overload_threshold;
    return needed <= static_cast<double>((request.objective_deadline - now).ms) ||
           (may_be_late && needed <= static_cast<double>((request.deadline - now).ms));
}

std::vector<waiting_request> slot_queue::displace_for(const waiting_request& request, const slot_state& state,
                                                      core::time_point now)
{
    std::vector<waiting_request> displaced;
    while (!waiting_.empty())
    {
        // The least urgent, and of these the one that arrived last: it has most of its time left to retry. A
        // caller that was rejected before is not rejected again.
        const auto last = std::ranges::max_element(waiting_, {}, [](const waiting_request& item) {
            return std::tuple(!item.is_retry, item.priority, item.arrived);
        });
        if (last->is_retry || last->priority <= request.priority || !rates_.may_displace(last->priority, now))
        {
            break;
        }
        displaced.push_back(*last);
        rates_.record_withdrawn(last->priority, now);
        waiting_.erase(last);
        if (has_capacity(request, expected_wait(request, state, now), false, now))
        {
            return displaced;
        }
    }
    for (const auto& item : displaced)
    {
        rates_.record_admitted(item.priority, now);
        waiting_.push_back(item);
    }
    return {};
}

offer_result slot_queue::offer(const waiting_request& request, const slot_state& state, core::time_point now)
{
    const bool is_expected = request.is_retry && request.client_deadline &&
                             retries_.claim(*request.client_deadline, request.priority, now);
    if (!is_expected)
    {
        record_offered_work(request.work_ms, state.slots, now);
    }
    if (!request.is_retry)
    {
        rates_.record_offered(request.priority, request.work_ms, now);
    }
    offer_result result;
    const bool is_immediate = forecast(request, state, now).ms == 0 && state.slots > 0;
    result.forecast = expected_wait(request, state, now);
    const auto time_left = static_cast<double>((request.deadline - now).ms);
    const bool can_finish = min_work_fraction * request.work_ms <= time_left;
    result.is_accepted =
        can_finish && (is_immediate || has_capacity(request, result.forecast, is_expected, now));
    if (!result.is_accepted && can_finish)
    {
        const auto displaced = displace_for(request, state, now);
        result.is_accepted = !displaced.empty();
        for (const auto& item : displaced)
        {
            result.displaced.push_back(
                {item, item.client_deadline ? reserve_retry(item, state, now) : core::duration{}});
        }
    }
    if (result.is_accepted)
    {
        rates_.record_admitted(request.priority, now);
        waiting_.push_back(request);
        return result;
    }
    if (request.client_deadline)
    {
        result.retry_after = reserve_retry(request, state, now);
        result.is_retry_reserved = result.retry_after.ms > 0;
        return result;
    }
    result.retry_after = forecast_retry(result.forecast, request.deadline - now, now);
    return result;
}

core::duration slot_queue::reserve_retry(const waiting_request& request, const slot_state& state,
                                         core::time_point now)
{
    const double slots = std::max(state.slots, 1);
    const double backlog_ms =
        std::accumulate(waiting_.begin(), waiting_.end(), state.remaining_ms,
                        [](double sum, const waiting_request& item) { return sum + item.work_ms; });
    const double capacity = slots * std::max(1 - offered_load(now), min_retry_share);
    const double free_ms = std::max(backlog_ms / slots, late_work(now) / (slots * late_share(now)));
    const auto free_at = now + core::duration{static_cast<std::int64_t>(free_ms)};
    return retries_.reserve({{}, *request.client_deadline, request.priority, request.work_ms}, free_at,
                            capacity, now);
}

core::duration slot_queue::forecast_retry(core::duration wait, core::duration time_left,
                                          core::time_point now) const
{
    const auto max_wait_ms = std::max<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(time_left.ms) * max_retry_wait_fraction), 0);
    const bool is_overloaded = offered_load(now) >= overload_threshold;
    const auto wait_ms = is_overloaded ? max_wait_ms : std::max(wait.ms, min_retry_after.ms);
    return {std::min(wait_ms, max_wait_ms)};
}

std::optional<waiting_request> slot_queue::take(core::time_point now)
{
    if (waiting_.empty())
    {
        return std::nullopt;
    }
    const bool is_turn_of_least_urgent = ++starts_ % starts_per_least_urgent_turn == 0;
    const bool is_turn_of_late = starts_ % starts_per_late_turn == 0;
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
    auto expired = extract([now](const waiting_request& item) {
        return static_cast<double>((item.deadline - now).ms) < min_work_fraction * item.work_ms;
    });
    std::ranges::for_each(expired, [&](const auto& item) { rates_.record_withdrawn(item.priority, now); });
    return expired;
}

bool slot_queue::remove(std::uint64_t id)
{
    return std::erase_if(waiting_, [id](const waiting_request& item) { return item.id == id; }) > 0;
}

} // namespace briarfold::dispatch
