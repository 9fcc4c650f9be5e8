// G2. After a service was initialised, its rows partition the hash space at every revision, and what a router
// takes for committed is what the store committed.
#include "core/key_hash.hpp"
#include "history/internal/checks.hpp"

#include <limits>
#include <map>
#include <tuple>

namespace briarfold::history::internal {

namespace {

using row_id = std::pair<std::string, std::int64_t>;

struct service_rows
{
    std::map<std::string, hash_set> slices;
    bool is_initialised = false;
    /// A gap or overlap is reported once, not at every later revision.
    bool has_gap = false;
    bool has_overlap = false;
};

const hash_set& whole_space()
{
    static const hash_set space = to_hash_set({{0, std::numeric_limits<std::uint64_t>::max()}});
    return space;
}

void check_partition(const std::string& name, service_rows& rows, core::time_point now,
                     std::vector<violation>& found)
{
    hash_set covered;
    bool overlaps = false;
    for (const auto& [id, slices] : rows.slices)
    {
        overlaps = overlaps || boost::icl::intersects(covered, slices);
        covered += slices;
    }
    rows.is_initialised = rows.is_initialised || !covered.empty();
    const hash_set missing = whole_space() - covered;
    const bool has_gap = rows.is_initialised && !missing.empty();
    if (has_gap && !rows.has_gap)
    {
        found.push_back(
            {violation_kind::lost_assignment, now,
             "no row of " + name + " lists " + core::to_hex(boost::icl::first(*missing.begin()))});
    }
    if (overlaps && !rows.has_overlap)
    {
        found.push_back({violation_kind::two_owners, now, "two rows of " + name + " list the same hash"});
    }
    rows.has_gap = has_gap;
    rows.has_overlap = overlaps;
}

void check_partitions(const std::vector<event>& events, std::vector<violation>& found)
{
    std::map<std::int64_t, std::vector<const event*>> by_revision;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::assignment && is_store_line(value))
        {
            by_revision[value.fields.at("revision")].push_back(&value);
        }
    }
    std::map<std::string, service_rows> services;
    for (const auto& [revision, lines] : by_revision)
    {
        for (const auto* line : lines)
        {
            services[line->fields.at("service")].slices[line->fields.at("backend_server")] = slices_of(*line);
        }
        for (auto& [name, rows] : services)
        {
            check_partition(name, rows, lines.front()->time, found);
        }
    }
}

void check_router_lines(const std::vector<event>& events, std::vector<violation>& found)
{
    std::map<row_id, hash_set> committed;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::assignment && is_store_line(value))
        {
            committed[{value.fields.at("backend_server"), value.fields.at("row_version")}] = slices_of(value);
        }
    }
    for (const auto& value : events)
    {
        if (value.kind != event_kind::assignment || is_store_line(value) || committed.empty())
        {
            continue;
        }
        const row_id id{value.fields.at("backend_server"), value.fields.at("row_version")};
        const auto row = committed.find(id);
        if (row == committed.end() || !(row->second == slices_of(value)))
        {
            found.push_back({violation_kind::lost_assignment, value.time,
                             value.process + " took version " + std::to_string(id.second) + " of " +
                                 id.first + " for committed, but the store holds something else"});
        }
    }
}

} // namespace

void check_assignments(const std::vector<event>& events, std::vector<violation>& found)
{
    check_partitions(events, found);
    check_router_lines(events, found);
}

} // namespace briarfold::history::internal
