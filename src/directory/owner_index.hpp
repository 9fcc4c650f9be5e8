/// Finds the owner of a key, and the fronts of services without key ownership, in constant time.
#pragma once

#include "directory/directory_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::directory {

/// Owner of a key as the directory tells it.
struct owner
{
    std::string backend_server;
    std::string front;
    /// Its front takes the key away from it.
    bool is_withdrawn = false;
    bool is_unreachable = false;

    bool operator==(const owner&) const = default;
};

/// Follows a snapshot change by change, at a cost that rises with the size of the change, not of the
/// directory. Not thread-safe.
class owner_index
{
public:
    /// `change` is the update that led to `known`.
    void apply(const snapshot& known, const update& change);
    /// Empty while the key has no front.
    std::optional<owner> find(const std::string& service, std::uint32_t key) const;
    /// Slots by front of the backend servers that take requests, for a service without key ownership. Null
    /// when there are none.
    const std::map<std::string, int>* find_group(const std::string& service) const;

private:
    using owner_number = std::uint16_t;

    struct slot
    {
        std::string service;
        std::string backend_server;
        std::string front;
        keyspace::key_set keys;
        bool is_unreachable = false;
    };

    void remove(const std::string& id);
    void add(const entry& item);
    void collect_groups(const snapshot& known);

    /// By service and key: 1 + 2 x position in `slots_`, + 1 for a withdrawn key; 0 without an owner.
    std::map<std::string, std::vector<owner_number>> keys_;
    std::vector<slot> slots_;
    std::vector<std::size_t> free_slots_;
    std::map<std::string, std::size_t> positions_;
    std::map<std::string, std::map<std::string, int>> groups_;
};

} // namespace briarfold::directory
