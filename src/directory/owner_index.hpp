/// Finds the owner of a key, and the fronts of services without key ownership, in constant time.
#pragma once

#include "directory/directory_types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarfold::directory {

/// Owner of a key according to the directory.
struct owner
{
    std::string backend_server;
    std::string front;
    /// Whether its front is taking the key away from it.
    bool is_withdrawn = false;
    bool is_unreachable = false;

    bool operator==(const owner&) const = default;
};

/// Index of a snapshot that is updated incrementally: the cost depends on the size of the change, not on that
/// of the directory. Not thread-safe.
class owner_index
{
public:
    /// Updates the index. `change` is the update that led to `known`.
    void apply(const snapshot& known, const update& change);
    /// Leaves the backend servers of these zones out of the groups.
    void set_evacuated_zones(const snapshot& known, std::set<std::string> zones);
    /// Whether the service has available backend servers without keys, all of them in evacuated zones.
    bool is_evacuated(const std::string& service) const;
    /// Returns the owner of the key; nullopt if the key has no front.
    std::optional<owner> find(const std::string& service, std::uint32_t key) const;
    /// Returns, for a service without key ownership, the number of slots of its available backend servers by
    /// front; null if there are none.
    const std::map<std::string, int>* find_group(const std::string& service) const;

private:
    using owner_number = std::uint16_t;

    struct indexed_entry
    {
        std::string service;
        std::string backend_server;
        std::string front;
        keyspace::key_set keys;
        bool is_unreachable = false;
    };

    void remove(const std::string& id);
    void add(const entry& item);
    void rebuild_groups(const snapshot& known);

    /// By service and key: 1 + 2 x position in `indexed_entries_`, plus 1 for a withdrawn key; 0 without an
    /// owner.
    std::map<std::string, std::vector<owner_number>> owner_numbers_;
    std::vector<indexed_entry> indexed_entries_;
    std::vector<std::size_t> free_positions_;
    std::map<std::string, std::size_t> positions_;
    std::map<std::string, std::map<std::string, int>> groups_;
    std::set<std::string> evacuated_zones_;
    /// Services without key ownership that have available backend servers in evacuated zones.
    std::set<std::string> evacuated_services_;
};

} // namespace briarfold::directory
