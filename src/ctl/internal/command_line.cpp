#include "ctl/command_line.hpp"

#include "core/ids.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace briarfold::ctl {

namespace {

namespace options = boost::program_options;

/// About a file of logs for each of the largest number of routers.
constexpr std::size_t most_logs = 2000;

/// A command, the number of its arguments and its description.
struct command_rule
{
    const char* name;
    const char* arguments;
    std::size_t least;
    std::size_t most;
    const char* description;
};

constexpr command_rule commands[] = {
    {"contract list", "", 0, 0, "contracts in force on the router"},
    {"contract show", "CUSTOMER", 1, 1, "one contract; --document prints the document alone, for editing"},
    {"contract diff", "[CUSTOMER]", 0, 1, "--file F: what applying F changes; or --from A --to B"},
    {"contract apply", "", 0, 0, "--file F [--expected-version N] [--wait-ms T]"},
    {"contract history", "CUSTOMER", 1, 1, "all versions with author and time"},
    {"contract status", "CUSTOMER", 1, 1, "routers on which [--version N] is in force"},
    {"backend list", "", 0, 0, "backend servers [--service S]"},
    {"backend show", "ID", 1, 1, "one backend server with its slices"},
    {"backend join", "", 0, 0, "--file F: one backend server, or a file with a list of them"},
    {"backend leave", "ID", 1, 1, "drain: no new work, keys move away"},
    {"backend stop", "ID", 1, 1, "drain and end the process; needs --yes"},
    {"status", "", 0, 0, "routers, their revisions, contracts in force"},
    {"explain", "REQUEST [LOG...]", 1, most_logs,
     "what happened to a request, from the logs of edge routers (standard input without LOG); needs no "
     "router"},
    {"owner", "SERVICE KEY", 2, 2, "the backend server that owns a key"},
    {"trace", "REQUEST_ID", 1, 1, "spans of a request on all routers"},
    {"settings", "", 0, 0, "effective settings of the router"},
    {"metrics", "", 0, 0, "metrics in the Prometheus text format"},
    {"ready", "", 0, 0, "whether the router takes traffic"},
    {"live", "", 0, 0, "whether the router's process answers"},
};

options::options_description describe(invocation& result, std::string& routers, std::string& token_file)
{
    options::options_description all("Options");
    auto add = all.add_options();
    const auto number = [](std::optional<std::int64_t>& target) {
        return options::value<std::int64_t>()->notifier([&target](std::int64_t value) { target = value; });
    };
    const auto span = [](core::duration& target) {
        return options::value<std::int64_t>()->notifier([&target](std::int64_t value) { target = {value}; });
    };
    add("help,h", "print this text");
    add("router", options::value(&routers), "admin endpoints, ip:port[,ip:port...]; or BRIARFOLD_ROUTERS");
    add("token-file", options::value(&token_file), "file with the admin token; or BRIARFOLD_ADMIN_TOKEN");
    add("output", options::value<std::string>()->notifier([&result](const std::string& format) {
        if (format != "text" && format != "json")
        {
            throw usage_error("--output = " + format + ": allowed is text or json");
        }
        result.is_json = format == "json";
    }),
        "text (default) or json");
    add("timeout-ms", span(result.timeout), "longest wait for one answer (10000)");
    add("file", options::value(&result.file), "JSON file, or - for standard input");
    add("author", options::value(&result.author), "name kept with the change (the user's name)");
    add("operation-id", options::value(&result.operation_id), "repeats an earlier change (random)");
    add("expected-version", number(result.expected_version), "version that the edit replaces (the newest)");
    add("version", number(result.version), "contract version");
    add("from", number(result.from), "older version of a diff");
    add("to", number(result.to), "newer version of a diff");
    add("wait-ms", span(result.wait), "wait until the change is in force on all routers (0)");
    add("service", options::value(&result.service), "only this service");
    add("document", options::bool_switch(&result.is_document_only), "print the document alone");
    add("yes", options::bool_switch(&result.is_confirmed), "confirms a stop");
    return all;
}

std::string make_help(const options::options_description& all)
{
    std::ostringstream text;
    text << "Usage: briarfoldctl COMMAND [ARGUMENT...] [OPTION...]\n\nCommands:\n";
    for (const auto& command : commands)
    {
        const std::string head = std::string(command.name) + " " + command.arguments;
        constexpr std::size_t column = 28;
        text << "  " << head << std::string(head.size() < column ? column - head.size() : 1, ' ')
             << command.description << "\n";
    }
    text
        << "\n"
        << all
        << "\nExit codes: 0 done; 1 refused by the router; 2 wrong command line; 3 conflict with another "
           "operator;\n4 token refused; 5 no router answered or the outcome is unknown (repeat with the same "
           "--operation-id);\n6 not in force everywhere, or not ready.\n";
    return text.str();
}

const command_rule& find_command(std::vector<std::string>& words)
{
    for (const auto& command : commands)
    {
        const std::string name = command.name;
        const auto space = name.find(' ');
        const std::size_t count = space == std::string::npos ? 1 : 2;
        const bool is_match = words.size() >= count && words[0] == name.substr(0, space) &&
                              (count == 1 || words[1] == name.substr(space + 1));
        if (is_match)
        {
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
            return command;
        }
    }
    throw usage_error(words.empty() ? "a command is required; see --help"
                                    : "there is no command \"" + words[0] + "\"; see --help");
}

std::vector<http::endpoint> parse_routers(const std::string& text)
{
    std::vector<http::endpoint> result;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        try
        {
            result.push_back(http::parse_endpoint(part));
        }
        catch (const core::error& failure)
        {
            throw usage_error("--router = " + part + ": allowed is ip:port (" + failure.what() + ")");
        }
    }
    return result;
}

