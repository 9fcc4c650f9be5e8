// Implements the updates of controlled rows by transactions.
#include "ownership/internal/machine.hpp"
#include "ownership/internal/slice_sets.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

using core::duration;
using core::time_point;

namespace {

constexpr duration probe_interval{250};
/// Time for which an answer to a probe shows that the receiver is reachable.
constexpr duration probe_validity{1000};
constexpr duration order_interval{1000};
/// Limits how often a row changes its controller when all backend servers of a service are down.
constexpr duration unreachable_offer_interval{3000};

bool is_leaving_or_stopped(const backend_server& server)
{
    return server.intent == intent::leaving || server.intent == intent::stopped;
}

} // namespace

void machine::submit(pending_commit commit)
{
    for (const auto& write : commit.request.writes)
    {
        pending_write_keys_.insert(write.key);
    }
    const auto id = commit.request.operation_id;
    out_.emplace_back(commit.request);
    pending_.emplace(id, std::move(commit));
}

void machine::on_commit(const std::string& operation_id, const store::commit_result& result, time_point now)
{
    const auto found = pending_.find(operation_id);
    if (found == pending_.end())
    {
        return;
    }
    const auto done = std::move(found->second);
    pending_.erase(found);
    for (const auto& write : done.request.writes)
    {
        pending_write_keys_.erase(write.key);
    }
    std::map<std::string, std::vector<store::row>> pushes;
    for (const auto& write : done.request.writes)
    {
        if (!result.is_committed)
        {
            break;
        }
        const store::row row(write.key, write.expected_version + 1, result.revision, operation_id,
                             write.value);
        on_row(row, now);
        const auto controller = write.value.value("controller", "");
        if (!controller.empty() && controller != self_.instance_id)
        {
            pushes[controller].push_back(row);
        }
    }
    std::ranges::for_each(result.conflicts, [&](const store::row& row) { on_row(row, now); });
    for (auto& [to, rows] : pushes)
    {
        out_.emplace_back(row_push{to, std::move(rows)});
    }
    const auto held = controllers_.find(done.server);
    if (held == controllers_.end())
    {
        return;
    }
    auto context = make_context(now);
    if (done.is_witness_change)
    {
        held->second.end_witness_change();
    }
    if (done.update == row_update::reassign)
    {
        held->second.end_reassignment(context);
    }
    if (done.update == row_update::commit_move ||
        (done.update == row_update::reassign && result.is_committed))
    {
        held->second.end_move(done.update == row_update::commit_move && result.is_committed, context);
    }
}

void machine::tick_controllers(time_point now)
{
    auto context = make_context(now);
    for (auto& [id, controller] : controllers_)
    {
        controller.tick(context);
        submit_due_update(controller, now);
    }
}

void machine::submit_due_update(row_controller& controller, time_point now)
{
    const auto& server = controller.row().server;
    if (!controller.is_reachable(now))
    {
        probe_receivers(controller, now);
    }
    if (has_pending_write(server.id))
    {
        return;
    }
    switch (const auto update = controller.due_update(now))
    {
    case row_update::reassign:
        reassign(controller, now);
        return;
    case row_update::commit_move:
        commit_move(controller, now);
        return;
    case row_update::record:
        write_row(controller, controller.row_to_record(), update);
        return;
    case row_update::clear_predecessors:
        write_row(controller, server, update);
        return;
    case row_update::none:
        break;
    }
    if (!change_witnesses(controller) && is_leaving_or_stopped(server))
    {
        retire(controller, now);
    }
}

bool machine::change_witnesses(row_controller& controller)
{
    const auto& witnesses = vouchers_.witnesses();
    if (witnesses.empty() || std::ranges::is_permutation(witnesses, controller.row().server.witnesses))
    {
        return false;
    }
    controller.begin_witness_change(witnesses);
    auto changed = controller.row().server;
    changed.witnesses = witnesses;
    pending_commit commit{make_commit(make_id_(), {{controller.row(), std::move(changed)}}),
                          controller.row().server.id, row_update::none, true};
    submit(std::move(commit));
    return true;
}

void machine::write_row(const row_controller& controller, backend_server changed, row_update update)
{
    if (controller.is_cleared())
    {
        changed.predecessors.clear();
    }
    pending_commit commit{make_commit(make_id_(), {{controller.row(), std::move(changed)}}),
                          controller.row().server.id, update, false};
    submit(std::move(commit));
}

