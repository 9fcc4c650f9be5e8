#include "ownership/internal/machine.hpp"

#include "core/error.hpp"
#include "membership/rendezvous.hpp"
#include "ownership/internal/slice_sets.hpp"
#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

using core::duration;
using core::time_point;

namespace {

constexpr std::string_view server_prefix = "backend-server/";
constexpr std::string_view service_prefix = "service/";
constexpr std::size_t witness_count = 2;
/// Time during which a silent witness is not chosen again.
constexpr duration silent_witness_exclusion{5000};

} // namespace

machine::machine(membership::router_info self, std::function<std::string()> make_id)
    : self_(std::move(self)), make_id_(std::move(make_id)), live_{self_}, live_ids_{self_.instance_id},
      witness_(self_.instance_id)
{}

void machine::on_row(const store::row& row, time_point now)
{
    if (row.key.starts_with(service_prefix) && !row.value.is_null())
    {
        services_.insert(row.key.substr(service_prefix.size()));
        return;
    }
    if (!row.key.starts_with(server_prefix))
    {
        return;
    }
    const auto id = row.key.substr(server_prefix.size());
    const auto known = rows_.find(id);
    const auto deleted = deleted_revisions_.find(id);
    if ((known != rows_.end() && row.revision <= known->second.revision) ||
        (deleted != deleted_revisions_.end() && row.revision <= deleted->second))
    {
        return;
    }
    if (row.value.is_null())
    {
        if (known != rows_.end())
        {
            rows_by_controller_[known->second.server.controller].erase(id);
            rows_.erase(known);
        }
        deleted_revisions_[id] = row.revision;
        drop_controller(id);
        return;
    }
    known_row next{parse_backend_server(row.value), row.version, row.revision, row.operation_id};
    witness_.on_row(next.server, now);
    first_seen_.try_emplace(id, now);
    if (known != rows_.end())
    {
        rows_by_controller_[known->second.server.controller].erase(id);
    }
    rows_by_controller_[next.server.controller].insert(id);
    rows_[id] = next;
    update_controller(next, now);
}

void machine::update_controller(const known_row& row, time_point now)
{
    const auto& server = row.server;
    const auto held = controllers_.find(server.id);
    if (held != controllers_.end() &&
        (server.controller != self_.instance_id || server.epoch != held->second.row().server.epoch))
    {
        drop_controller(server.id);
    }
    if (server.controller != self_.instance_id)
    {
        return;
    }
    if (const auto fenced = fenced_epochs_.find(server.id);
        fenced != fenced_epochs_.end() && fenced->second >= server.epoch)
    {
        return;
    }
    auto context = make_context(now);
    if (const auto current = controllers_.find(server.id); current != controllers_.end())
    {
        current->second.update_row(row, context);
        return;
    }
    auto& added = controllers_.emplace(server.id, row_controller(row, now)).first->second;
    added.tick(context);
}

void machine::drop_controller(const std::string& server)
{
    const auto held = controllers_.find(server);
    if (held == controllers_.end())
    {
        return;
    }
    auto& former = former_controls_[server];
    former.epoch = held->second.row().server.epoch;
    if (const auto used = held->second.last_nonce_used())
    {
        former.last_nonce_used = std::max(former.last_nonce_used.value_or(*used), *used);
    }
    for (const auto& moving : held->second.moving())
    {
        if (moving.move_id != 0)
        {
            out_.emplace_back(move_end{moving.move_id, false});
        }
    }
    controllers_.erase(held);
}

void machine::on_live(const std::vector<membership::router_info>& live, time_point now)
{
    live_ = live;
    live_ids_.clear();
    std::ranges::for_each(live, [&](const auto& router) { live_ids_.insert(router.instance_id); });
    live_changed_at_ = now;
    std::erase_if(absent_since_, [&](const auto& item) { return live_ids_.contains(item.first); });
}

void machine::tick(time_point now)
{
    for (const auto& lost : witness_.tick(now))
    {
        out_.emplace_back(suspicion_report{lost});
    }
    choose_witnesses(now);
    vouchers_.tick(now, out_);
    tick_controllers(now);
    tick_takeovers(now);
    tick_hand_overs(now);
    tick_first_assignment(now);
}

