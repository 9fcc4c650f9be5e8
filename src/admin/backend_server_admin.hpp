/// Operators' intents for backend servers: join, leave, stop.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "ownership/ownership_types.hpp"
#include "store/itable_store.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace briarfold::admin {

/// Who asked, under which operation id. Repeating an operation id is harmless.
struct operator_action
{
    operator_action() = default;
    operator_action(std::string operation, std::string author_name)
        : operation_id(std::move(operation)), author(std::move(author_name))
    {}

    std::string operation_id;
    std::string author;
};

enum class action_status
{
    /// The intent is as asked. `is_changed` tells whether this action changed it.
    done,
    /// The backend server's state does not allow it.
    refused,
    not_found,
    /// The store did not answer; repeat with the same operation id.
    unknown
};

struct action_result
{
    action_result() = default;
    action_result(action_status outcome, std::string reason_text)
        : status(outcome), reason(std::move(reason_text))
    {}

    action_status status = action_status::unknown;
    bool is_changed = false;
    std::string intent;
    /// The action that set the intent, which is another operator's when is_changed is false.
    std::string operation_id;
    std::string author;
    std::int64_t time_ms = 0;
    std::string reason;
};

nlohmann::json to_json(const action_result& value);

/// Fields of a backend server that operators set. Throws document::invalid_document.
ownership::backend_server parse_join(const nlohmann::json& document, const std::string& id);

/// Thread-safe; the store must outlive it. The latest actions on each backend server are kept in
/// a row `backend-server-action/<id>`, written in the transaction that changes the intent.
class backend_server_admin
{
public:
    explicit backend_server_admin(store::itable_store& table) : table_(table) {}

    /// Creates the row, or takes up a stopped backend server again. Joining twice with the same fields is one
    /// join.
    core::asio::awaitable<action_result> join(ownership::backend_server server, operator_action action,
                                              core::duration timeout);
    /// Drains: no new work within 3 s, slices move away. Draining twice is one drain.
    core::asio::awaitable<action_result> leave(std::string id, operator_action action,
                                               core::duration timeout);
    /// Drains, then ends the process. For a backend server that cannot be reached it is the operator's word
    /// that its process has ended.
    core::asio::awaitable<action_result> stop(std::string id, operator_action action, core::duration timeout);

private:
    struct state;
    using decision =
        std::function<std::optional<action_result>(const state& current, nlohmann::json& new_value)>;

    core::asio::awaitable<state> read(std::string id, core::duration timeout);
    /// Reads, decides and writes until the write commits, nothing has to change, or time is up.
    core::asio::awaitable<action_result> change(std::string id, operator_action action, decision decide,
                                                core::duration timeout);
    core::asio::awaitable<action_result> set_intent(std::string id, ownership::intent wanted,
                                                    operator_action action, core::duration timeout);

    store::itable_store& table_;
};

} // namespace briarfold::admin
