#include "history/event.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <array>

namespace briarfold::history {

namespace {

using named_kind = std::pair<event_kind, const char*>;
constexpr std::array<named_kind, 11> kind_names{{{event_kind::call, "call"},
                                                 {event_kind::outcome, "outcome"},
                                                 {event_kind::grant, "grant"},
                                                 {event_kind::grant_accepted, "grant_accepted"},
                                                 {event_kind::release, "release"},
                                                 {event_kind::assignment, "assignment"},
                                                 {event_kind::execute, "execute"},
                                                 {event_kind::drain, "drain"},
                                                 {event_kind::stop, "stop"},
                                                 {event_kind::contract_applied, "contract_applied"},
                                                 {event_kind::fault, "fault"}}};

} // namespace

std::string to_string(event_kind value)
{
    return std::ranges::find(kind_names, value, &named_kind::first)->second;
}

event_kind parse_event_kind(const std::string& text)
{
    const auto* const found =
        std::ranges::find_if(kind_names, [&](const named_kind& item) { return text == item.second; });
    if (found == kind_names.end())
    {
        throw core::error("parse history", "", "unknown kind \"" + text + "\"");
    }
    return found->first;
}

std::string to_line(const event& value)
{
    nlohmann::json line = value.fields;
    line["process"] = value.process;
    line["time_ms"] = value.time.ms;
    line["kind"] = to_string(value.kind);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

event parse_line(const std::string& line)
{
    try
    {
        auto parsed = nlohmann::json::parse(line);
        event value;
        value.process = parsed.at("process").get<std::string>();
        value.time.ms = parsed.at("time_ms").get<std::int64_t>();
        value.kind = parse_event_kind(parsed.at("kind").get<std::string>());
        parsed.erase("process");
        parsed.erase("time_ms");
        parsed.erase("kind");
        value.fields = std::move(parsed);
        return value;
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("parse history", "", failure.what());
    }
}

event make_call(const std::string& request_id, const std::string& customer, const std::string& service,
                const std::string& key, bool is_idempotent)
{
    return {event_kind::call,
            {{"request_id", request_id},
             {"customer", customer},
             {"service", service},
             {"key", key},
             {"idempotent", is_idempotent}}};
}

event make_outcome(const outcome_fields& value)
{
    return {event_kind::outcome,
            {{"request_id", value.request_id},
             {"outcome", value.outcome},
             {"status", value.status},
             {"answer_id", value.answer_id},
             {"answer_hash", value.answer_hash},
             {"peer", value.peer},
             {"reason", value.reason}}};
}

event make_grant(const std::string& backend_server, std::int64_t epoch, const std::string& controller,
                 const std::string& nonce, std::int64_t slices_version)
{
    return {event_kind::grant,
            {{"backend_server", backend_server},
             {"epoch", epoch},
             {"controller", controller},
             {"nonce", nonce},
             {"slices_version", slices_version}}};
}

event make_grant_accepted(const grant_accepted_fields& value)
{
    return {event_kind::grant_accepted,
            {{"backend_server", value.backend_server},
             {"service", value.service},
             {"incarnation", value.incarnation},
             {"epoch", value.epoch},
             {"controller", value.controller},
             {"slices_version", value.slices_version},
             {"slices", value.slices},
             {"valid_until_ms", value.valid_until.ms}}};
}

event make_release(const std::string& backend_server, const std::string& incarnation)
{
    return {event_kind::release, {{"backend_server", backend_server}, {"incarnation", incarnation}}};
}

event make_assignment(const assignment_fields& value)
{
    return {event_kind::assignment,
            {{"source", value.source},
             {"backend_server", value.backend_server},
             {"service", value.service},
             {"intent", value.intent},
             {"row_version", value.row_version},
             {"revision", value.revision},
             {"slices", value.slices}}};
}

event make_execute(const execute_fields& value)
{
    return {event_kind::execute,
            {{"request_id", value.request_id},
             {"backend_server", value.backend_server},
             {"incarnation", value.incarnation},
             {"service", value.service},
             {"key", value.key},
             {"epoch", value.epoch},
             {"received_ms", value.received.ms},
             {"answer_hash", value.answer_hash}}};
}

event make_drain(const std::string& backend_server)
{
    return {event_kind::drain, {{"backend_server", backend_server}}};
}

event make_stop(const std::string& backend_server, const std::string& incarnation, const std::string& address,
                std::size_t in_flight)
{
    return {event_kind::stop,
            {{"backend_server", backend_server},
             {"incarnation", incarnation},
             {"address", address},
             {"in_flight", in_flight}}};
}

event make_contract_applied(const std::string& source, const std::string& customer, std::int64_t version)
{
    return {event_kind::contract_applied, {{"source", source}, {"customer", customer}, {"version", version}}};
}

event make_fault(const std::string& name, bool is_begin, const std::vector<std::string>& targets)
{
    return {event_kind::fault, {{"name", name}, {"phase", is_begin ? "begin" : "end"}, {"targets", targets}}};
}

} // namespace briarfold::history
