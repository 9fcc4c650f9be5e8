#include "review/support/rig.hpp"

#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/client_connection.hpp"
#include "scenarios/ports.hpp"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace briarfold::review {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;

constexpr std::uint32_t key_count = 65536;
/// Two targets may hold the same keys for this long while grants are on their way.
constexpr core::duration max_overlap{500};
constexpr core::duration watch_interval{20};

/// Bounds of the site file tjl-dakar.
constexpr const char* bounds = R"(seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 60
recover-s = 15
hold-max-ms = 10000
thaw-ms = 300
)";

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw core::error("read file", path.string(), "not found");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the program that the deploy file starts.
std::string read_program()
{
    const auto text = read_file("deploy/system.toml");
    const std::string start = "run = \"";
    const auto first = text.find(start);
    const auto last = text.find('"', first + start.size());
    return text.substr(first + start.size(), last - first - start.size());
}

void replace(std::string& text, const std::string& from, const std::string& to)
{
    for (auto position = text.find(from); position != std::string::npos; position = text.find(from, position))
    {
        text.replace(position, from.size(), to);
        position += to.size();
    }
}

/// Otherwise a router would inherit the sockets of the servers, which would then stay open after a crash.
void keep_descriptors_from_children()
{
    constexpr int first_own_descriptor = 3;
    constexpr int descriptor_limit = 4096;
    for (int descriptor = first_own_descriptor; descriptor < descriptor_limit; ++descriptor)
    {
        if (const int flags = ::fcntl(descriptor, F_GETFD); flags >= 0)
        {
            ::fcntl(descriptor, F_SETFD, flags | FD_CLOEXEC);
        }
    }
}

bool is_refusal(unsigned status)
{
    constexpr unsigned refusals[] = {408, 421, 429, 503};
    return std::ranges::find(refusals, status) != std::end(refusals);
}

} // namespace

rig::rig(const std::filesystem::path& folder)
    : log(folder / "record.txt"), store(context.get_executor(), {"127.0.0.1", 0}), folder_(folder)
{
    auto name = (std::filesystem::temp_directory_path() / "briarfold-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw core::error("make folder", name, "not possible");
    }
    temporary_ = name;
    const char* const trouble = std::getenv("TROUBLE");
    has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
    log.write(has_trouble_ ? "with the disruption" : "without the disruption");
}

rig::~rig()
{
    routers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(temporary_, ignored);
}

void rig::put_config(int version, const std::vector<service_settings>& services)
{
    json backends = json::array();
    json paths = json::array();
    for (const auto& item : services)
    {
        backends.push_back({{"name", item.name},
                            {"health-path", "/healthz"},
                            {"max-conns", 120},
                            {"sharded", item.is_keyed},
                            {"warm-s", 0.0}});
        for (const bool is_safe : {true, false})
        {
            paths.push_back({{"name", item.name + (is_safe ? "-read" : "-write")},
                             {"prefix", "/" + item.name + (is_safe ? "/read/" : "/write/")},
                             {"type", is_safe ? "safe" : "unsafe"},
                             {"timeout-ms", 4000},
                             {"slo-ms", 1000},
                             {"priority", 1},
                             {"backend", item.name},
                             {"max-attempts", 2}});
        }
    }
    store.put("op", "config",
              {{"version", "r" + std::to_string(version)},
               {"backends", backends},
               {"hosts", {{{"hostname", "h.example"}, {"paths", paths}}}}});
    log.write("operator writes configuration r" + std::to_string(version));
}

std::shared_ptr<target_server> rig::add_server(target_settings settings)
{
    if (settings.port == 0)
    {
        // Not from the range of outgoing connections, so that the port can be used again after a crash.
        settings.port = scenarios::take_port();
    }
    auto server = std::make_shared<target_server>(context.get_executor(), std::move(settings), log);
    server->start();
    servers.push_back(server);
    put_registration(*server);
    return server;
}

void rig::put_registration(target_server& server, bool is_draining)
{
    store.put("servers", server.settings().id, server.registration(is_draining));
    log.write("server " + server.settings().id + " registers" + (is_draining ? " as draining" : ""));
}

void rig::remove_registration(const target_server& server)
{
    store.remove("servers", server.settings().id);
    log.write("registration of " + server.settings().id + " is removed");
}

