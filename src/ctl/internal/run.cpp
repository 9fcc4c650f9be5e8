#include "ctl/run.hpp"

#include "ctl/explain.hpp"
#include "ctl/internal/printer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <ranges>
#include <sstream>
#include <thread>

namespace briarfold::ctl {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned first_server_error = 500;
constexpr core::duration poll_interval{200};

/// Everything a command needs; the commands below share it.
struct session
{
    const invocation& call;
    const send_hook& send;
    std::ostream& out;
    std::ostream& errors;

    http::response request(const std::string& method, const std::string& target,
                           const nlohmann::json& body = nullptr) const
    {
        http::request message(method, target);
        message.body = body.is_null() ? "" : body.dump();
        return send(message);
    }
};

std::string encode(const std::string& text)
{
    std::ostringstream result;
    result << std::uppercase << std::hex << std::setfill('0');
    for (const char character : text)
    {
        const auto byte = static_cast<unsigned char>(character);
        const bool is_plain = std::isalnum(byte) != 0 || character == '-' || character == '_' ||
                              character == '.' || character == '~';
        if (is_plain)
        {
            result << character;
            continue;
        }
        result << '%' << std::setw(2) << static_cast<unsigned>(byte);
    }
    return result.str();
}

std::string contract_path(const std::string& customer)
{
    return "/v1/contracts/" + encode(customer);
}

nlohmann::json read_document(const std::string& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
    }
    else
    {
        std::ifstream file(path);
        if (!file)
        {
            throw usage_error("--file = " + path + ": the file cannot be opened");
        }
        text << file.rdbuf();
    }
    auto value = nlohmann::json::parse(text.str(), nullptr, false);
    if (value.is_discarded())
    {
        throw usage_error("--file = " + path + ": the file is not valid JSON");
    }
    return value;
}

std::string customer_of(const nlohmann::json& document)
{
    const auto customer =
        document.is_object() ? document.value("customer", nlohmann::json()) : nlohmann::json();
    if (!customer.is_string() || customer.get<std::string>().empty())
    {
        throw usage_error("the document has no customer");
    }
    return customer.get<std::string>();
}

exit_code code_of(const http::response& answer)
{
    if (answer.status == status_ok)
    {
        return exit_done;
    }
    if (answer.status == status_unauthorized)
    {
        return exit_unauthorized;
    }
    if (answer.status == status_conflict)
    {
        return exit_conflict;
    }
    return answer.status >= first_server_error ? exit_unknown : exit_refused;
}

void print_error(const session& s, const nlohmann::json& body)
{
    s.errors << "error: " << body.value("error", "the router gave no reason") << "\n";
    for (const auto& item : body.value("fields", nlohmann::json::array()))
    {
        s.errors << "  " << item.at("field").get<std::string>() << " = "
                 << item.at("value").get<std::string>() << ": allowed is "
                 << item.at("allowed").get<std::string>() << "\n";
    }
    for (const auto* name : {"reasons", "version", "author", "time_ms", "operation_id", "intent"})
    {
        if (body.contains(name))
        {
            nlohmann::json line;
            line[name] = body.at(name);
            s.errors << "  ";
            internal::print_fields(s.errors, line);
        }
    }
}

/// Prints an answer and tells the exit code that belongs to it.
exit_code finish(const session& s, const http::response& answer)
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object())
    {
        (answer.status == status_ok ? s.out : s.errors) << answer.body;
        return code_of(answer);
    }
    if (s.call.is_json)
    {
        s.out << body.dump(2) << "\n";
    }
    if (answer.status != status_ok)
    {
        print_error(s, body);
        return code_of(answer);
    }
    if (!s.call.is_json)
    {
        internal::print_result(s.out, s.call.command, body);
    }
    return exit_done;
}

exit_code get(const session& s, const std::string& target)
{
    return finish(s, s.request("GET", target));
}

exit_code show_contract(const session& s)
{
    const auto answer = s.request("GET", contract_path(s.call.arguments[0]));
    if (!s.call.is_document_only || answer.status != status_ok)
    {
        return finish(s, answer);
    }
    const auto body = nlohmann::json::parse(answer.body);
    s.out << body.at("document").dump(2) << "\n";
    s.errors << "version: " << body.at("version") << "\n";
    return exit_done;
}

