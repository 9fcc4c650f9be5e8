#include "scenarios/deployment.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"
#include "scenarios/http_call.hpp"
#include "scenarios/ports.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <fstream>

namespace briarfold::scenarios {

namespace {

namespace asio = core::asio;

constexpr const char* loopback = "127.0.0.1";
constexpr const char* admin_token = "scenario-admin-token-000";
constexpr const char* router_token = "scenario-router-token-00";
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
/// Generous: the machine may be busy with other work.
constexpr core::duration start_limit{20000};
constexpr double contract_rate = 5000;

http::endpoint take_endpoint()
{
    return {loopback, take_port()};
}

bool accepts(const http::endpoint& address)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code code;
    socket.connect({asio::ip::make_address(address.address), address.port}, code);
    return !code;
}

} // namespace

deployment::deployment(deployment_spec spec, std::filesystem::path folder)
    : spec_(std::move(spec)), folder_(std::move(folder)),
      programs_(std::filesystem::read_symlink("/proc/self/exe").parent_path())
{
    plan();
    start_platform();
    start_relay();
    for (auto& backend : backends_)
    {
        const auto service = std::ranges::find(spec_.services, backend.service, &service_spec::name);
        start_backend(backend, *service);
    }
    std::ranges::for_each(routers_, [this](router_handle& router) { start_router(router); });
}

deployment::~deployment() = default;

void deployment::plan()
{
    platform_ = take_endpoint();
    const auto zone_of = [this](int number) { return spec_.zones[number % spec_.zones.size()]; };
    for (const auto& service : spec_.services)
    {
        for (int number = 0; number < service.backend_servers; ++number)
        {
            auto& backend = backends_.emplace_back();
            backend.id = service.id_prefix + std::to_string(number + 1);
            backend.service = service.name;
            backend.zone = zone_of(number);
            backend.listen = take_endpoint();
            if (spec_.relays_backends)
            {
                relayed_[backend.id] = take_endpoint();
                add_pair(backend.id, "tcp", relayed_[backend.id].port, backend.listen);
            }
        }
    }
    for (int number = 0; number < spec_.routers; ++number)
    {
        auto& router = routers_.emplace_back();
        router.name = "r" + std::to_string(number + 1);
        router.zone = zone_of(number);
        router.http = take_endpoint();
        router.admin = take_endpoint();
        router.peer_port = take_port();
        router.udp_port = take_port();
        if (spec_.relays_routers)
        {
            relayed_[router.name] = take_endpoint();
            add_pair(router.name + ".platform", "tcp", relayed_[router.name].port, platform_);
            for (const auto& [protocol, port] :
                 {std::pair("tcp", router.peer_port), std::pair("udp", router.udp_port)})
            {
                const auto advertised = take_port();
                add_pair(router.name + "." + protocol, protocol, advertised, {loopback, port});
                platform_arguments_.push_back("--map-router-port=" + std::to_string(port) + "=" +
                                              std::to_string(advertised));
            }
        }
    }
}

void deployment::add_pair(const std::string& name, const std::string& protocol, unsigned short listen,
                          const http::endpoint& target)
{
    relay_arguments_.push_back("--pair=" + name + "," + protocol + "," + loopback + ":" +
                               std::to_string(listen) + "," + http::to_string(target));
}

std::unique_ptr<child_process> deployment::start(const std::string& name, const std::string& program,
                                                 const std::vector<std::string>& arguments) const
{
    return std::make_unique<child_process>(name, programs_ / program, arguments, folder_ / (name + ".log"));
}

std::string deployment::history_file(const std::string& name) const
{
    return (folder_ / (name + ".history")).string();
}

void deployment::wait_listening(const http::endpoint& address)
{
    wait_until(http::to_string(address) + " listens", start_limit, [&] { return accepts(address); });
}

void deployment::start_platform()
{
    auto arguments = platform_arguments_;
    arguments.push_back("--listen=" + http::to_string(platform_));
    arguments.push_back("--history=" + history_file("platform"));
    platform_process_ = start("platform", "standin-platform", arguments);
    wait_listening(platform_);
}

void deployment::start_relay()
{
    if (relay_arguments_.empty())
    {
        return;
    }
    relay_control_ = take_endpoint();
    auto arguments = relay_arguments_;
    arguments.push_back("--control=" + http::to_string(relay_control_));
    relay_process_ = start("relay", "standin-relay", arguments);
    wait_listening(relay_control_);
}

void deployment::start_backend(backend_handle& backend, const service_spec& service)
{
    std::vector<std::string> arguments = {"--id=" + backend.id,
                                          "--service=" + service.name,
                                          "--zone=" + backend.zone,
                                          "--listen=" + http::to_string(backend.listen),
                                          "--register=" + http::to_string(platform_),
                                          "--slots=" + std::to_string(service.slots),
                                          "--connections=" + std::to_string(service.connections),
                                          "--latency-ms=" + std::to_string(service.latency.ms),
                                          std::string("--checks-grants=") +
                                              (service.checks_grants ? "true" : "false"),
                                          "--history=" + history_file(backend.id)};
    if (const auto relay = relayed_.find(backend.id); relay != relayed_.end())
    {
        arguments.push_back("--advertise=" + http::to_string(relay->second));
    }
    backend.process = start(backend.id, "standin-backend", arguments);
}