std::string rig::make_settings(const router& item, unsigned short peer_port,
                               unsigned short metrics_port) const
{
    auto text = read_file("deploy/settings.toml");
    const auto section = text.find("{{#bounds}}");
    text.resize(section);
    text += bounds;
    replace(text, "{{node-name}}", item.name);
    replace(text, "{{zone}}", "a");
    replace(text, "{{listen.frontend}}", http::to_string(item.frontend));
    replace(text, "{{listen.readiness}}", http::to_string(item.readiness));
    replace(text, "{{ip}}:{{port-range.0}}", "127.0.0.1:" + std::to_string(peer_port));
    replace(text, "{{ip}}:{{port-range.1}}", "127.0.0.1:" + std::to_string(metrics_port));
    replace(text, "{{provider.address}}", "127.0.0.1:" + std::to_string(store.port()));
    replace(text, "{{limits.cpu-share}}", "0.5");
    return text;
}

void rig::start_router(router& item)
{
    keep_descriptors_from_children();
    ::setenv("BRIARFOLD_NODE_FILE", item.settings_file.c_str(), 1);
    item.process = std::make_unique<scenarios::child_process>(
        item.name, read_program(), std::vector<std::string>(),
        temporary_ / (item.name + "." + std::to_string(++item.starts) + ".log"));
    log.write("router " + item.name + " starts at " + http::to_string(item.frontend));
}

router& rig::find_leader()
{
    const auto row = store.get("briarfold", "leader");
    const auto name = row ? row->at("router").at(0).get<std::string>() : std::string();
    const auto position = std::ranges::find(routers, name, &router::name);
    if (position == routers.end())
    {
        throw core::error("find leader", name, "no such router");
    }
    return *position;
}

void rig::start_routers(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        router item;
        item.name = "router-" + std::to_string(i);
        item.frontend = {"127.0.0.1", scenarios::take_port()};
        item.readiness = {"127.0.0.1", scenarios::take_port()};
        item.settings_file = temporary_ / (item.name + ".toml");
        const auto peer_port = scenarios::take_port();
        const auto metrics_port = scenarios::take_port();
        std::ofstream(item.settings_file) << make_settings(item, peer_port, metrics_port);
        start_router(item);
        routers.push_back(std::move(item));
    }
}

void rig::run_for(core::duration span)
{
    context.restart();
    context.run_for(std::chrono::milliseconds(span.ms));
}

unsigned rig::probe(const http::endpoint& peer)
{
    const auto status = std::make_shared<unsigned>(0);
    asio::co_spawn(
        context,
        [status, peer]() -> asio::awaitable<void> {
            try
            {
                http::request message("GET", "/-/readyz");
                *status = (co_await http::fetch(peer, std::move(message), core::duration{200})).status;
            }
            catch (const core::error&)
            {
                *status = 0;
            }
        },
        asio::detached);
    run_for(core::duration{60});
    return *status;
}

bool rig::are_keys_held() const
{
    constexpr std::uint32_t step = 64;
    const auto now = clock::now();
    std::map<std::string, std::vector<const target_server*>> services;
    for (const auto& server : servers)
    {
        if (server->settings().is_keyed)
        {
            services[server->settings().service].push_back(server.get());
        }
    }
    return std::ranges::all_of(services, [&](const auto& service) {
        for (std::uint32_t key = 0; key < key_count; key += step)
        {
            if (std::ranges::none_of(service.second, [&](const auto* item) { return item->holds(key, now); }))
            {
                return false;
            }
        }
        return true;
    });
}

bool rig::await_ready(core::duration limit)
{
    const auto end = clock::now() + limit;
    while (clock::now() < end)
    {
        run_for(core::duration{100});
        const bool are_ready =
            std::ranges::all_of(routers, [&](const auto& item) { return probe(item.readiness) == 200; });
        if (are_ready && are_keys_held())
        {
            run_for(core::duration{1500});
            log.write("all routers are ready");
            return true;
        }
    }
    log.write("routers are not ready");
    return false;
}

