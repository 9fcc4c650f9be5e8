#include "ownership/internal/map_builder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

constexpr std::string_view server_prefix = "backend-server/";
constexpr std::string_view service_prefix = "service/";

using server_pointer = std::shared_ptr<const backend_server>;

/// `server` is owned by the map that holds the entry.
struct entry
{
    std::uint64_t first;
    std::uint64_t last;
    std::uint32_t position;
};
using entry_list = std::shared_ptr<const std::vector<entry>>;

/// The servers of one service and their slices in order.
struct service_index
{
    std::vector<server_pointer> servers;
    entry_list entries = std::make_shared<const std::vector<entry>>();
};

} // namespace

class map_builder::slice_map : public iownership_map
{
public:
    std::int64_t revision() const override { return revision_; }

    std::shared_ptr<const backend_server> owner(const std::string& service, std::uint64_t hash) const override
    {
        const auto found = services_.find(service);
        if (found == services_.end())
        {
            return nullptr;
        }
        const auto& entries = *found->second.entries;
        const auto after = std::ranges::upper_bound(entries, hash, {}, &entry::first);
        if (after == entries.begin() || std::prev(after)->last < hash)
        {
            return nullptr;
        }
        return found->second.servers[std::prev(after)->position];
    }

    bool has_service(const std::string& service) const override { return services_.contains(service); }

    std::shared_ptr<const backend_server> find(const std::string& id) const override
    {
        const auto found = servers_.find(id);
        return found == servers_.end() ? nullptr : found->second;
    }

    std::vector<std::shared_ptr<const backend_server>> all() const override
    {
        std::vector<server_pointer> result;
        std::ranges::transform(servers_, std::back_inserter(result),
                               [](const auto& item) { return item.second; });
        return result;
    }

    void set_revision(std::int64_t revision) { revision_ = std::max(revision_, revision); }
    void add_service(const std::string& name) { services_.try_emplace(name); }
    void set(const std::string& id, server_pointer server) { servers_[id] = std::move(server); }
    void erase(const std::string& id) { servers_.erase(id); }

    /// Replaces the server object in the index when its slices are the same. Returns false otherwise.
    bool replace(const backend_server& former, const server_pointer& server)
    {
        auto& servers = services_[server->service].servers;
        const auto position = std::ranges::find(servers, former.id, &backend_server::id);
        if (position == servers.end() || former.slices != server->slices || former.service != server->service)
        {
            return false;
        }
        *position = server;
        return true;
    }

    /// Sorts the slices of the service again.
    void rebuild(const std::string& service)
    {
        service_index index;
        auto entries = std::make_shared<std::vector<entry>>();
        for (const auto& [id, server] : servers_)
        {
            if (server->service != service)
            {
                continue;
            }
            const auto position = static_cast<std::uint32_t>(index.servers.size());
            index.servers.push_back(server);
            std::ranges::transform(server->slices, std::back_inserter(*entries), [&](const slice& item) {
                return entry{item.first, item.last, position};
            });
        }
        std::ranges::sort(*entries, {}, &entry::first);
        index.entries = std::move(entries);
        services_[service] = std::move(index);
    }

private:
    std::int64_t revision_ = 0;
    std::map<std::string, service_index> services_;
    std::map<std::string, server_pointer> servers_;
};

map_builder::map_builder() : current_(std::make_shared<const slice_map>()) {}

std::shared_ptr<const iownership_map> map_builder::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

bool map_builder::apply_row(slice_map& next, const platform::row& row, std::set<std::string>& touched)
{
    const bool is_server = row.key.starts_with(server_prefix);
    const bool is_service = row.key.starts_with(service_prefix);
    auto& held = revisions_[row.key];
    if ((!is_server && !is_service) || row.revision <= held)
    {
        return false;
    }
    held = row.revision;
    if (is_service)
    {
        next.add_service(row.key.substr(service_prefix.size()));
        return true;
    }
    const auto id = row.key.substr(server_prefix.size());
    const auto former = next.find(id);
    if (row.value.is_null())
    {
        next.erase(id);
        touched.insert(former ? former->service : "");
        return true;
    }
    const auto server = std::make_shared<const backend_server>(parse_backend_server(row.value));
    next.set(id, server);
    if (!former || !next.replace(*former, server))
    {
        touched.insert(server->service);
        touched.insert(former ? former->service : server->service);
    }
    return true;
}

bool map_builder::apply(const std::vector<platform::row>& rows, std::int64_t revision)
{
    const std::scoped_lock lock(mutex_);
    auto next = std::make_shared<slice_map>(*current_);
    std::set<std::string> touched;
    bool is_changed = false;
    for (const auto& row : rows)
    {
        try
        {
            is_changed = apply_row(*next, row, touched) || is_changed;
        }
        catch (const std::exception& failure)
        {
            spdlog::error("row {} ignored: {}", row.key, failure.what());
        }
    }
    if (!is_changed)
    {
        return false;
    }
    touched.erase("");
    std::ranges::for_each(touched, [&](const std::string& service) { next->rebuild(service); });
    next->set_revision(revision);
    current_ = std::move(next);
    return true;
}

} // namespace briarfold::ownership::internal
