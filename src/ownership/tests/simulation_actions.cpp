// Delivers messages and causes faults.
#include "ownership/tests/simulation_nodes.hpp"
#include "ownership/timing.hpp"

namespace briarfold::ownership::tests {

namespace {

constexpr std::int64_t commit_retry = 300;

} // namespace

void simulation::run_actions(int index)
{
    for (auto& item : routers_[index]->state_machine.take_actions())
    {
        std::visit([&](const auto& value) { execute(index, value); }, item);
    }
}

void simulation::execute(int index, const internal::grant_request& request)
{
    const auto fail = [this, index, request](router& node) {
        node.state_machine.on_failure(request.server, request.exchange, clock_of(node));
        run_actions(index);
    };
    schedule_on_router(index, now_ + timing::exchange_timeout.ms, fail);
    const auto arrival = transit();
    const int target = request.address.port - 1;
    if (arrival && reaches(index, target))
    {
        schedule_on_process(target, *arrival, [this, index, target, request](process&) {
            answer_grant(index, target, request);
        });
    }
}

void simulation::answer_grant(int index, int process_index, const internal::grant_request& request)
{
    auto& node = *processes_[process_index];
    const auto local = clock_of(node);
    internal::grant_reply reply;
    if (node.checks_grants && !request.nonce.empty())
    {
        standins::grant_order order;
        order.epoch = request.epoch;
        order.nonce = request.nonce;
        order.duration = timing::grant_duration;
        order.controller = routers_[index]->info.instance_id;
        order.slices_version = request.slices_version;
        order.slices = request.slices;
        reply.reason = node.grants.apply(order, local);
        reply.is_accepted = reply.reason.empty();
        check_single_owner();
    }
    reply.next_nonce = node.grants.issue_nonce(local);
    reply.incarnation = "i" + std::to_string(node.number);
    reply.epoch = node.grants.epoch();
    reply.slices_version = node.grants.slices_version();
    reply.draining = std::ranges::count_if(
        node.work, [&](const auto& item) { return !node.grants.covers(item.hash, local); });
    const auto arrival = transit();
    if (arrival && reaches(index, process_index))
    {
        schedule_on_router(index, *arrival, [this, index, request, reply](router& target) {
            target.state_machine.on_reply(request.server, request.exchange, reply, clock_of(target));
            run_actions(index);
        });
    }
}

void simulation::execute(int index, const internal::commit_request& request)
{
    auto& node = *routers_[index];
    if (node.finished_operations[request.operation_id])
    {
        return;
    }
    schedule_on_router(index, now_ + commit_retry,
                       [this, index, request](router&) { execute(index, request); });
    const auto arrival = transit();
    if (!arrival || now_ < node.isolated_until)
    {
        return;
    }
    schedule(*arrival, [this, index, request] {
        if (!table_->is_up(now_))
        {
            return;
        }
        const auto result = table_->apply(request);
        const auto back = transit();
        if (!back || now_ < routers_[index]->isolated_until)
        {
            return;
        }
        schedule_on_router(index, *back, [this, index, request, result](router& target) {
            if (std::exchange(target.finished_operations[request.operation_id], true))
            {
                return;
            }
            target.state_machine.on_commit(request.operation_id, result, clock_of(target));
            run_actions(index);
        });
    });
}

void simulation::execute(int index, const internal::fence_request& request)
{
    const int target = router_index(request.to);
    const auto arrival = target == index ? now_ : transit();
    if (target < 0 || !arrival || !are_linked(index, target))
    {
        return;
    }
    schedule_on_router(target, *arrival, [this, index, target, request](router& asked) {
        const auto answer = asked.state_machine.on_fence(request, clock_of(asked));
        run_actions(target);
        const auto back = target == index ? now_ : transit();
        if (!back || !are_linked(index, target))
        {
            return;
        }
        schedule_on_router(index, *back, [this, index, request, answer](router& node) {
            node.state_machine.on_fence_answer(request.to, request, answer, clock_of(node));
            run_actions(index);
        });
    });
}

void simulation::execute(int index, const internal::heartbeat_request& request)
{
    const int target = router_index(request.to);
    const auto arrival = transit();
    if (target < 0 || !arrival || !are_linked(index, target))
    {
        return;
    }
    schedule_on_router(target, *arrival, [this, index, target, request](router& asked) {
        const auto fenced =
            asked.state_machine.on_heartbeat(routers_[index]->info.instance_id, clock_of(asked));
        const auto back = transit();
        if (!back || !are_linked(index, target))
        {
            return;
        }
        schedule_on_router(index, *back, [request, fenced](router& node) {
            node.state_machine.on_voucher(request.to, request.seq, fenced);
        });
    });
}

void simulation::execute(int index, const internal::row_push& push)
{
    const int target = router_index(push.to);
    const auto arrival = transit();
    if (target >= 0 && arrival && are_linked(index, target))
    {
        schedule_on_router(target, *arrival, [this, target, push](router& node) {
            std::ranges::for_each(push.rows,
                                  [&](const auto& row) { node.state_machine.on_row(row, clock_of(node)); });
            run_actions(target);
        });
    }
}

void simulation::execute(int index, const internal::hand_over_request& request)
{
    const int target = router_index(request.to);
    const auto arrival = transit();
    if (target >= 0 && arrival && are_linked(index, target))
    {
        schedule_on_router(target, *arrival, [this, target, request](router& node) {
            node.state_machine.on_hand_over(request.server);
            run_actions(target);
        });
    }
}

void simulation::execute(int index, const internal::suspicion_report& report)
{
    constexpr std::int64_t suspicion_recheck_delay = 1000;
    for (int i = 0; i < options_.routers; ++i)
    {
        if (are_linked(index, i) && routers_[i]->info.instance_id != report.instance_id)
        {
            routers_[i]->suspects.try_emplace(report.instance_id, now_ + suspicion_recheck_delay);
        }
    }
}

void simulation::execute(int index, const internal::liveness_probe& probe)
{
    const auto arrival = transit();
    const int target = probe.address.port - 1;
    if (!arrival || !reaches(index, target))
    {
        return;
    }
    schedule_on_process(target, *arrival, [this, index, target, probe](process&) {
        const auto back = transit();
        if (back && reaches(index, target))
        {
            schedule_on_router(index, *back, [this, probe](router& node) {
                node.state_machine.on_alive(probe.server, clock_of(node));
            });
        }
    });
}

int simulation::controller_of(int server) const
{
    const auto row = table_->rows.find(internal::row_key("s" + std::to_string(server)));
    return row == table_->rows.end() ? -1 : router_index(row->second.value.value("controller", ""));
}

void simulation::split_pair(process& target, std::int64_t until)
{
    const int controller = controller_of(target.server);
    if (controller >= 0)
    {
        routers_[controller]->isolated_until = std::max(routers_[controller]->isolated_until, until);
        target.only_router = controller;
        target.split_until = std::max(target.split_until, until);
    }
}

void simulation::apply_fault(const fault& item)
{
    const auto until = now_ + item.duration;
    const int index = item.target % options_.routers;
    auto& node = *routers_[index];
    const int server = item.target % options_.backends;
    const auto current = std::ranges::find(processes_.rbegin(), processes_.rend(), server,
                                           [](const auto& known) { return known->server; });
    auto& running = **current;
    switch (item.kind)
    {
    case fault_kind::pause_router:
        node.paused_until = std::max(node.paused_until, until);
        break;
    case fault_kind::isolate_router:
        node.isolated_until = std::max(node.isolated_until, until);
        break;
    case fault_kind::crash_router:
        node.is_crashed = true;
        break;
    case fault_kind::freeze_backend:
        running.frozen_until = std::max(running.frozen_until, until);
        break;
    case fault_kind::restart_backend:
        running.is_ended = true;
        start_process(server);
        write_server_row(server);
        break;
    case fault_kind::replace_backend:
        // The former process is frozen, not ended, and later resumes with its old state.
        running.frozen_until = std::max(running.frozen_until, now_ + item.duration % 700);
        start_process(server);
        write_server_row(server);
        break;
    case fault_kind::store_outage:
        table_->down_until = std::max(table_->down_until, until);
        break;
    case fault_kind::lossy_network:
        table_->lossy_until = std::max(table_->lossy_until, until);
        break;
    case fault_kind::cut_router_from_backends:
        node.cut_from_backends_until = std::max(node.cut_from_backends_until, until);
        break;
    case fault_kind::split_pair:
        split_pair(running, until);
        break;
    case fault_kind::lose_pair:
        running.is_ended = true;
        if (const int controller = controller_of(server); controller >= 0)
        {
            routers_[controller]->is_crashed = true;
        }
        break;
    case fault_kind::move_slice:
    case fault_kind::hand_over:
    case fault_kind::count:
        break;
    }
    if (item.kind != fault_kind::move_slice && item.kind != fault_kind::hand_over)
    {
        return;
    }
    const auto id = "s" + std::to_string(server);
    for (int i = 0; i < options_.routers; ++i)
    {
        schedule_on_router(i, now_, [this, i, id, item](router& actor) {
            const auto row = actor.state_machine.rows().find(id);
            if (row == actor.state_machine.rows().end() || row->second.server.slices.empty())
            {
                return;
            }
            if (item.kind == fault_kind::move_slice)
            {
                const auto target =
                    "s" + std::to_string((item.target + 1 + item.duration) % options_.backends);
                actor.state_machine.move({row->second.server.slices.front(), id, target}, 1, clock_of(actor));
            }
            else if (item.target % options_.routers == i)
            {
                actor.state_machine.on_hand_over(id);
            }
            run_actions(i);
        });
    }
}

} // namespace briarfold::ownership::tests
