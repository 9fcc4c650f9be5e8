#include "ctl/explain.hpp"

#include <algorithm>
#include <set>

namespace briarfold::ctl {

namespace {

using nlohmann::json;

/// Grants end within 10 s of the last word on a backend server, so older lines explain nothing.
constexpr std::int64_t background_ms = 10000;
constexpr int status_unavailable = 503;

std::int64_t time_of(const json& line)
{
    return line.value("time_ms", std::int64_t{0});
}

std::string text_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// The backend server that a line is about, under either of its names.
std::string server_of(const json& line)
{
    const auto named = text_of(line, "backend_server");
    return named.empty() ? text_of(line, "subject") : named;
}

const json* find_event(const std::vector<json>& lines, const char* event)
{
    const auto found = std::ranges::find_if(
        lines.rbegin(), lines.rend(), [event](const json& line) { return text_of(line, "event") == event; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string describe_background(const std::vector<json>& lines)
{
    if (lines.empty())
    {
        return "";
    }
    const auto& last = lines.back();
    const auto reason = text_of(last, "reason");
    return "; before it, " + text_of(last, "event") + " of " + server_of(last) +
           (reason.empty() ? "" : " (" + reason + ")");
}

std::string find_cause(const explanation& found)
{
    const auto* const ended = find_event(found.history, "request ended");
    const auto* const refused = find_event(found.history, "refused");
    const auto* const broken = find_event(found.history, "exchange failed");
    const auto* const served = find_event(found.history, "served");
    const int status = ended == nullptr ? 0 : ended->value("status", 0);
    const auto reason = ended == nullptr ? std::string() : text_of(*ended, "reason");
    if (refused != nullptr && text_of(*refused, "not_run_reason") == "overload")
    {
        return "refused under overload by the queue of " + server_of(*refused) + ", key " +
               text_of(*refused, "key") + ": " + reason + "; it did not run";
    }
    if (broken != nullptr && broken->value("sent", false) && status != 0 && status != status_unavailable)
    {
        return "outcome unknown: " + text_of(*broken, "reason") + " after it was sent to " +
               server_of(*broken) + describe_background(found.background);
    }
    if (reason == "the key has no owner" || reason.find("unreachable") != std::string::npos)
    {
        return "refused because no backend server holds its key: " + reason +
               describe_background(found.background) + "; it did not run";
    }
    if (ended != nullptr)
    {
        return "answered by the router with " + std::to_string(status) + ": " + reason;
    }
    if (served != nullptr)
    {
        return "answered by " + server_of(*served);
    }
    return "its end was not logged: successes are sampled, and lines are left out under load";
}

std::vector<json> read_lines(const std::vector<std::istream*>& logs, std::size_t& malformed)
{
    std::vector<json> lines;
    for (auto* const log : logs)
    {
        for (std::string text; std::getline(*log, text);)
        {
            const auto start = text.find('{');
            auto line = start == std::string::npos ? json() : json::parse(text.substr(start), nullptr, false);
            if (!line.is_object())
            {
                ++malformed;
                continue;
            }
            lines.push_back(std::move(line));
        }
    }
    std::ranges::stable_sort(lines, {}, time_of);
    return lines;
}

} // namespace

explanation explain(const std::string& request, const std::vector<std::istream*>& logs)
{
    explanation found;
    const auto lines = read_lines(logs, found.malformed);
    std::set<std::string> servers;
    for (const auto& line : lines)
    {
        if (text_of(line, "request") == request)
        {
            found.history.push_back(line);
            servers.insert(server_of(line));
        }
    }
    if (found.history.empty())
    {
        return found;
    }
    servers.erase("");
    const auto first = time_of(found.history.front());
    const auto last = time_of(found.history.back());
    std::ranges::copy_if(lines, std::back_inserter(found.background), [&](const json& line) {
        return !line.contains("request") && time_of(line) >= first - background_ms && time_of(line) <= last &&
               servers.contains(server_of(line)) && text_of(line, "event") != "grant";
    });
    found.cause = find_cause(found);
    return found;
}

} // namespace briarfold::ctl