void machine::choose_witnesses(time_point now)
{
    for (const auto& silent : vouchers_.silent_witnesses(now, timing::witness_timeout))
    {
        if (silent_witnesses_.insert_or_assign(silent, now).second)
        {
            out_.emplace_back(suspicion_report{silent});
        }
    }
    std::erase_if(silent_witnesses_,
                  [&](const auto& item) { return now - item.second > silent_witness_exclusion; });
    std::vector<std::string> kept;
    std::ranges::copy_if(vouchers_.witnesses(), std::back_inserter(kept),
                         [&](const std::string& id) { return !silent_witnesses_.contains(id); });
    if (kept.size() == witness_count)
    {
        return;
    }
    std::set<std::string> zones{self_.zone};
    std::ranges::for_each(live_, [&](const auto& router) {
        if (std::ranges::find(kept, router.instance_id) != kept.end())
        {
            zones.insert(router.zone);
        }
    });
    const auto order = membership::rendezvous_order(live_, "witness/" + self_.instance_id);
    const auto add_where = [&](const std::function<bool(const membership::router_info&)>& accepts) {
        for (const auto& router : order)
        {
            const auto& id = router.instance_id;
            const bool is_candidate = id != self_.instance_id && !silent_witnesses_.contains(id) &&
                                      std::ranges::find(kept, id) == kept.end();
            if (kept.size() < witness_count && is_candidate && accepts(router))
            {
                kept.push_back(id);
                zones.insert(router.zone);
            }
        }
    };
    add_where([&](const auto& router) { return !zones.contains(router.zone); });
    add_where([&](const auto& router) { return router.zone != self_.zone; });
    add_where([](const auto&) { return true; });
    // If no router answers, the old list stays: with an empty list, this router would act without witnesses.
    if (!kept.empty() && kept != vouchers_.witnesses())
    {
        vouchers_.set_witnesses(kept, now);
    }
}

void machine::on_reply(const std::string& server, std::int64_t exchange, const grant_reply& reply,
                       time_point now)
{
    const auto held = controllers_.find(server);
    if (held != controllers_.end())
    {
        auto context = make_context(now);
        held->second.on_reply(exchange, reply, context);
        submit_due_update(held->second, now);
    }
}

void machine::on_failure(const std::string& server, std::int64_t exchange, time_point now)
{
    const auto held = controllers_.find(server);
    if (held != controllers_.end())
    {
        auto context = make_context(now);
        held->second.on_failure(exchange, context);
    }
}

fenced_rows machine::on_heartbeat(const std::string& from, time_point now)
{
    return witness_.on_heartbeat(from, now);
}

void machine::on_voucher(const std::string& from, std::int64_t seq, fenced_rows fenced)
{
    silent_witnesses_.erase(from);
    vouchers_.on_voucher(from, seq, std::move(fenced));
}

fence_answer machine::on_fence(const fence_request& request, time_point now)
{
    if (request.controller != self_.instance_id)
    {
        return witness_.on_fence(request, now);
    }
    auto& fenced = fenced_epochs_[request.server];
    fenced = std::max(fenced, request.epoch);
    const auto held = controllers_.find(request.server);
    if (held != controllers_.end() && held->second.row().server.epoch <= request.epoch)
    {
        drop_controller(request.server);
    }
    fence_answer answer;
    answer.is_promised = true;
    answer.is_from_controller = true;
    const auto former = former_controls_.find(request.server);
    if (former != former_controls_.end() && former->second.last_nonce_used)
    {
        answer.age = now - *former->second.last_nonce_used;
    }
    return answer;
}

void machine::on_fence_answer(const std::string& from, const fence_request& request,
                              const fence_answer& answer, time_point now)
{
    const auto held = controllers_.find(request.server);
    if (held != controllers_.end())
    {
        held->second.on_fence_answer(from, request, answer, now);
    }
}

void machine::on_alive(const std::string& server, time_point now)
{
    alive_at_[server] = now;
}

duration machine::unchecked_authority(const std::string& server, time_point now) const
{
    const auto held = controllers_.find(server);
    return held == controllers_.end() ? duration{0} : held->second.unchecked_authority(now, vouchers_);
}

bool machine::move(const slice_move& request, std::int64_t move_id, time_point now)
{
    const auto held = controllers_.find(request.source);
    const auto target = rows_.find(request.target);
    if (held == controllers_.end() || target == rows_.end() || request.source == request.target ||
        target->second.server.intent != intent::active || has_pending_write(request.source) ||
        target->second.server.service != held->second.row().server.service)
    {
        return false;
    }
    auto context = make_context(now);
    return held->second.begin_move({{request.part, request.target, move_id}}, context);
}

} // namespace briarfold::ownership::internal
