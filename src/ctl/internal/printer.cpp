#include "ctl/internal/printer.hpp"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <ranges>
#include <sstream>

namespace briarfold::ctl::internal {

namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t ns_per_ms = 1000000;

std::string time_text(std::int64_t wall_ms)
{
    const std::time_t seconds = wall_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

std::string cell(const std::string& name, const nlohmann::json& value)
{
    if (name == "time_ms" && value.is_number_integer())
    {
        return time_text(value.get<std::int64_t>());
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string pad(const std::string& text, std::size_t width)
{
    return text + std::string(width > text.size() ? width - text.size() : 0, ' ');
}

void print_spans(std::ostream& out, const nlohmann::json& spans)
{
    auto list = nlohmann::json::array();
    for (const auto& span : spans)
    {
        const auto start = std::stoll(span.at("startTimeUnixNano").get<std::string>()) / ns_per_ms;
        const auto end = std::stoll(span.at("endTimeUnixNano").get<std::string>()) / ns_per_ms;
        nlohmann::json line{{"name", span.at("name")},
                            {"start_ms", start},
                            {"duration_ms", end - start},
                            {"span", span.at("spanId")},
                            {"parent", span.value("parentSpanId", "-")}};
        std::string attributes;
        for (const auto& item : span.at("attributes"))
        {
            attributes += item.at("key").get<std::string>() + "=" +
                          item.at("value").at("stringValue").get<std::string>() + " ";
        }
        line["attributes"] = attributes;
        list.push_back(std::move(line));
    }
    print_table(out, list, {"name", "start_ms", "duration_ms", "span", "parent", "attributes"});
}

} // namespace

void print_table(std::ostream& out, const nlohmann::json& list, const std::vector<std::string>& columns)
{
    std::vector<std::vector<std::string>> lines{columns};
    for (const auto& item : list)
    {
        std::vector<std::string> line;
        std::ranges::transform(columns, std::back_inserter(line), [&item](const std::string& name) {
            return item.contains(name) ? cell(name, item.at(name)) : "-";
        });
        lines.push_back(std::move(line));
    }
    for (const auto& line : lines)
    {
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            std::size_t width = 0;
            for (const auto& other : lines)
            {
                width = std::max(width, other[i].size());
            }
            const bool is_last = i + 1 == columns.size();
            out << (is_last ? line[i] + "\n" : pad(line[i], width) + "  ");
        }
    }
}

void print_fields(std::ostream& out, const nlohmann::json& object)
{
    for (const auto& [name, value] : object.items())
    {
        out << name << ": " << cell(name, value) << "\n";
    }
}

void print_result(std::ostream& out, const std::string& command, const nlohmann::json& answer)
{
    if (command == "contract list")
    {
        print_table(out, answer.at("contracts"), {"customer", "version", "author", "time_ms"});
        return;
    }
    if (command == "contract history")
    {
        print_table(out, answer.at("versions"), {"version", "author", "time_ms", "operation_id"});
        return;
    }
    if (command == "contract diff")
    {
        print_table(out, answer.at("changes"), {"field", "before", "after"});
        return;
    }
    if (command == "backend list")
    {
        print_table(out, answer.at("backend_servers"),
                    {"id", "service", "zone", "address", "intent", "slots", "slices", "controller", "epoch"});
        return;
    }
    if (command == "status")
    {
        print_table(out, answer.at("routers"),
                    {"instance_id", "zone", "is_reachable", "revision", "unconfirmed_ms", "rejected"});
        out << "\n";
        print_table(out, answer.at("contracts"),
                    {"customer", "version", "is_everywhere", "in_force", "routers", "behind", "unknown"});
        return;
    }
    if (command == "trace")
    {
        print_spans(out, answer.at("spans"));
        return;
    }
    print_fields(out, answer);
}

} // namespace briarfold::ctl::internal
