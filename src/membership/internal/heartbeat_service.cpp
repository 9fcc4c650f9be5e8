#include "membership/heartbeat_service.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"
#include "membership/rendezvous.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::membership {

namespace asio = core::asio;
using core::clock;
using core::duration;
using core::time_point;

namespace {

constexpr duration loop_interval{50};
/// Time within which a probed router must answer before it is suspected.
constexpr duration probe_timeout{150};
/// A router from which a packet arrived within this time is not probed when it is reported lost.
constexpr duration recent_contact_window{300};
constexpr duration probe_interval{1000};
constexpr duration cut_off_timeout{2000};
/// Time for which a router must be suspected before its row may be removed.
constexpr duration removal_delay{30000};
constexpr duration removal_interval{5000};
constexpr duration write_timeout{2000};

const router_info* find_router(const std::vector<router_info>& routers, const std::string& id)
{
    const auto found = std::ranges::find(routers, id, &router_info::instance_id);
    return found == routers.end() ? nullptr : &*found;
}

http::endpoint udp_endpoint(const router_info& router)
{
    return {router.ip, router.udp_port};
}

/// Returns whether the row names the router as controller or witness, current or former. The grants of such
/// a router may not have ended, and it must stay reachable for fences.
bool is_referenced(const store::row& row, const std::string& instance_id)
{
    const auto has_router = [&](const nlohmann::json& holder) {
        const auto witnesses = holder.value("witnesses", nlohmann::json::array());
        return holder.value("controller", "") == instance_id ||
               std::find(witnesses.begin(), witnesses.end(), instance_id) != witnesses.end();
    };
    const auto predecessors = row.value.value("predecessors", nlohmann::json::array());
    return has_router(row.value) || std::any_of(predecessors.begin(), predecessors.end(), has_router);
}

} // namespace

heartbeat_service::heartbeat_service(asio::any_io_executor executor, udp_channel& channel,
                                     membership& members, replica::ireplica& rows, store::itable_store& store)
    : executor_(std::move(executor)), channel_(channel), members_(members), rows_(rows), store_(store),
      last_contact_ms_(clock::now().ms)
{}

void heartbeat_service::start()
{
    channel_.start(
        [this](const heartbeat_packet& packet, const http::endpoint& from) { receive(packet, from); });
}

void heartbeat_service::stop()
{
    is_stopping_ = true;
    channel_.close();
}

heartbeat_packet heartbeat_service::make_packet(packet_kind kind, std::int64_t seq) const
{
    heartbeat_packet packet;
    packet.kind = kind;
    packet.from = members_.self().instance_id;
    packet.seq = seq;
    packet.sent = clock::now();
    packet.revision = rows_.current()->revision;
    return packet;
}

void heartbeat_service::send_heartbeat(const std::string& to, std::int64_t seq)
{
    const auto others = members_.others();
    if (const auto* router = find_router(*others, to))
    {
        channel_.send(make_packet(packet_kind::heartbeat, seq), udp_endpoint(*router));
    }
}

void heartbeat_service::receive(const heartbeat_packet& packet, const http::endpoint& from)
{
    const auto now = clock::now();
    last_contact_ms_ = now.ms;
    {
        const std::scoped_lock lock(mutex_);
        last_heard_[packet.from] = now;
        pending_probes_.erase(packet.from);
    }
    members_.report_reachable(packet.from);
    if (packet.kind == packet_kind::suspect)
    {
        probe(packet.instance);
        return;
    }
    if (packet.kind == packet_kind::voucher)
    {
        if (packet.seq != 0 && hooks_.on_voucher)
        {
            hooks_.on_voucher(packet.from, packet.seq, packet.fenced);
        }
        return;
    }
    auto answer = make_packet(packet_kind::voucher, packet.seq);
    if (packet.seq != 0 && hooks_.on_heartbeat)
    {
        answer.fenced = hooks_.on_heartbeat(packet.from);
    }
    channel_.send(answer, from);
}