asio::awaitable<void> rig::call(std::size_t frontend, std::string service, bool is_safe, std::uint32_t key,
                                core::duration deadline)
{
    client_call item;
    item.attempt = "c" + std::to_string(++next_call_);
    item.is_safe = is_safe;
    http::request message(is_safe ? "GET" : "POST", "/" + service + (is_safe ? "/read/x" : "/write/x"));
    message.headers.emplace_back("Host", "h.example");
    message.headers.emplace_back("Briarfold-Attempt-Id", item.attempt);
    message.headers.emplace_back("Briarfold-Deadline-Ms", std::to_string(deadline.ms));
    message.headers.emplace_back("Briarfold-Shard-Key", std::to_string(key));
    if (!is_safe)
    {
        message.body = "booking " + item.attempt;
    }
    item.frontend = routers.at(frontend).name;
    item.deadline = deadline;
    item.sent = clock::now();
    log.write("client sends " + item.attempt + " to " + routers.at(frontend).name + " for " + service +
              (is_safe ? " read" : " write") + " key " + std::to_string(key));
    try
    {
        constexpr core::duration answer_grace{1500};
        const auto answer =
            co_await http::fetch(routers.at(frontend).frontend, std::move(message), deadline + answer_grace);
        item.status = answer.status;
        item.body = answer.body;
    }
    catch (const core::error& failure)
    {
        log.write("client got no answer to " + item.attempt + ": " + failure.what());
    }
    item.answered = clock::now();
    log.write("client got " + std::to_string(item.status) + " for " + item.attempt + ": " + item.body);
    calls.push_back(std::move(item));
}

void rig::start_load(const std::string& service, bool is_safe, double rate, core::duration span,
                     std::uint32_t first_key, std::uint32_t last_key, std::optional<std::size_t> chosen)
{
    asio::co_spawn(
        context,
        [this, service, is_safe, rate, span, first_key, last_key, chosen]() -> asio::awaitable<void> {
            std::mt19937 random(7);
            std::uniform_int_distribution<std::uint32_t> keys(first_key, last_key);
            constexpr core::duration deadline{3000};
            constexpr double ms_per_s = 1000;
            const auto start = clock::now();
            for (int sent = 0; clock::now() - start < span; ++sent)
            {
                const auto frontend = chosen.value_or(static_cast<std::size_t>(sent) % routers.size());
                asio::co_spawn(context, call(frontend, service, is_safe, keys(random), deadline),
                               asio::detached);
                const auto next =
                    start + core::duration{static_cast<std::int64_t>((sent + 1) * ms_per_s / rate)};
                co_await core::pause_for(std::max(next - clock::now(), core::duration{1}));
            }
        },
        asio::detached);
}

void rig::check_requests()
{
    std::map<std::string, int> runs;
    for (const auto& server : servers)
    {
        for (const auto& [attempt, count] : server->runs())
        {
            runs[attempt] += count;
        }
    }
    std::set<std::string> known;
    for (const auto& item : calls)
    {
        known.insert(item.attempt);
        const auto count = runs.contains(item.attempt) ? runs.at(item.attempt) : 0;
        if (!item.is_safe && count > 1)
        {
            log.broken("TWICE", item.attempt + " ran " + std::to_string(count) + " times");
        }
        if (!item.is_safe && count > 0 && is_refusal(item.status))
        {
            log.broken("REFUSED", item.attempt + " was answered " + std::to_string(item.status) +
                                      " and ran " + std::to_string(count) + " times");
        }
        const bool is_foreign = item.status == 200 && !item.body.ends_with(" to " + item.attempt);
        if (is_foreign)
        {
            log.broken("MIXED", item.attempt + " got '" + item.body + "'");
        }
    }
    log.write("requests: " + std::to_string(calls.size()) + " sent, " + std::to_string(runs.size()) + " ran");
}

void rig::check_lost(const std::string& frontend, core::time_point since)
{
    constexpr double early_share = 0.7;
    constexpr unsigned first_failure = 500;
    for (const auto& item : calls)
    {
        const auto elapsed = item.answered - item.sent;
        const bool is_early =
            static_cast<double>(elapsed.ms) < early_share * static_cast<double>(item.deadline.ms);
        const bool is_failed = item.status == 0 || item.status >= first_failure;
        // A server's own failures say so in their body.
        const bool is_own_answer = !item.body.starts_with("answer of ");
        if (item.frontend != frontend || item.sent < since || !is_early || !is_failed || !is_own_answer)
        {
            continue;
        }
        for (const auto& server : servers)
        {
            const auto span = server->run_spans().find(item.attempt);
            if (span != server->run_spans().end() && span->second.begin < item.answered &&
                item.answered < span->second.end)
            {
                log.broken("LOST", item.attempt + " was ended with " + std::to_string(item.status) +
                                       " after " + std::to_string(elapsed.ms) + " of " +
                                       std::to_string(item.deadline.ms) + " ms, while " +
                                       server->settings().id + " was at work on it");
            }
        }
    }
}

