/// Static ownership and membership, so that benchmarks measure only routing.
#pragma once

#include "membership/imembership.hpp"
#include "ownership/iownership.hpp"

#include <algorithm>
#include <map>

namespace briarfold::bench {

/// Map that divides the hash space of one service into even slices, assigned to the backend servers in turn.
class static_map : public ownership::iownership_map
{
public:
    static_map(std::vector<ownership::backend_server> servers, std::size_t slices)
    {
        for (auto& server : servers)
        {
            rows_.push_back(std::make_shared<const ownership::backend_server>(std::move(server)));
        }
        const auto width = UINT64_MAX / slices;
        for (std::size_t i = 0; i < slices; ++i)
        {
            first_.push_back(width * i);
        }
    }

    std::int64_t revision() const override { return 1; }
    std::shared_ptr<const ownership::backend_server> owner(const std::string& service,
                                                           std::uint64_t hash) const override
    {
        if (!has_service(service))
        {
            return nullptr;
        }
        const auto position = std::ranges::upper_bound(first_, hash) - first_.begin() - 1;
        return rows_[static_cast<std::size_t>(position) % rows_.size()];
    }
    bool has_service(const std::string& service) const override { return service == rows_.front()->service; }
    std::shared_ptr<const ownership::backend_server> find(const std::string& id) const override
    {
        const auto position = std::ranges::find(rows_, id, [](const auto& row) { return row->id; });
        return position == rows_.end() ? nullptr : *position;
    }
    std::vector<std::shared_ptr<const ownership::backend_server>> all() const override { return rows_; }

private:
    std::vector<std::shared_ptr<const ownership::backend_server>> rows_;
    std::vector<std::uint64_t> first_;
};

class static_ownership : public ownership::iownership
{
public:
    explicit static_ownership(std::shared_ptr<const ownership::iownership_map> map) : map_(std::move(map)) {}

    std::shared_ptr<const ownership::iownership_map> map() const override { return map_; }
    void on_map_change(std::function<void(const std::shared_ptr<const ownership::iownership_map>&)>) override
    {}
    core::duration unchecked_authority(const std::string&) const override { return {}; }
    core::asio::awaitable<bool> move(ownership::slice_move) override { co_return false; }
    core::asio::awaitable<void> hand_over_all() override { co_return; }

private:
    std::shared_ptr<const ownership::iownership_map> map_;
};

class static_membership : public membership::imembership
{
public:
    static_membership(membership::router_info self, std::vector<membership::router_info> live)
        : self_(std::move(self)),
          live_(std::make_shared<const std::vector<membership::router_info>>(std::move(live)))
    {}

    const membership::router_info& self() const override { return self_; }
    membership::live_routers live() const override { return live_; }
    void report_unreachable(const std::string&) override {}
    void on_change(std::function<void(const membership::live_routers&)>) override {}

private:
    membership::router_info self_;
    membership::live_routers live_;
};

} // namespace briarfold::bench
