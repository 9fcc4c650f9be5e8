#include "admin/backend_server_admin.hpp"

#include "core/error.hpp"
#include "document/field_reader.hpp"

#include <algorithm>

namespace briarfold::admin {

namespace {

namespace asio = core::asio;
using ownership::intent;

constexpr std::size_t longest_name = 64;
constexpr std::int64_t most_slots = 10000;
constexpr std::int64_t max_connections = 100000;
constexpr core::duration retry_pause{50};
/// A repeat of an operation id is recognised for this many later actions.
constexpr std::size_t actions_kept = 16;

std::string row_key(const std::string& id)
{
    return "backend-server/" + id;
}

std::string action_key(const std::string& id)
{
    return "backend-server-action/" + id;
}

bool is_endpoint(const std::string& text)
{
    try
    {
        return http::parse_endpoint(text).port != 0;
    }
    catch (const core::error&)
    {
        return false;
    }
}

action_result make_done(const nlohmann::json& action, bool is_changed)
{
    action_result result(action_status::done, "");
    result.is_changed = is_changed;
    result.intent = action.value("intent", "");
    result.operation_id = action.value("operation_id", "");
    result.author = action.value("author", "");
    result.time_ms = action.value("time_ms", std::int64_t{0});
    return result;
}

/// The action with that operation id, or null.
const nlohmann::json* find_action(const nlohmann::json& actions, const std::string& operation_id)
{
    const auto found = std::ranges::find_if(actions, [&operation_id](const nlohmann::json& item) {
        return item.value("operation_id", "") == operation_id;
    });
    return found == actions.end() ? nullptr : &*found;
}

nlohmann::json prepend(const nlohmann::json& action, nlohmann::json actions)
{
    actions.insert(actions.begin(), action);
    while (actions.size() > actions_kept)
    {
        actions.erase(actions.size() - 1);
    }
    nlohmann::json value;
    value["actions"] = std::move(actions);
    return value;
}

/// The newest action, or an empty object.
nlohmann::json last_action(const nlohmann::json& actions)
{
    return actions.empty() ? nlohmann::json::object() : actions.front();
}

/// Compares what operators set; the rest belongs to the controller.
bool has_same_fields(const ownership::backend_server& a, const ownership::backend_server& b)
{
    return a.service == b.service && a.address == b.address && a.zone == b.zone && a.slots == b.slots &&
           a.connections == b.connections && a.checks_grants == b.checks_grants;
}

void copy_fields(const ownership::backend_server& from, nlohmann::json& to)
{
    const auto source = to_json(from);
    for (const auto* name : {"service", "address", "zone", "slots", "connections", "checks_grants"})
    {
        to[name] = source.at(name);
    }
}

asio::awaitable<void> pause()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(retry_pause.ms));
    co_await timer.async_wait(asio::use_awaitable);
}

std::string to_string(action_status value)
{
    switch (value)
    {
    case action_status::done:
        return "done";
    case action_status::refused:
        return "refused";
    case action_status::not_found:
        return "not_found";
    case action_status::unknown:
        break;
    }
    return "unknown";
}

} // namespace

nlohmann::json to_json(const action_result& value)
{
    return {{"status", to_string(value.status)},
            {"is_changed", value.is_changed},
            {"intent", value.intent},
            {"operation_id", value.operation_id},
            {"author", value.author},
            {"time_ms", value.time_ms},
            {"reason", value.reason}};
}

ownership::backend_server parse_join(const nlohmann::json& document, const std::string& id)
{
    document::field_reader reader(document);
    ownership::backend_server server;
    const auto rule = document::name_rule(longest_name);
    server.id = reader.text("id", rule, id);
    if (server.id != id || !rule.accepts(id))
    {
        reader.add_error("id", server.id, "the id in the path, " + rule.description);
    }
    server.service = reader.text("service", rule);
    const auto address =
        reader.text("address", {"an IP address and a port such as \"10.0.0.1:9000\"", is_endpoint});
    server.address = address.empty() ? http::endpoint() : http::parse_endpoint(address);
    server.zone = reader.text("zone", rule);
    server.slots = static_cast<int>(reader.integer("slots", 1, most_slots));
    server.connections = static_cast<int>(reader.integer("connections", 1, max_connections));
    server.checks_grants = reader.boolean("checks_grants", true);
    reader.finish("backend server " + id);
    return server;
}

/// The two rows of one backend server.
struct backend_server_admin::state
{
    std::int64_t version = 0;
    nlohmann::json value;
    std::int64_t actions_version = 0;
    /// The latest actions, newest first.
    nlohmann::json actions = nlohmann::json::array();
};