void rig::check_grant(const target_server& receiver, std::uint32_t first, std::uint32_t last)
{
    const auto now = clock::now();
    for (const auto& other : servers)
    {
        const bool is_other = other.get() != &receiver && other->is_up() &&
                              other->settings().service == receiver.settings().service;
        if (!is_other)
        {
            continue;
        }
        for (const auto& [id, work] : other->running())
        {
            if (first <= work.key && work.key <= last && now < other->granted_until(work.key))
            {
                log.broken("OWNER", receiver.settings().id + " is given key " + std::to_string(work.key) +
                                        " on which " + other->settings().id + " still works at " +
                                        work.attempt + "; its hold would have run out in " +
                                        std::to_string((other->granted_until(work.key) - now).ms) + " ms");
            }
        }
    }
}

void rig::watch_owners()
{
    for (const auto& server : servers)
    {
        if (std::ranges::find(watched_, server) == watched_.end())
        {
            server->on_accepted_grant([this, raw = server.get()](std::uint32_t first, std::uint32_t last) {
                check_grant(*raw, first, last);
            });
        }
    }
    const bool is_first = watched_.empty();
    watched_ = servers;
    if (is_first)
    {
        asio::co_spawn(
            context, [this] { return watch_overlaps(); }, asio::detached);
    }
}

asio::awaitable<void> rig::watch_overlaps()
{
    // Since when two servers hold a common key, by their positions.
    std::map<std::pair<std::size_t, std::size_t>, core::time_point> since;
    std::set<std::pair<std::size_t, std::size_t>> reported;
    while (true)
    {
        co_await core::pause_for(watch_interval);
        const auto now = clock::now();
        for (std::size_t i = 0; i < watched_.size(); ++i)
        {
            for (std::size_t k = i + 1; k < watched_.size(); ++k)
            {
                const auto& a = *watched_[i];
                const auto& b = *watched_[k];
                if (a.settings().service != b.settings().service || !a.is_up() || !b.is_up())
                {
                    continue;
                }
                std::optional<std::uint32_t> common;
                for (std::uint32_t key = 0; key < key_count && !common; ++key)
                {
                    if (a.holds(key, now) && b.holds(key, now))
                    {
                        common = key;
                    }
                }
                const std::pair pair(i, k);
                if (!common)
                {
                    since.erase(pair);
                    reported.erase(pair);
                    continue;
                }
                const auto start = since.try_emplace(pair, now).first->second;
                if (now - start > max_overlap && reported.insert(pair).second)
                {
                    log.broken("OWNER", a.settings().id + " (token " + std::to_string(a.token(*common)) +
                                            ") and " + b.settings().id + " (token " +
                                            std::to_string(b.token(*common)) + ") of " +
                                            a.settings().service + " hold key " + std::to_string(*common) +
                                            " since " + std::to_string((now - start).ms) + " ms");
                }
            }
        }
    }
}

int rig::finish()
{
    for (auto& item : routers)
    {
        if (item.process->is_running())
        {
            item.process->kill();
        }
    }
    const bool keeps_logs = std::getenv("KEEP_LOGS") != nullptr;
    if (keeps_logs)
    {
        for (const auto& item : std::filesystem::directory_iterator(temporary_))
        {
            std::filesystem::copy_file(item.path(), folder_ / item.path().filename(),
                                       std::filesystem::copy_options::overwrite_existing);
        }
    }
    return log.finish() ? exit_broken : exit_held;
}

int run_case(const std::function<int()>& body)
{
    try
    {
        return body();
    }
    catch (const std::exception& failure)
    {
        std::cerr << "the case could not run: " << failure.what() << '\n';
        return exit_not_run;
    }
}

} // namespace briarfold::review