std::string read_token(const std::string& path)
{
    std::ifstream file(path);
    std::string token;
    if (!(file >> token))
    {
        throw usage_error("--token-file = " + path + ": the file has no token");
    }
    return token;
}

std::string find_or(const std::map<std::string, std::string>& environment, const std::string& name,
                    const std::string& fallback)
{
    const auto found = environment.find(name);
    return found == environment.end() ? fallback : found->second;
}

void read_command(invocation& result, std::vector<std::string> words)
{
    const auto& command = find_command(words);
    if (words.size() < command.least || words.size() > command.most)
    {
        throw usage_error("the command is: " + std::string(command.name) + " " + command.arguments);
    }
    result.command = command.name;
    result.arguments = std::move(words);
    const bool needs_file = result.command == "contract apply" || result.command == "backend join" ||
                            (result.command == "contract diff" && result.arguments.empty());
    if (needs_file && result.file.empty())
    {
        throw usage_error(result.command + " needs --file");
    }
    if (result.command == "contract apply" && !result.operation_id.empty() && !result.expected_version)
    {
        throw usage_error("contract apply --operation-id needs --expected-version, as printed by the first "
                          "attempt; the newest version may be another operator's");
    }
    if (result.command == "contract diff" && !result.arguments.empty() && (!result.from || !result.to))
    {
        throw usage_error("contract diff CUSTOMER needs --from and --to");
    }
    if (result.command == "backend stop" && !result.is_confirmed)
    {
        throw usage_error("backend stop needs --yes: for a backend server that cannot be reached it declares "
                          "that the process has ended, and its keys move without further proof");
    }
}

} // namespace

invocation parse_command_line(const std::vector<std::string>& words,
                              const std::map<std::string, std::string>& environment)
{
    invocation result;
    std::string routers = find_or(environment, "BRIARFOLD_ROUTERS", "");
    std::string token_file;
    const auto visible = describe(result, routers, token_file);
    options::options_description all;
    std::vector<std::string> positional;
    all.add(visible).add_options()("word", options::value(&positional));
    options::positional_options_description positions;
    positions.add("word", -1);
    try
    {
        options::variables_map values;
        options::store(options::command_line_parser(words).options(all).positional(positions).run(), values);
        options::notify(values);
        if (values.contains("help"))
        {
            result.help = make_help(visible);
            return result;
        }
    }
    catch (const options::error& failure)
    {
        throw usage_error(failure.what());
    }
    read_command(result, std::move(positional));
    result.routers = parse_routers(routers);
    if (result.routers.empty() && result.command != "explain")
    {
        throw usage_error("--router or BRIARFOLD_ROUTERS is required");
    }
    result.token =
        token_file.empty() ? find_or(environment, "BRIARFOLD_ADMIN_TOKEN", "") : read_token(token_file);
    result.author = result.author.empty() ? find_or(environment, "USER", "operator") : result.author;
    result.operation_id = result.operation_id.empty() ? core::make_id("op") : result.operation_id;
    return result;
}

} // namespace briarfold::ctl
