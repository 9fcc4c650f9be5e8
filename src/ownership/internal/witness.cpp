#include "ownership/internal/witness.hpp"

#include "ownership/timing.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

/// A longer gap between ticks means that this process was paused, which explains the silence of other
/// routers.
constexpr core::duration pause_threshold{200};

} // namespace

fenced_rows witness::on_heartbeat(const std::string& from, core::time_point now)
{
    auto& router = monitored_[from];
    router.last_heard = std::max(router.last_heard, now);
    router.is_suspected = false;
    fenced_rows fenced;
    if (const auto found = promises_.find(from); found != promises_.end())
    {
        std::ranges::for_each(found->second,
                              [&](const auto& item) { fenced[item.first] = item.second.epoch; });
    }
    return fenced;
}

void witness::on_row(const backend_server& server, core::time_point now)
{
    auto& known = listings_[server.id];
    const auto is_listed = [&](const listing& item) {
        return (item.epoch == server.epoch && item.witnesses == server.witnesses) ||
               std::ranges::any_of(server.predecessors, [&](const predecessor& former) {
                   return former.epoch == item.epoch && former.witnesses == item.witnesses;
               });
    };
    std::erase_if(known, [&](const listing& item) { return !is_listed(item); });
    const auto add = [&](std::int64_t epoch, const std::vector<std::string>& witnesses) {
        const bool is_known = std::ranges::any_of(
            known, [&](const listing& item) { return item.epoch == epoch && item.witnesses == witnesses; });
        if (!is_known && std::ranges::find(witnesses, self_) != witnesses.end())
        {
            known.push_back({witnesses, epoch, now});
        }
    };
    add(server.epoch, server.witnesses);
    std::ranges::for_each(server.predecessors,
                          [&](const predecessor& former) { add(former.epoch, former.witnesses); });
    if (known.empty())
    {
        listings_.erase(server.id);
    }
}

fence_answer witness::on_fence(const fence_request& request, core::time_point now)
{
    auto& promised = promises_[request.controller][request.server];
    if (promised.epoch < request.epoch)
    {
        promised.epoch = request.epoch;
        const auto heard = monitored_.find(request.controller);
        promised.last_heard = heard == monitored_.end() ? core::time_point{} : heard->second.last_heard;
    }

    // A controller replaces a silent witness only after the voucher of that witness has expired, and then
    // relies on the new witnesses. The time at which this router learnt of the list is therefore an upper
    // bound for the vouchers of former witnesses. If it does not know the list, the bound is the current
    // time.
    auto bound = now;
    if (const auto rows = listings_.find(request.server); rows != listings_.end())
    {
        const auto item = std::ranges::find_if(rows->second, [&](const listing& known) {
            return known.epoch == request.epoch && known.witnesses == request.witnesses;
        });
        bound = item == rows->second.end() ? now : item->since;
    }
    bound = std::max(bound, promised.last_heard);
    fence_answer answer;
    answer.is_promised = true;
    answer.age = now - bound;
    return answer;
}

core::time_point witness::silence_start(const monitored_router& router) const
{
    return std::max(router.last_heard, monitoring_since_);
}

std::vector<std::string> witness::tick(core::time_point now)
{
    if (now - last_tick_ > pause_threshold)
    {
        monitoring_since_ = now;
    }
    last_tick_ = now;
    std::vector<std::string> lost;
    for (auto& [id, router] : monitored_)
    {
        if (!router.is_suspected && now - silence_start(router) > timing::suspicion_timeout)
        {
            router.is_suspected = true;
            lost.push_back(id);
        }
    }
    return lost;
}

void witness::suppress_suspicion(const std::string& instance_id)
{
    // The entry stays, as the time of the last heartbeat still bounds a later fence.
    if (const auto found = monitored_.find(instance_id); found != monitored_.end())
    {
        found->second.is_suspected = true;
    }
}

std::optional<core::duration> witness::silence(const std::string& instance_id, core::time_point now) const
{
    const auto found = monitored_.find(instance_id);
    if (found == monitored_.end())
    {
        return std::nullopt;
    }
    return now - silence_start(found->second);
}

std::size_t witness::promise_count() const
{
    std::size_t count = 0;
    std::ranges::for_each(promises_, [&](const auto& item) { count += item.second.size(); });
    return count;
}

} // namespace briarfold::ownership::internal
