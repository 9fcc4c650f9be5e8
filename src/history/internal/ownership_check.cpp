// G1. A backend server holds its slices from an accepted grant until the end of the grant, a newer grant or a
// release. Events of the same millisecond have no known order, so a server is compared with the others only
// after all events of its millisecond.
#include "core/key_hash.hpp"
#include "history/internal/checks.hpp"

#include <fmt/format.h>

#include <map>
#include <ranges>
#include <set>

namespace briarfold::history::internal {

namespace {

struct holder
{
    std::string service;
    std::string incarnation;
    hash_set held;
    core::time_point until;
    /// Slices of the row in the table.
    hash_set assigned;
    std::set<std::string> former_incarnations;
    bool has_row = false;
    bool has_grants = false;
};

std::string describe(const hash_set& hashes)
{
    const auto& first = *hashes.begin();
    return core::to_hex(boost::icl::first(first)) + "-" + core::to_hex(boost::icl::last(first));
}

class ownership_check
{
public:
    explicit ownership_check(std::vector<violation>& found) : found_(found) {}

    void apply(const event& value)
    {
        switch (value.kind)
        {
        case event_kind::assignment:
            return apply_assignment(value);
        case event_kind::grant_accepted:
            return apply_grant(value);
        case event_kind::release:
            return apply_release(value);
        default:
            return;
        }
    }

    void compare_changed(core::time_point now)
    {
        for (const auto& id : changed_)
        {
            compare(id, now);
        }
        changed_.clear();
    }

    /// What speaks against the effect, in the present state; empty when nothing does.
    std::string objection(const event& value) const;

private:
    void apply_assignment(const event& value)
    {
        if (is_store_line(value))
        {
            auto& server = holders_[value.fields.at("backend_server")];
            server.service = value.fields.at("service");
            server.assigned = slices_of(value);
            server.has_row = true;
        }
    }

    void apply_grant(const event& value)
    {
        auto& server = holders_[value.fields.at("backend_server")];
        const std::string incarnation = value.fields.at("incarnation");
        auto slices = slices_of(value);
        const bool is_renewal =
            server.incarnation == incarnation && value.time < server.until && slices == server.held;
        if (!server.incarnation.empty() && server.incarnation != incarnation)
        {
            server.former_incarnations.insert(server.incarnation);
        }
        server.service = value.fields.at("service");
        server.incarnation = incarnation;
        server.held = std::move(slices);
        server.until.ms = value.fields.at("valid_until_ms");
        server.has_grants = true;
        if (!is_renewal)
        {
            changed_.insert(value.fields.at("backend_server"));
        }
    }

    void apply_release(const event& value)
    {
        auto& server = holders_[value.fields.at("backend_server")];
        if (server.incarnation == value.fields.at("incarnation").get<std::string>())
        {
            server.held.clear();
            server.until = {};
        }
    }

    void compare(const std::string& id, core::time_point now)
    {
        const auto& server = holders_.at(id);
        for (const auto& [other_id, other] : holders_)
        {
            if (other_id == id || other.service != server.service || other.until <= now ||
                server.until <= now)
            {
                continue;
            }
            const hash_set common = server.held & other.held;
            if (!common.empty())
            {
                report(
                    violation_kind::two_owners, now,
                    fmt::format("{} and {} hold {} of {}", id, other_id, describe(common), server.service));
            }
        }
        const hash_set outside = server.held - server.assigned;
        if (server.has_row && !outside.empty())
        {
            report(violation_kind::grant_outside_assignment, now,
                   id + " accepted " + describe(outside) + " of " + server.service +
                       ", which its row does not list");
        }
    }

    void report(violation_kind kind, core::time_point time, std::string what)
    {
        found_.push_back({kind, time, std::move(what)});
    }

    std::vector<violation>& found_;
    std::map<std::string, holder> holders_;
    std::set<std::string> changed_;
};

std::string ownership_check::objection(const event& value) const
{
    const std::string id = value.fields.at("backend_server");
    const std::string service = value.fields.at("service");
    const std::string request = value.fields.at("request_id");
    const auto hash = core::key_hash(service, value.fields.at("key").get<std::string>());
    const auto found = holders_.find(id);
    static const holder unknown{};
    const holder& server = found == holders_.end() ? unknown : found->second;
    if (server.former_incarnations.contains(value.fields.at("incarnation").get<std::string>()))
    {
        return fmt::format("{} ran {} in a former incarnation", id, request);
    }
    if (server.has_grants && server.until <= value.time)
    {
        return fmt::format("{} ran {} without a grant", id, request);
    }
    for (const auto& [other_id, other] : holders_)
    {
        if (other_id == id || other.service != service)
        {
            continue;
        }
        const bool is_held = other.until > value.time && boost::icl::contains(other.held, hash);
        // A backend server without grants holds what its row lists.
        const bool is_row_only =
            !server.has_grants && !other.has_grants && boost::icl::contains(other.assigned, hash);
        if (is_held || is_row_only)
        {
            return fmt::format("{} ran {} while {} holds its key", id, request, other_id);
        }
    }
    return "";
}

using event_range = std::ranges::subrange<std::vector<event>::const_iterator>;

/// Checks the events of one millisecond. Their order is not known, so an effect is wrong only when it is
/// wrong both before and after the changes of that millisecond.
void check_millisecond(ownership_check& check, const event_range& events, std::vector<violation>& found)
{
    std::vector<const event*> doubtful;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::execute && !check.objection(value).empty())
        {
            doubtful.push_back(&value);
        }
    }
    std::ranges::for_each(events, [&](const event& value) { check.apply(value); });
    for (const auto* value : doubtful)
    {
        if (auto what = check.objection(*value); !what.empty())
        {
            found.push_back({violation_kind::two_owners, value->time, std::move(what)});
        }
    }
    check.compare_changed(events.front().time);
}

} // namespace

void check_ownership(const std::vector<event>& events, std::vector<violation>& found)
{
    ownership_check check(found);
    for (auto begin = events.begin(); begin != events.end();)
    {
        const auto now = begin->time;
        const auto end =
            std::ranges::find_if(begin, events.end(), [&](const event& value) { return value.time != now; });
        check_millisecond(check, event_range(begin, end), found);
        begin = end;
    }
}

} // namespace briarfold::history::internal
