/// The routers' shared view of backend servers, their keys and their fronts.
#pragma once

#include "core/clock.hpp"
#include "directory/generation.hpp"
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
    /// Start time of its process in Unix milliseconds, which identifies a process among those with the same
    /// id.
    std::int64_t start_time_ms = 0;
    std::string service;
    http::endpoint address;
    std::string zone;
    int slots = 1;
    bool is_draining = false;
    /// Time for which it remains slow after its start, as of its last registration.
    core::duration warmup_left;

    bool operator==(const backend_server&) const = default;
};

/// What a backend server wrote into the registry.
struct registration
{
    backend_server server;
    /// Rises with each registration that its process writes.
    std::int64_t sequence = 0;

    bool operator==(const registration&) const = default;
};

/// Keys that come from another backend server, with a token that keeps them warm at the new one.
struct handover
{
    keyspace::key_range range;
    std::string token;

    bool operator==(const handover&) const = default;
};

/// State of one backend server in the directory. Its front is the router that grants its keys and sends its
/// requests.
struct entry
{
    backend_server server;
    /// Whether the registry still lists it. An entry that is not listed stays until its keys are free.
    bool is_listed = true;
    /// Whether its front cannot reach it, so that its keys are not served until their grants end.
    bool is_unreachable = false;
    /// Name of the front; empty if none is assigned.
    std::string front;
    /// Keys that it holds or will hold; empty for a service without key ownership.
    keyspace::key_set keys;
    /// Part of `keys` that the front is taking away from it.
    keyspace::key_set withdrawn;
    std::vector<handover> handovers;
    /// Longest time, from receipt of the entry, for which a grant of an earlier front may be valid.
    core::duration prior_grant_remaining;
    /// First fencing token of the front's grants. The front counts up in the lower bits only.
    std::int64_t token_base = 0;
    /// Token base with which the front was assigned. A front that learns of a later one knows that others may
    /// have been the front in between.
    std::int64_t front_token = 0;
    /// Revision of the directory at the last change of the entry.
    std::int64_t revision = 0;

    bool operator==(const entry&) const = default;
};

struct router
{
    std::string name;
    /// Identifies the process among those with the same name.
    std::string incarnation;
    std::string zone;
    http::endpoint peer;
    /// Processor share, in cores.
    double cpu = 1;
    /// Bandwidth of its network link in Mbit/s; 0 when it is not known.
    double bandwidth_mbps = 0;
    bool is_stopping = false;

    bool operator==(const router&) const = default;
};

/// State of the whole directory. Immutable once published: the leader makes a new one for each change.
struct snapshot
{
    /// Identifies the leader that made it; later for each new leader.
    generation term;
    /// Rises with each change within a term.
    std::int64_t revision = 0;
    /// Revision of the last change of `routers`.
    std::int64_t routers_revision = 0;
    std::string leader;
    /// Routers that read the store besides the leader, in other zones than the leader if possible. The first
    /// one takes over from a leader that cannot read the store.
    std::vector<std::string> deputies;
    /// Routers that were lost lately without notice: they may be cut off, and follow or elect another leader.
    std::vector<std::string> lost_routers;
    /// Longest time, from receipt, for which keys without a holder may be held by a backend server that is
    /// not known. Zero when the directory shows all holders.
    core::duration withheld_remaining;
    std::map<std::string, entry> entries;
    std::map<std::string, router> routers;

    bool operator==(const snapshot&) const = default;
};

/// Changes from one revision to a later one, or a full snapshot.
struct update
{
    bool is_full_snapshot = false;
    /// Minimum revision of the receiver, unless the update is a full snapshot.
    std::int64_t base = 0;
    /// Holds the changed entries and routers only.
    snapshot changed;
    std::vector<std::string> removed;
    std::vector<std::string> removed_routers;

    bool has_routers() const
    {
        return is_full_snapshot || !changed.routers.empty() || !removed_routers.empty();
    }
};

/// Revisions of changes that a snapshot does not show by itself.
struct change_log
{
    /// Revision at which an entry was removed, by id.
    std::map<std::string, std::int64_t> removed;
    /// Revision of the last change of a router, by name; also of its removal.
    std::map<std::string, std::int64_t> routers;
};

nlohmann::json to_json(const entry& value);
nlohmann::json to_json(const router& value);
nlohmann::json to_json(const update& value);
nlohmann::json to_json(const keyspace::key_set& value);
/// These functions throw nlohmann::json::exception or core::error for a malformed value.
entry entry_from_json(const nlohmann::json& value);
router router_from_json(const nlohmann::json& value);
update update_from_json(const nlohmann::json& value);
keyspace::key_set keys_from_json(const nlohmann::json& value);

/// Returns the changes since `revision`, or the full snapshot if `term` is not the current one.
update make_update(const snapshot& current, const change_log& changes, const generation& term,
                   std::int64_t revision);
/// Applies an update and returns true. Returns false and changes nothing if the update is of an earlier term
/// or does not follow on from `current`, so that a full snapshot is needed.
bool apply(snapshot& current, const update& change);

} // namespace briarfold::directory
