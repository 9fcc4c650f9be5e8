// Implements takeovers, handovers and the first assignment of a service.
#include "membership/rendezvous.hpp"
#include "ownership/internal/machine.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

using core::duration;
using core::time_point;

namespace {

/// Delay between the takeover attempts of successive candidates that are not witnesses of the controller.
constexpr duration takeover_rank_delay{300};
/// Time during which only the witnesses of an absent controller take over its rows.
constexpr duration absence_timeout{1500};
constexpr std::size_t max_takeover_candidates = 6;
constexpr duration takeover_scan_interval{40};
constexpr duration hand_over_interval{300};
constexpr duration rebalance_interval{2000};
/// Time for which the live view must not change before rows return to their preferred controller.
constexpr duration min_stable_view_duration{10000};
/// Time for the rows of a new service to appear before its hash space is divided.
constexpr duration assignment_delay{1000};
constexpr duration assignment_interval{200};

} // namespace

void machine::tick_takeovers(time_point now)
{
    if (is_stopping_ || now < next_takeover_scan_)
    {
        return;
    }
    next_takeover_scan_ = now + takeover_scan_interval;
    std::vector<known_row> due;
    for (const auto& [controller, servers] : rows_by_controller_)
    {
        if (servers.empty() || !may_need_takeover(controller, now))
        {
            continue;
        }
        for (const auto& id : servers)
        {
            const auto& row = rows_.at(id);
            if (!has_pending_write(id) && is_takeover_due(row, now))
            {
                due.push_back(row);
            }
        }
    }
    std::ranges::for_each(due, [&](const known_row& row) { take_over(row); });
}

bool machine::may_need_takeover(const std::string& controller, time_point now)
{
    if (controller == self_.instance_id)
    {
        return false;
    }
    const auto silence = witness_.silence(controller, now);
    return controller.empty() || !live_ids_.contains(controller) ||
           (silence && *silence > timing::suspicion_timeout);
}

std::size_t machine::rank_for(const backend_server& server) const
{
    const auto order = membership::rendezvous_order(
        live_, "controller/" + server.id,
        [&](const membership::router_info& router) { return router.zone != server.zone; });
    const auto position = std::ranges::find(order, self_.instance_id, &membership::router_info::instance_id);
    return static_cast<std::size_t>(position - order.begin());
}

bool machine::is_takeover_due(const known_row& row, time_point now)
{
    const auto& server = row.server;
    const auto is_own_turn = [&](time_point since, duration base) {
        if (now - since < base)
        {
            return false;
        }
        const auto rank = rank_for(server);
        return rank < max_takeover_candidates &&
               now - since >= base + takeover_rank_delay * static_cast<std::int64_t>(rank);
    };
    if (server.controller.empty())
    {
        return is_own_turn(first_seen_.at(server.id), duration{0});
    }
    const auto position = std::ranges::find(server.witnesses, self_.instance_id);
    const auto silence = witness_.silence(server.controller, now);
    if (position != server.witnesses.end() && silence)
    {
        const auto delay = position == server.witnesses.begin() ? duration{0} : timing::second_witness_delay;
        if (*silence > timing::suspicion_timeout + delay)
        {
            return true;
        }
    }
    if (live_ids_.contains(server.controller))
    {
        return false;
    }
    const auto since = absent_since_.try_emplace(server.controller, now).first->second;
    return is_own_turn(since, absence_timeout);
}

void machine::take_over(const known_row& row)
{
    auto server = row.server;
    if (!server.controller.empty())
    {
        server.predecessors.push_back({server.controller, server.witnesses, server.epoch});
    }
    server.epoch = (server.epoch / timing::epoch_step + 1) * timing::epoch_step;
    server.controller = self_.instance_id;
    server.witnesses = vouchers_.witnesses();
    submit({make_commit(make_id_(), {{row, std::move(server)}}), "", row_update::none, false});
}

bool machine::on_hand_over(const std::string& server)
{
    const auto row = rows_.find(server);
    if (is_stopping_ || row == rows_.end() || has_pending_write(server) ||
        row->second.server.controller == self_.instance_id)
    {
        return false;
    }
    take_over(row->second);
    return true;
}

void machine::tick_hand_overs(time_point now)
{
    if (now < next_hand_over_)
    {
        return;
    }
    next_hand_over_ = now + (is_stopping_ ? hand_over_interval : rebalance_interval);
    for (const auto& [id, controller] : controllers_)
    {
        const bool is_view_stable = now - live_changed_at_ > min_stable_view_duration;
        const bool is_idle = controller.moving().empty() && !has_pending_write(id);
        if (is_stopping_)
        {
            offer_hand_over(id, false);
        }
        else if (is_view_stable && is_idle && controller.is_granted() &&
                 rank_for(controller.row().server) != 0)
        {
            // Offers one row at a time, so that an error in the router order cannot move all rows at once.
            offer_hand_over(id, true);
            return;
        }
    }
}

void machine::offer_hand_over(const std::string& server, bool is_rebalancing)
{
    const auto& row = controllers_.at(server).row().server;
    auto order = membership::rendezvous_order(
        live_, "controller/" + server,
        [&](const membership::router_info& router) { return router.zone != row.zone; });
    std::erase_if(order, [&](const auto& router) { return router.instance_id == self_.instance_id; });
    if (order.empty())
    {
        return;
    }
    // While stopping, offers rotate among the first candidates, as one of them may not answer.
    constexpr std::size_t candidates = 3;
    const auto choice =
        is_rebalancing ? 0
                       : static_cast<std::size_t>(next_exchange_id_++) % std::min(candidates, order.size());
    out_.emplace_back(hand_over_request{order[choice].instance_id, server});
}

void machine::tick_first_assignment(time_point now)
{
    if (now < next_first_assignment_ || is_stopping_)
    {
        return;
    }
    next_first_assignment_ = now + assignment_interval;
    std::map<std::string, std::vector<known_row>> unassigned;
    std::map<std::string, time_point> newest;
    for (const auto& [id, row] : rows_)
    {
        const auto& server = row.server;
        const bool is_assignable = server.intent == intent::joining || server.intent == intent::active;
        if (is_assignable && !services_.contains(server.service))
        {
            unassigned[server.service].push_back(row);
            auto& latest = newest[server.service];
            latest = std::max(latest, first_seen_.at(id));
        }
    }
    for (const auto& [service, rows] : unassigned)
    {
        const auto order = membership::rendezvous_order(live_, "service/" + service);
        const auto position =
            std::ranges::find(order, self_.instance_id, &membership::router_info::instance_id);
        const auto delay = assignment_delay * (1 + (position - order.begin()));
        const bool are_rows_idle = std::ranges::none_of(
            rows, [&](const known_row& row) { return has_pending_write(row.server.id); });
        if (!are_rows_idle || now - newest[service] < delay)
        {
            continue;
        }
        auto request = make_commit(make_id_(), first_assignment(rows));
        const nlohmann::json value = {{"name", service}, {"key_space", "initialised"}};
        request.writes.emplace_back("service/" + service, 0, value);
        submit({std::move(request), "", row_update::none, false});
    }
}

} // namespace briarfold::ownership::internal