exit_code diff_contract(const session& s)
{
    if (!s.call.arguments.empty())
    {
        return get(s, contract_path(s.call.arguments[0]) + "/diff?from=" + std::to_string(*s.call.from) +
                          "&to=" + std::to_string(*s.call.to));
    }
    const auto document = read_document(s.call.file);
    return finish(s, s.request("POST", contract_path(customer_of(document)) + "/diff", document));
}

/// Polls until the version is in force everywhere or the time is up.
exit_code wait_in_force(const session& s, const std::string& customer, std::int64_t version)
{
    const auto target = contract_path(customer) + "/status?version=" + std::to_string(version);
    const auto end = core::clock::now() + s.call.wait;
    while (true)
    {
        const auto answer = s.request("GET", target);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status == status_ok && body.at("is_everywhere").get<bool>())
        {
            s.errors << "in force on all " << body.at("routers") << " routers\n";
            return exit_done;
        }
        if (core::clock::now() >= end)
        {
            s.errors << "not in force on all routers: " << answer.body << "\n";
            return exit_not_in_force;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval.ms));
    }
}

exit_code apply_contract(const session& s)
{
    const auto document = read_document(s.call.file);
    const auto customer = customer_of(document);
    auto expected = s.call.expected_version;
    if (!expected)
    {
        const auto held = s.request("GET", contract_path(customer));
        if (held.status != status_ok && held.status != status_not_found)
        {
            return finish(s, held);
        }
        expected =
            held.status == status_ok ? nlohmann::json::parse(held.body).at("version").get<std::int64_t>() : 0;
    }
    s.errors << "operation id: " << s.call.operation_id << ", replaces version " << *expected << "\n";
    const auto answer = s.request("PUT", contract_path(customer),
                                  {{"document", document},
                                   {"expected_version", *expected},
                                   {"author", s.call.author},
                                   {"operation_id", s.call.operation_id}});
    const auto code = finish(s, answer);
    if (code != exit_done || s.call.wait.ms == 0)
    {
        return code;
    }
    return wait_in_force(s, customer, nlohmann::json::parse(answer.body).at("version").get<std::int64_t>());
}

exit_code show_contract_status(const session& s)
{
    const auto query = s.call.version ? "?version=" + std::to_string(*s.call.version) : std::string();
    const auto answer = s.request("GET", contract_path(s.call.arguments[0]) + "/status" + query);
    const auto code = finish(s, answer);
    if (code != exit_done)
    {
        return code;
    }
    return nlohmann::json::parse(answer.body).at("is_everywhere").get<bool>() ? exit_done : exit_not_in_force;
}

exit_code join_backend_server(const session& s, const nlohmann::json& server, const std::string& operation_id)
{
    const auto id = server.is_object() ? server.value("id", nlohmann::json()) : nlohmann::json();
    if (!id.is_string())
    {
        throw usage_error("a backend server in the file has no id");
    }
    auto body = server;
    body["author"] = s.call.author;
    body["operation_id"] = operation_id;
    if (!s.call.is_json)
    {
        s.out << "# " << id.get<std::string>() << "\n";
    }
    return finish(s, s.request("PUT", "/v1/backend-servers/" + encode(id.get<std::string>()), body));
}

exit_code join_backend_servers(const session& s)
{
    const auto document = read_document(s.call.file);
    const auto is_list = document.is_object() && document.contains("backend_servers");
    const auto list = is_list ? document.at("backend_servers") : nlohmann::json::array({document});
    auto worst = exit_done;
    for (const auto& server : list)
    {
        const auto id = server.is_object() ? server.value("id", "") : "";
        // Each row keeps its own operation ids, but a repeat of the whole file must repeat each of them.
        const auto code = join_backend_server(s, server, s.call.operation_id + "-" + id);
        worst = worst == exit_done ? code : worst;
    }
    return worst;
}