void heartbeat_service::suspect(const std::string& instance_id)
{
    const auto live = members_.live();
    auto packet = make_packet(packet_kind::suspect, 0);
    packet.instance = instance_id;
    for (const auto& router : *live)
    {
        if (router.instance_id != members_.self().instance_id && router.instance_id != instance_id)
        {
            channel_.send(packet, udp_endpoint(router));
        }
    }
    probe(instance_id);
}

void heartbeat_service::probe(const std::string& instance_id)
{
    const auto now = clock::now();
    if (instance_id == members_.self().instance_id || members_.suspected().contains(instance_id))
    {
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        const auto heard = last_heard_.find(instance_id);
        const bool is_recent = heard != last_heard_.end() && now - heard->second < recent_contact_window;
        if (is_recent || !pending_probes_.try_emplace(instance_id, now).second)
        {
            return;
        }
    }
    send_heartbeat(instance_id, 0);
}

void heartbeat_service::expire_probes(time_point now)
{
    std::vector<std::string> timed_out;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [id, sent] : pending_probes_)
        {
            if (now - sent > probe_timeout)
            {
                timed_out.push_back(id);
            }
        }
        std::ranges::for_each(timed_out, [&](const std::string& id) { pending_probes_.erase(id); });
    }
    std::ranges::for_each(timed_out, [&](const std::string& id) { members_.report_unreachable(id); });
}

void heartbeat_service::update_cut_off(time_point now)
{
    const auto confirmed = rows_.confirmed_at();
    const auto last = std::max(time_point{last_contact_ms_}, confirmed);
    const bool is_alone = members_.others()->empty();
    const bool is_cut_off = !is_alone && now - last > cut_off_timeout;
    if (is_cut_off_.exchange(is_cut_off) == is_cut_off)
    {
        return;
    }
    if (is_cut_off)
    {
        spdlog::error("cut off from peers and store for {} ms", (now - last).ms);
    }
    else
    {
        spdlog::info("connected to peers or store again");
    }
    if (cut_off_hook_)
    {
        cut_off_hook_(is_cut_off);
    }
}

asio::awaitable<void> heartbeat_service::run()
{
    asio::steady_timer timer(executor_);
    time_point next_probe{};
    time_point next_removal{};
    while (!is_stopping_)
    {
        const auto now = clock::now();
        expire_probes(now);
        update_cut_off(now);
        if (now >= next_probe)
        {
            next_probe = now + probe_interval;
            for (const auto& [id, since] : members_.suspected())
            {
                send_heartbeat(id, 0);
            }
        }
        if (now >= next_removal)
        {
            next_removal = now + removal_interval;
            for (const auto& id : removable_routers(now))
            {
                co_await remove_row(id);
            }
        }
        timer.expires_after(std::chrono::milliseconds(loop_interval.ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::vector<std::string> heartbeat_service::removable_routers(time_point now) const
{
    std::vector<std::string> result;
    const auto live = members_.live();
    const auto rows = rows_.current();
    for (const auto& [id, since] : members_.suspected())
    {
        if (now - since < removal_delay || is_cut_off_ ||
            rendezvous_order(*live, "remove/" + id).front().instance_id != members_.self().instance_id)
        {
            continue;
        }
        const auto first = rows->rows.lower_bound("backend-server/");
        const auto last = rows->rows.lower_bound("backend-server0");
        const bool is_in_use =
            std::any_of(first, last, [&](const auto& item) { return is_referenced(*item.second, id); });
        if (!is_in_use)
        {
            result.push_back(id);
        }
    }
    return result;
}

asio::awaitable<void> heartbeat_service::remove_row(std::string instance_id)
{
    const auto row = rows_.current()->find(row_key(instance_id));
    if (!row)
    {
        co_return;
    }
    std::vector<store::row_write> writes;
    writes.emplace_back(row->key, row->version, nullptr);
    try
    {
        const auto result = co_await store_.commit(core::make_id("remove"), writes, write_timeout);
        if (result.is_committed)
        {
            spdlog::info("row of lost router {} removed", instance_id);
        }
    }
    catch (const core::error&)
    {
        // The next removal round retries.
    }
}

} // namespace briarfold::membership
