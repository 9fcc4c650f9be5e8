/// What every router knows of backend servers, their keys and their fronts.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"
#include "keyspace/key_range.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarfold::directory {

/// A backend server as it registered itself.
struct backend_server
{
    std::string id;
    /// Start of its process, in Unix milliseconds; differs for each life under the same id.
    std::int64_t start_time_ms = 0;
    std::string service;
    http::endpoint address;
    std::string zone;
    int slots = 1;
    bool is_draining = false;
    /// Time for which it stays slow after its start, as of its last registration.
    core::duration warmup_left;

    bool operator==(const backend_server&) const = default;
};

/// Keys that came from another backend server with a token that keeps them warm.
struct handover
{
    keyspace::key_range range;
    std::string token;

    bool operator==(const handover&) const = default;
};

struct entry
{
    backend_server server;
    /// Whether the registry still lists it. An entry that is not listed stays until its keys are free.
    bool is_listed = true;
    /// Whether its front cannot reach it, so that its keys have no service until their grants end.
    bool is_unreachable = false;
    /// Name of the router that grants its keys and sends its requests; empty when none is assigned.
    std::string front;
    /// Keys that it holds or is to hold; empty for a service without key ownership.
    keyspace::key_set keys;
    /// Part of `keys` that the front takes away from it.
    keyspace::key_set withdrawn;
    std::vector<handover> handovers;
    /// Until when a grant of an earlier front may hold, counted from the receipt of the entry.
    core::duration prior_grant_remaining;
    /// Fencing tokens of grants are above this in the upper bits.
    std::int64_t token_base = 0;
    /// Of the directory, when the entry last changed.
    std::int64_t revision = 0;

    bool operator==(const entry&) const = default;
};

struct router
{
    std::string name;
    /// Differs for each process under the same name.
    std::string incarnation;
    std::string zone;
    http::endpoint peer;
    /// Share of a processor core.
    double cpu = 1;
    bool is_stopping = false;

    bool operator==(const router&) const = default;
};

/// Immutable once published; the leader makes a new one for each change.
struct snapshot
{
    /// Identifies the leadership under which it was made; rises with each leader.
    std::int64_t term = 0;
    /// Rises with each change within a term.
    std::int64_t revision = 0;
    /// Revision of the last change of `routers`.
    std::int64_t routers_revision = 0;
    std::string leader;
    /// Routers that also read the store, in other zones than the leader where there are any. The first takes
    /// over from a leader that cannot.
    std::vector<std::string> deputies;
    std::map<std::string, entry> entries;
    std::map<std::string, router> routers;

    bool operator==(const snapshot&) const = default;
};

/// Change from one revision to the next ones, or a whole snapshot.
struct update
{
    bool is_full_snapshot = false;
    /// Revision that the receiver must have at least, unless the update is whole.
    std::int64_t base = 0;
    /// Entries that changed; `routers` are all of them, or none when `has_routers` is false.
    snapshot changed;
    bool has_routers = true;
    std::vector<std::string> removed;
};

nlohmann::json to_json(const entry& value);
nlohmann::json to_json(const router& value);
nlohmann::json to_json(const update& value);
nlohmann::json to_json(const keyspace::key_set& value);
/// All throw nlohmann::json::exception or core::error for a malformed value.
entry entry_from_json(const nlohmann::json& value);
router router_from_json(const nlohmann::json& value);
update update_from_json(const nlohmann::json& value);
keyspace::key_set keys_from_json(const nlohmann::json& value);

/// The changes since `revision` of the same term, or the whole snapshot when `term` differs. `removed_at`
/// tells at which revision each removed entry went.
update make_update(const snapshot& current, const std::map<std::string, std::int64_t>& removed_at,
                   std::int64_t term, std::int64_t revision);
/// Applies an update. Returns false when it does not fit, so that a whole one is needed.
bool apply(snapshot& current, const update& change);

} // namespace briarfold::directory
