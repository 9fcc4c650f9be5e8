#include "ownership/internal/map_builder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

constexpr std::string_view server_prefix = "backend-server/";
constexpr std::string_view service_prefix = "service/";

using server_pointer = std::shared_ptr<const backend_server>;

/// A slice and the position of its backend server in service_index::servers.
struct entry
{
    std::uint64_t first;
    std::uint64_t last;
    std::uint32_t position;
};
using entry_list = std::shared_ptr<const std::vector<entry>>;

/// The servers of one service and their slices, sorted by first hash. The position of a server never changes;
/// a server that left has a null pointer and no entries.
struct service_index
{
    std::vector<server_pointer> servers;
    std::map<std::string, std::uint32_t> positions;
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

    /// Updates the index of `service` for one server; `server` is null when it left the service. Merges the
    /// new slices in one pass over the sorted entries of the service.
    void update(const std::string& service, const std::string& id, const server_pointer& server)
    {
        auto& index = services_[service];
        const auto [known, is_new] =
            index.positions.try_emplace(id, static_cast<std::uint32_t>(index.servers.size()));
        const auto position = known->second;
        if (is_new)
        {
            index.servers.push_back(nullptr);
        }
        const auto former = std::exchange(index.servers[position], server);
        if (former && server && former->slices == server->slices)
        {
            return;
        }
        std::vector<entry> added;
        if (server)
        {
            std::ranges::transform(server->slices, std::back_inserter(added), [&](const slice& item) {
                return entry{item.first, item.last, position};
            });
        }
        std::ranges::sort(added, {}, &entry::first);
        auto entries = std::make_shared<std::vector<entry>>();
        entries->reserve(index.entries->size() + added.size());
        auto next = added.begin();
        for (const auto& held : *index.entries)
        {
            if (held.position == position)
            {
                continue;
            }
            for (; next != added.end() && next->first < held.first; ++next)
            {
                entries->push_back(*next);
            }
            entries->push_back(held);
        }
        entries->insert(entries->end(), next, added.end());
        index.entries = std::move(entries);
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

bool map_builder::apply_row(slice_map& next, const store::row& row)
{
    const bool is_server = row.key.starts_with(server_prefix);
    const bool is_service = row.key.starts_with(service_prefix);
    if (!is_server && !is_service)
    {
        return false;
    }
    auto& held = revisions_[row.key];
    if (row.revision <= held)
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
    const auto server = row.value.is_null()
                            ? nullptr
                            : std::make_shared<const backend_server>(parse_backend_server(row.value));
    if (former && (!server || former->service != server->service))
    {
        next.update(former->service, id, nullptr);
    }
    if (!server)
    {
        next.erase(id);
        return true;
    }
    next.set(id, server);
    next.update(server->service, id, server);
    return true;
}

bool map_builder::apply(const std::vector<store::row>& rows, std::int64_t revision)
{
    const std::scoped_lock lock(mutex_);
    auto next = std::make_shared<slice_map>(*current_);
    bool is_changed = false;
    for (const auto& row : rows)
    {
        try
        {
            is_changed = apply_row(*next, row) || is_changed;
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
    next->set_revision(revision);
    current_ = std::move(next);
    return true;
}

} // namespace briarfold::ownership::internal