bool machine::is_usable_receiver(const backend_server& server, time_point now) const
{
    if (has_pending_write(server.id))
    {
        return false;
    }
    if (const auto own = controllers_.find(server.id); own != controllers_.end())
    {
        return own->second.is_reachable(now) && own->second.moving().empty();
    }
    const auto alive = alive_at_.find(server.id);
    return alive != alive_at_.end() && now - alive->second <= probe_validity;
}

void machine::probe_receivers(const row_controller& controller, time_point now)
{
    const auto& server = controller.row().server;
    auto& next = next_probe_[server.id];
    if (server.slices.empty() || now < next)
    {
        return;
    }
    next = now + probe_interval;
    // Twice the maximum number of receivers, as some may be lost together with the backend server.
    constexpr std::size_t probe_count = 8;
    const auto candidates = receivers(rows_, server, [](const backend_server&) { return true; });
    for (std::size_t i = 0; i < std::min(probe_count, candidates.size()); ++i)
    {
        out_.emplace_back(liveness_probe{candidates[i].server.id, candidates[i].server.address});
    }
}

void machine::offer_hand_over_of_unreachable(const backend_server& server, time_point now)
{
    // No receiver answers either, so the fault is probably on this router's side.
    const auto candidates = receivers(rows_, server, [](const backend_server&) { return true; });
    auto& next = next_order_[server.id];
    if (!candidates.empty() && now >= next)
    {
        next = now + unreachable_offer_interval;
        offer_hand_over(server.id, false);
    }
}

void machine::reassign(row_controller& controller, time_point now)
{
    const auto& row = controller.row();
    const auto targets = receivers(
        rows_, row.server, [&](const backend_server& server) { return is_usable_receiver(server, now); });
    if (targets.empty() && !row.server.slices.empty())
    {
        offer_hand_over_of_unreachable(row.server, now);
        return;
    }
    auto changes = add_parts(rows_, distribute(row.server.slices, targets));
    auto emptied = row.server;
    emptied.slices.clear();
    ++emptied.slices_version;
    emptied.predecessors.clear();
    if (emptied.intent == intent::active)
    {
        emptied.intent = intent::lost;
    }
    changes.insert(changes.begin(), {row, std::move(emptied)});
    controller.begin_reassignment();
    submit({make_commit(make_id_(), changes), row.server.id, row_update::reassign, false});
}

void machine::commit_move(row_controller& controller, time_point now)
{
    const auto& row = controller.row();
    std::vector<std::pair<slice, std::string>> parts;
    bool is_possible = true;
    for (const auto& moving : controller.moving())
    {
        const auto target = rows_.find(moving.target);
        parts.emplace_back(moving.part, moving.target);
        is_possible = is_possible && target != rows_.end() && target->second.server.intent == intent::active;
        if (has_pending_write(moving.target))
        {
            return;
        }
    }
    auto changes = is_possible ? add_parts(rows_, parts) : row_changes{};
    if (changes.empty())
    {
        auto context = make_context(now);
        controller.end_move(false, context);
        return;
    }
    auto source = row.server;
    source.slices = controller.grantable_slices();
    source.slices_version = std::max(source.slices_version + 1, controller.held_version());
    if (controller.is_cleared())
    {
        source.predecessors.clear();
    }
    changes.insert(changes.begin(), {row, std::move(source)});
    submit({make_commit(make_id_(), changes), row.server.id, row_update::commit_move, false});
}

void machine::retire(row_controller& controller, time_point now)
{
    const auto& server = controller.row().server;
    if (!controller.moving().empty() || !controller.is_reachable(now))
    {
        return;
    }
    auto& next = next_order_[server.id];
    if (now < next)
    {
        return;
    }
    next = now + order_interval;
    if (server.slices.empty())
    {
        out_.emplace_back(lifecycle_order{server.id, server.address, server.intent == intent::stopped,
                                          server.epoch, server.id + "-" + std::to_string(server.epoch)});
        return;
    }
    probe_receivers(controller, now);
    const auto targets =
        receivers(rows_, server, [&](const backend_server& other) { return is_usable_receiver(other, now); });
    std::vector<moving_part> parts;
    for (const auto& [part, target] : distribute(server.slices, targets))
    {
        parts.push_back({part, target, 0});
    }
    if (parts.empty())
    {
        next = now + probe_interval;
        return;
    }
    auto context = make_context(now);
    controller.begin_move(std::move(parts), context);
}

} // namespace briarfold::ownership::internal