asio::awaitable<backend_server_admin::state> backend_server_admin::read(std::string id,
                                                                        core::duration timeout)
{
    // The action is read first: when both change between the two reads, the write below conflicts.
    const auto actions = co_await table_.read(action_key(id), timeout);
    const auto row = co_await table_.read(row_key(id), timeout);
    state result;
    if (row)
    {
        result.version = row->version;
        result.value = row->value;
    }
    if (actions)
    {
        result.actions_version = actions->version;
        result.actions = actions->value.at("actions");
    }
    co_return result;
}

asio::awaitable<action_result> backend_server_admin::change(std::string id, operator_action action,
                                                            decision decide, core::duration timeout)
{
    const auto end = core::clock::now() + timeout;
    std::string reason = "the table service did not answer";
    for (auto left = timeout; left.ms > 0; left = end - core::clock::now())
    {
        try
        {
            const auto current = co_await read(id, left);
            // Resolves a lost answer, and a late repeat after another action.
            if (const auto* earlier = find_action(current.actions, action.operation_id))
            {
                co_return make_done(*earlier, true);
            }
            auto value = current.value;
            const auto decided = decide(current, value);
            if (decided)
            {
                co_return *decided;
            }
            nlohmann::json record;
            record["intent"] = value.at("intent");
            record["operation_id"] = action.operation_id;
            record["author"] = action.author;
            record["time_ms"] = core::clock::wall().ms;
            std::vector<store::row_write> writes;
            writes.emplace_back(row_key(id), current.version, value);
            writes.emplace_back(action_key(id), current.actions_version, prepend(record, current.actions));
            const auto result = co_await table_.commit(action.operation_id, writes, left);
            if (result.is_committed)
            {
                co_return make_done(record, true);
            }
            reason = "the row kept changing";
        }
        catch (const store::store_error& failure)
        {
            reason = failure.what();
        }
        co_await pause();
    }
    action_result unknown(action_status::unknown, reason);
    co_return unknown;
}

asio::awaitable<action_result> backend_server_admin::join(ownership::backend_server server,
                                                          operator_action action, core::duration timeout)
{
    server.intent = intent::joining;
    const decision decide = [server](const state& current,
                                     nlohmann::json& value) -> std::optional<action_result> {
        if (current.version == 0)
        {
            value = to_json(server);
            return std::nullopt;
        }
        const auto held = ownership::parse_backend_server(current.value);
        if (held.intent == intent::joining || held.intent == intent::active)
        {
            if (has_same_fields(held, server))
            {
                auto same = make_done(last_action(current.actions), false);
                same.intent = to_string(held.intent);
                return same;
            }
            return action_result(action_status::refused,
                                 "the backend server joined with other fields; let it leave and stop first");
        }
        if (held.intent == intent::leaving || !held.slices.empty())
        {
            return action_result(action_status::refused, "the backend server is " + to_string(held.intent) +
                                                             " and holds " +
                                                             std::to_string(held.slices.size()) +
                                                             " slices; join it again after it has stopped");
        }
        copy_fields(server, value);
        value["intent"] = to_string(intent::joining);
        return std::nullopt;
    };
    co_return co_await change(server.id, action, decide, timeout);
}

asio::awaitable<action_result> backend_server_admin::set_intent(std::string id, intent wanted,
                                                                operator_action action,
                                                                core::duration timeout)
{
    const decision decide = [wanted](const state& current,
                                     nlohmann::json& value) -> std::optional<action_result> {
        if (current.version == 0)
        {
            return action_result(action_status::not_found, "there is no such backend server");
        }
        const auto held = ownership::parse_intent(current.value.at("intent").get<std::string>());
        const bool is_further = wanted == intent::leaving && held == intent::stopped;
        if (held == wanted || is_further)
        {
            auto same = make_done(last_action(current.actions), false);
            same.intent = to_string(held);
            return same;
        }
        value["intent"] = to_string(wanted);
        return std::nullopt;
    };
    co_return co_await change(id, action, decide, timeout);
}

asio::awaitable<action_result> backend_server_admin::leave(std::string id, operator_action action,
                                                           core::duration timeout)
{
    return set_intent(std::move(id), intent::leaving, std::move(action), timeout);
}

asio::awaitable<action_result> backend_server_admin::stop(std::string id, operator_action action,
                                                          core::duration timeout)
{
    return set_intent(std::move(id), intent::stopped, std::move(action), timeout);
}

} // namespace briarfold::admin
