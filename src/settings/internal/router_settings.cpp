#include "settings/router_settings.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"
#include "document/field_reader.hpp"
#include "settings/internal/toml_document.hpp"

#include <algorithm>
#include <sstream>

namespace briarfold::settings {

namespace {

constexpr int highest_port = 65535;
constexpr int most_threads = 256;
constexpr std::size_t longest_name = 40;
constexpr std::size_t longest_path = 4096;
/// A shorter token can be guessed over the network.
constexpr std::size_t shortest_token = 16;
constexpr std::size_t longest_token = 256;
constexpr const char* mask = "********";

bool is_ip(const std::string& text)
{
    boost::system::error_code code;
    core::asio::ip::make_address(text, code);
    return !code;
}

unsigned short read_port(document::field_reader& reader, const std::string& name, unsigned short fallback)
{
    return static_cast<unsigned short>(reader.integer(name, 0, highest_port, fallback));
}

void read_endpoints(document::field_reader& reader, router_settings& result)
{
    const auto platform = reader.text("platform", internal::endpoint_rule());
    if (!platform.empty())
    {
        result.platform = http::parse_endpoint(platform);
    }
    const auto seeds = reader.texts("seeds", internal::endpoint_rule(), 0, std::vector<std::string>{});
    std::ranges::transform(seeds, std::back_inserter(result.seeds), http::parse_endpoint);
}

void read_files(document::field_reader& reader, router_settings& result)
{
    const auto path_rule = document::any_text_rule(longest_path);
    result.history_file = reader.text("history_file", path_rule, "");
    result.trace_file = reader.text("trace_file", path_rule, "");
    result.log_format = reader.text("log_format", document::choice_rule({"text", "json"}), result.log_format);
    result.log_level =
        reader.text("log_level", document::choice_rule({"debug", "info", "warn", "error"}), result.log_level);
}

void check_ports(document::field_reader& reader, const router_settings& value)
{
    // UDP may share a number with TCP; the three TCP ports may not share one.
    const auto report = [&reader](const std::string& name, unsigned short port) {
        reader.add_error(name, std::to_string(port), "a TCP port different from those above it, or 0");
    };
    if (value.peer_port != 0 && value.peer_port == value.http_port)
    {
        report("peer_port", value.peer_port);
    }
    if (value.admin_port != 0 && (value.admin_port == value.http_port || value.admin_port == value.peer_port))
    {
        report("admin_port", value.admin_port);
    }
}

} // namespace

router_settings parse_settings(const std::string& toml_text, const std::string& name)
{
    const auto object = internal::parse_toml(toml_text, name);
    document::field_reader reader(object);
    router_settings result;
    const auto name_rule = document::name_rule(longest_name);
    result.name_prefix = reader.text("name_prefix", name_rule, result.name_prefix);
    result.zone = reader.text("zone", name_rule);
    result.ip = reader.text("ip", {"an IP address such as \"10.0.0.1\"", is_ip});
    result.http_port = read_port(reader, "http_port", result.http_port);
    result.peer_port = read_port(reader, "peer_port", result.peer_port);
    result.udp_port = read_port(reader, "udp_port", result.udp_port);
    result.admin_port = read_port(reader, "admin_port", result.admin_port);
    read_endpoints(reader, result);
    const auto token_rule = document::token_rule(shortest_token, longest_token);
    result.router_token = reader.secret("router_token", token_rule);
    result.admin_token = reader.secret("admin_token", token_rule);
    if (!result.admin_token.empty() && result.admin_token == result.router_token)
    {
        reader.add_error("admin_token", "(not shown)", "a token different from router_token");
    }
    result.worker_threads = static_cast<int>(reader.integer("worker_threads", 0, most_threads, 0));
    read_files(reader, result);
    check_ports(reader, result);
    reader.finish(name);
    return result;
}

router_settings load_settings(const std::string& path)
{
    return parse_settings(internal::read_file(path), path);
}

nlohmann::json to_json(const router_settings& value)
{
    auto seeds = nlohmann::json::array();
    std::ranges::transform(value.seeds, std::back_inserter(seeds),
                           [](const http::endpoint& seed) { return to_string(seed); });
    return {{"name_prefix", value.name_prefix},
            {"zone", value.zone},
            {"ip", value.ip},
            {"http_port", value.http_port},
            {"peer_port", value.peer_port},
            {"udp_port", value.udp_port},
            {"admin_port", value.admin_port},
            {"platform", to_string(value.platform)},
            {"seeds", seeds},
            {"router_token", mask},
            {"admin_token", mask},
            {"worker_threads", value.worker_threads},
            {"history_file", value.history_file},
            {"trace_file", value.trace_file},
            {"log_format", value.log_format},
            {"log_level", value.log_level}};
}

std::string to_text(const router_settings& value)
{
    std::string lines;
    const auto object = to_json(value);
    // JSON texts, numbers and flat lists are valid TOML values.
    for (const auto& [name, item] : object.items())
    {
        lines += name + " = " + item.dump() + "\n";
    }
    return lines;
}

} // namespace briarfold::settings