exit_code change_backend_server(const session& s, const std::string& action)
{
    s.errors << "operation id: " << s.call.operation_id << "\n";
    return finish(s, s.request("POST", "/v1/backend-servers/" + encode(s.call.arguments[0]) + "/" + action,
                               {{"author", s.call.author}, {"operation_id", s.call.operation_id}}));
}

exit_code probe(const session& s, const std::string& path)
{
    const auto code = get(s, path);
    return code == exit_unknown ? exit_not_in_force : code;
}

exit_code explain_request(const session& s)
{
    const auto& request = s.call.arguments.front();
    std::vector<std::ifstream> files;
    for (const auto& path : s.call.arguments | std::views::drop(1))
    {
        files.emplace_back(path);
        if (!files.back())
        {
            throw usage_error("explain: cannot read " + path);
        }
    }
    std::vector<std::istream*> logs;
    std::ranges::transform(files, std::back_inserter(logs), [](std::ifstream& file) { return &file; });
    if (logs.empty())
    {
        logs.push_back(&std::cin);
    }
    const auto found = explain(request, logs);
    if (found.malformed > 0)
    {
        s.errors << found.malformed << " lines are no JSON objects and were left out\n";
    }
    if (found.history.empty())
    {
        s.errors << "no line names the request " << request
                 << ": successes are sampled, and lines are left out under load\n";
        return exit_refused;
    }
    if (s.call.is_json)
    {
        const nlohmann::json document = {
            {"cause", found.cause}, {"history", found.history}, {"background", found.background}};
        s.out << document.dump(2) << "\n";
        return exit_done;
    }
    for (const auto* const lines : {&found.background, &found.history})
    {
        for (const auto& line : *lines)
        {
            s.out << line.dump() << "\n";
        }
    }
    s.out << "cause: " << found.cause << "\n";
    return exit_done;
}

exit_code dispatch(const session& s)
{
    using command = std::function<exit_code(const session&)>;
    static const std::map<std::string, command> table{
        {"contract list", [](const session& x) { return get(x, "/v1/contracts"); }},
        {"contract show", show_contract},
        {"contract diff", diff_contract},
        {"contract apply", apply_contract},
        {"contract history",
         [](const session& x) { return get(x, contract_path(x.call.arguments[0]) + "/history"); }},
        {"contract status", show_contract_status},
        {"backend list",
         [](const session& x) {
             return get(x, "/v1/backend-servers" +
                               (x.call.service.empty() ? "" : "?service=" + encode(x.call.service)));
         }},
        {"backend show",
         [](const session& x) { return get(x, "/v1/backend-servers/" + encode(x.call.arguments[0])); }},
        {"backend join", join_backend_servers},
        {"backend leave", [](const session& x) { return change_backend_server(x, "leave"); }},
        {"backend stop", [](const session& x) { return change_backend_server(x, "stop"); }},
        {"explain", explain_request},
        {"status", [](const session& x) { return get(x, "/v1/status"); }},
        {"owner",
         [](const session& x) {
             return get(x, "/v1/owner?service=" + encode(x.call.arguments[0]) +
                               "&key=" + encode(x.call.arguments[1]));
         }},
        {"trace", [](const session& x) { return get(x, "/v1/traces/" + encode(x.call.arguments[0])); }},
        {"settings", [](const session& x) { return get(x, "/v1/settings"); }},
        {"metrics", [](const session& x) { return get(x, "/metrics"); }},
        {"ready", [](const session& x) { return probe(x, "/ready"); }},
        {"live", [](const session& x) { return probe(x, "/live"); }}};
    return table.at(s.call.command)(s);
}

} // namespace

exit_code run(const invocation& call, const send_hook& send, std::ostream& out, std::ostream& errors)
{
    const session s{call, send, out, errors};
    try
    {
        return dispatch(s);
    }
    catch (const usage_error& failure)
    {
        errors << "error: " << failure.what() << "\n";
        return exit_usage;
    }
    catch (const std::exception& failure)
    {
        errors << "error: " << failure.what() << "\noperation id: " << call.operation_id << "\n";
        return exit_unknown;
    }
}

} // namespace briarfold::ctl
