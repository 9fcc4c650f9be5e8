#include "ownership/internal/assignment.hpp"

#include "core/key_hash.hpp"
#include "ownership/internal/slice_sets.hpp"

#include <algorithm>

namespace briarfold::ownership::internal {

namespace {

constexpr std::size_t slices_per_server = 64;
/// Each receiver is one more row to write, and the loss of a zone causes many reassignments at once. The
/// slices of a lost backend server therefore go to few receivers, and the planner balances them later.
constexpr std::size_t max_reassign_targets = 4;

} // namespace

std::string row_key(const std::string& server_id)
{
    return "backend-server/" + server_id;
}

row_changes first_assignment(const std::vector<known_row>& rows)
{
    row_changes changes;
    std::ranges::transform(rows, std::back_inserter(changes),
                           [](const known_row& row) { return std::pair(row, row.server); });
    const auto parts = split_space(rows.size() * slices_per_server);
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        changes[i % changes.size()].second.slices.push_back(parts[i]);
    }
    for (auto& [row, server] : changes)
    {
        server.slices = normalized(std::move(server.slices));
        server.intent = intent::active;
        ++server.slices_version;
    }
    return changes;
}

std::vector<known_row> receivers(const std::map<std::string, known_row>& rows, const backend_server& source,
                                 const std::function<bool(const backend_server&)>& is_usable)
{
    std::vector<known_row> result;
    for (const auto& [id, row] : rows)
    {
        const auto& server = row.server;
        const bool is_candidate =
            server.service == source.service && id != source.id && server.intent == intent::active;
        if (is_candidate && is_usable(server))
        {
            result.push_back(row);
        }
    }
    std::ranges::sort(result, {},
                      [&](const known_row& row) { return core::text_hash(source.id + "|" + row.server.id); });
    return result;
}

std::vector<std::pair<slice, std::string>> distribute(const std::vector<slice>& slices,
                                                      const std::vector<known_row>& targets)
{
    std::vector<std::pair<slice, std::string>> parts;
    const auto count = std::min(targets.size(), max_reassign_targets);
    if (count == 0)
    {
        return parts;
    }
    std::vector<slice> pieces = slices;
    if (pieces.size() < count)
    {
        pieces.clear();
        for (const auto& item : slices)
        {
            std::ranges::copy(split(item, count), std::back_inserter(pieces));
        }
    }
    for (std::size_t i = 0; i < pieces.size(); ++i)
    {
        parts.emplace_back(pieces[i], targets[i % count].server.id);
    }
    return parts;
}

row_changes add_parts(const std::map<std::string, known_row>& rows,
                      const std::vector<std::pair<slice, std::string>>& parts)
{
    row_changes changes;
    for (const auto& [part, target] : parts)
    {
        const auto row = rows.find(target);
        if (row == rows.end())
        {
            return {};
        }
        auto change =
            std::ranges::find_if(changes, [&](const auto& item) { return item.second.id == target; });
        if (change == changes.end())
        {
            changes.emplace_back(row->second, row->second.server);
            change = std::prev(changes.end());
            ++change->second.slices_version;
        }
        change->second.slices.push_back(part);
    }
    std::ranges::for_each(changes,
                          [](auto& item) { item.second.slices = normalized(std::move(item.second.slices)); });
    return changes;
}

commit_request make_commit(const std::string& operation_id, const row_changes& changes)
{
    commit_request request;
    request.operation_id = operation_id;
    for (const auto& [row, server] : changes)
    {
        request.writes.emplace_back(row_key(server.id), row.version, to_json(server));
    }
    return request;
}

} // namespace briarfold::ownership::internal