std::string deployment::settings_of(const router_handle& router) const
{
    const auto relay = relayed_.find(router.name);
    const auto& platform = relay == relayed_.end() ? platform_ : relay->second;
    std::string seeds;
    for (const auto& other : routers_)
    {
        seeds += (seeds.empty() ? "" : ", ") +
                 ("\"" + std::string(loopback) + ":" + std::to_string(other.peer_port) + "\"");
    }
    return "name_prefix = \"" + router.name + "\"\nzone = \"" + router.zone + "\"\nip = \"" + loopback +
           "\"\nhttp_port = " + std::to_string(router.http.port) +
           "\npeer_port = " + std::to_string(router.peer_port) +
           "\nudp_port = " + std::to_string(router.udp_port) +
           "\nadmin_port = " + std::to_string(router.admin.port) + "\nplatform = \"" +
           http::to_string(platform) + "\"\nseeds = [" + seeds + "]\nrouter_token = \"" + router_token +
           "\"\nadmin_token = \"" + admin_token + "\"\nworker_threads = 2\nhistory_file = \"" +
           history_file(router.name) + "\"\nlog_level = \"info\"\n";
}

void deployment::start_router(router_handle& router)
{
    const auto path = folder_ / (router.name + ".toml");
    std::ofstream(path) << settings_of(router);
    router.process = start(router.name, "briarfold-router", {"--config", path.string()});
}

void deployment::wait_ready()
{
    for (auto& router : routers_)
    {
        wait_until(router.name + " is ready", start_limit, [&] {
            if (!router.process->is_running())
            {
                throw core::error("start", router.name, "the process has ended");
            }
            return try_call(router.admin, {"GET", "/ready", {}, ""}).status == status_ok;
        });
    }
    wait_until("the contract is accepted", start_limit, [&] {
        const nlohmann::json body = {{"document", contract_document(contract_rate)},
                                     {"author", "scenario"},
                                     {"expected_version", 0},
                                     {"operation_id", "scenario-contract"}};
        const auto status = admin(routers_.front(), "PUT", "/v1/contracts/" + spec_.customer, body).status;
        return status == status_ok || status == status_conflict;
    });
}

router_handle& deployment::router(const std::string& name)
{
    return *std::ranges::find(routers_, name, &router_handle::name);
}

backend_handle& deployment::backend(const std::string& id)
{
    return *std::ranges::find(backends_, id, &backend_handle::id);
}

std::vector<std::filesystem::path> deployment::history_files() const
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder_))
    {
        if (entry.path().extension() == ".history")
        {
            files.push_back(entry.path());
        }
    }
    std::ranges::sort(files);
    return files;
}

nlohmann::json deployment::row_value(const std::string& id) const
{
    const auto answer = call(platform_, {"GET", "/table/rows?key=backend-server/" + id, {}, ""});
    if (answer.status != status_ok)
    {
        throw core::error("read row", id, "status " + std::to_string(answer.status));
    }
    return nlohmann::json::parse(answer.body).at("value");
}

router_handle& deployment::controller_of(const std::string& id)
{
    const std::string controller = row_value(id).at("controller");
    const auto found = std::ranges::find_if(
        routers_, [&](const router_handle& router) { return controller.starts_with(router.name + "-"); });
    if (found == routers_.end())
    {
        throw core::error("find controller", id, "the row names \"" + controller + "\"");
    }
    return *found;
}

http::response deployment::admin(const router_handle& router, const std::string& method,
                                 const std::string& target, const nlohmann::json& body) const
{
    return try_call(router.admin, {method,
                                   target,
                                   {{"Authorization", std::string("Bearer ") + admin_token},
                                    {"Content-Type", "application/json"}},
                                   body.is_null() ? "" : body.dump()});
}

nlohmann::json deployment::contract_document(double requests_per_s) const
{
    auto services = nlohmann::json::array();
    std::ranges::transform(spec_.services, std::back_inserter(services),
                           [](const service_spec& service) { return service.name; });
    return {{"customer", spec_.customer},
            {"services", services},
            {"requests_per_s", requests_per_s},
            {"burst", static_cast<std::int64_t>(2 * requests_per_s)},
            {"concurrency", 400},
            {"slot_share", 1},
            {"default_deadline_ms", 2000},
            {"max_deadline_ms", 5000},
            {"retry_budget", 0.2},
            {"idempotent_methods", {"GET", "HEAD", "PUT", "DELETE"}},
            {"weight_unavailable", spec_.name == "fairway" ? 10 : 2},
            {"weight_churn", spec_.name == "fairway" ? 1 : 10}};
}

void deployment::set_platform_fault(const nlohmann::json& body) const
{
    post(platform_, "/control/faults", body);
}

void deployment::set_backend_fault(const std::string& id, const nlohmann::json& body)
{
    post(backend(id).listen, "/control/faults", body);
}

void deployment::set_relay(const std::string& pattern, const nlohmann::json& body) const
{
    post(relay_control_, "/control/pairs/" + pattern, body);
}

nlohmann::json deployment::relay_pairs() const
{
    const auto answer = call(relay_control_, {"GET", "/control/pairs", {}, ""});
    return nlohmann::json::parse(answer.body).at("pairs");
}

} // namespace briarfold::scenarios
