#include "membership/membership.hpp"

#include "core/error.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::membership {

namespace {

constexpr std::string_view row_prefix = "router/";

} // namespace

std::string row_key(const std::string& instance_id)
{
    return std::string(row_prefix) + instance_id;
}

nlohmann::json to_json(const router_info& value)
{
    return {{"instance_id", value.instance_id}, {"zone", value.zone},           {"ip", value.ip},
            {"http_port", value.http_port},     {"peer_port", value.peer_port}, {"udp_port", value.udp_port},
            {"admin_port", value.admin_port}};
}

router_info parse_router(const nlohmann::json& value)
{
    try
    {
        router_info router;
        router.instance_id = value.at("instance_id");
        router.zone = value.at("zone");
        router.ip = value.at("ip");
        router.http_port = value.at("http_port");
        router.peer_port = value.at("peer_port");
        router.udp_port = value.at("udp_port");
        router.admin_port = value.at("admin_port");
        return router;
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("parse router row", "", failure.what());
    }
}

membership::membership(router_info self, replica::ireplica& rows) : self_(std::move(self))
{
    rebuild(rows.current());
    rows.on_change([this](const std::shared_ptr<const replica::snapshot>& current,
                          const std::vector<store::row>& changed) {
        const bool has_router_changes = std::ranges::any_of(
            changed, [](const store::row& item) { return item.key.starts_with(row_prefix); });
        if (has_router_changes)
        {
            rebuild(current);
        }
    });
}

live_routers membership::live() const
{
    const std::scoped_lock lock(mutex_);
    return live_;
}

live_routers membership::others() const
{
    const std::scoped_lock lock(mutex_);
    return others_;
}

std::map<std::string, core::time_point> membership::suspected() const
{
    const std::scoped_lock lock(mutex_);
    return suspects_;
}

void membership::on_change(std::function<void(const live_routers&)> hook)
{
    const std::scoped_lock lock(mutex_);
    hooks_.push_back(std::move(hook));
}

void membership::report_unreachable(const std::string& instance_id)
{
    {
        const std::scoped_lock lock(mutex_);
        if (instance_id == self_.instance_id || !registered_.contains(instance_id) ||
            !suspects_.try_emplace(instance_id, core::clock::now()).second)
        {
            return;
        }
    }
    spdlog::warn("router {} suspected", instance_id);
    publish();
}

void membership::report_reachable(const std::string& instance_id)
{
    {
        const std::scoped_lock lock(mutex_);
        if (suspects_.erase(instance_id) == 0)
        {
            return;
        }
    }
    spdlog::info("router {} answers again", instance_id);
    publish();
}

void membership::rebuild(const std::shared_ptr<const replica::snapshot>& rows)
{
    {
        const std::scoped_lock lock(mutex_);
        registered_.clear();
        for (auto item = rows->rows.lower_bound(row_prefix);
             item != rows->rows.end() && item->first.starts_with(row_prefix); ++item)
        {
            auto router = parse_router(item->second->value);
            registered_[router.instance_id] = std::move(router);
        }
        std::erase_if(suspects_, [&](const auto& item) { return !registered_.contains(item.first); });
    }
    publish();
}

void membership::publish()
{
    std::vector<std::function<void(const live_routers&)>> hooks;
    live_routers published;
    {
        const std::scoped_lock lock(mutex_);
        auto all = registered_;
        all[self_.instance_id] = self_;
        auto live = std::make_shared<std::vector<router_info>>();
        auto others = std::make_shared<std::vector<router_info>>();
        for (const auto& [id, router] : all)
        {
            if (!suspects_.contains(id))
            {
                live->push_back(router);
            }
            if (id != self_.instance_id)
            {
                others->push_back(router);
            }
        }
        others_ = std::move(others);
        if (live_ && *live_ == *live)
        {
            return;
        }
        live_ = std::move(live);
        published = live_;
        hooks = hooks_;
    }
    std::ranges::for_each(hooks, [&](const auto& hook) { hook(published); });
}

} // namespace briarfold::membership
