/// The processes of one scenario: platform, relay, backend servers and routers on loopback ports.
#pragma once

#include "http/http_types.hpp"
#include "scenarios/child_process.hpp"
#include "scenarios/deployment_spec.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briarfold::scenarios {

struct router_handle
{
    /// The instance id of the router is this name, "-" and 16 hex digits.
    std::string name;
    std::string zone;
    http::endpoint http;
    http::endpoint admin;
    unsigned short peer_port = 0;
    unsigned short udp_port = 0;
    std::unique_ptr<child_process> process;
};

struct backend_handle
{
    std::string id;
    std::string service;
    std::string zone;
    /// Where the process listens; its row may name a relay instead.
    http::endpoint listen;
    std::unique_ptr<child_process> process;
};

/// Ends all processes when it is destroyed. Not thread-safe, except where said.
class deployment
{
public:
    /// Starts everything; programs are looked for beside this program. Files go to `folder`.
    deployment(deployment_spec spec, std::filesystem::path folder);
    ~deployment();

    /// Returns when all routers are ready and the contract is in force. Throws core::timeout_error.
    void wait_ready();

    const deployment_spec& spec() const { return spec_; }
    const http::endpoint& platform() const { return platform_; }
    std::vector<router_handle>& routers() { return routers_; }
    std::vector<backend_handle>& backends() { return backends_; }
    router_handle& router(const std::string& name);
    backend_handle& backend(const std::string& id);
    std::vector<std::filesystem::path> history_files() const;

    /// The table row `backend-server/<id>` as the platform holds it.
    nlohmann::json row_value(const std::string& id) const;
    /// The router that the row names as controller. Throws core::error when there is none.
    router_handle& controller_of(const std::string& id);

    /// An order to a router's admin API.
    http::response admin(const router_handle& router, const std::string& method, const std::string& target,
                         const nlohmann::json& body = nullptr) const;
    /// A valid contract of the customer, with the given rate.
    nlohmann::json contract_document(double requests_per_s) const;

    void set_platform_fault(const nlohmann::json& body) const;
    void set_backend_fault(const std::string& id, const nlohmann::json& body);
    /// `pattern` is the name of a pair, or a prefix and "*".
    void set_relay(const std::string& pattern, const nlohmann::json& body) const;
    nlohmann::json relay_pairs() const;

private:
    void plan();
    void start_platform();
    void start_relay();
    void start_backend(backend_handle& backend, const service_spec& service);
    void start_router(router_handle& router);
    std::string settings_of(const router_handle& router) const;
    std::unique_ptr<child_process> start(const std::string& name, const std::string& program,
                                         const std::vector<std::string>& arguments) const;
    /// Waits until something listens.
    static void wait_listening(const http::endpoint& address);
    std::string history_file(const std::string& name) const;
    void add_pair(const std::string& name, const std::string& protocol, unsigned short listen,
                  const http::endpoint& target);

    deployment_spec spec_;
    std::filesystem::path folder_;
    std::filesystem::path programs_;
    http::endpoint platform_;
    http::endpoint relay_control_;
    std::vector<std::string> relay_arguments_;
    std::vector<std::string> platform_arguments_;
    /// Where each router or backend server is reached, when that is a relay.
    std::map<std::string, http::endpoint> relayed_;
    std::unique_ptr<child_process> platform_process_;
    std::unique_ptr<child_process> relay_process_;
    std::vector<backend_handle> backends_;
    std::vector<router_handle> routers_;
};

} // namespace briarfold::scenarios
