/// A small deployment on loopback: edge routers as separate processes, and the store, the servers and the
/// clients inside this process.
#pragma once

#include "review/support/record.hpp"
#include "review/support/target_server.hpp"
#include "scenarios/child_process.hpp"
#include "standins/edge/metadata_store.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

struct service_settings
{
    std::string name;
    bool is_keyed = true;
};

struct router
{
    std::string name;
    http::endpoint frontend;
    http::endpoint readiness;
    std::filesystem::path settings_file;
    int starts = 0;
    std::unique_ptr<scenarios::child_process> process;
};

/// One attempt of a client.
struct client_call
{
    std::string attempt;
    bool is_safe = false;
    /// 0 when the connection ended without an answer.
    unsigned status = 0;
    std::string body;
    std::string frontend;
    core::time_point sent;
    core::time_point answered;
    core::duration deadline;
};

class rig
{
public:
    /// `folder` is that of the case; record.txt is written there.
    explicit rig(const std::filesystem::path& folder);
    ~rig();
    rig(const rig&) = delete;
    rig& operator=(const rig&) = delete;

    /// Whether the disruption is to be made: unless the variable TROUBLE is 0.
    bool has_trouble() const { return has_trouble_; }

    /// Writes the operator's configuration: for each service a route /SERVICE/read/ that is safe and one
    /// /SERVICE/write/ that is not.
    void put_config(int version, const std::vector<service_settings>& services);
    /// Starts a server and registers it.
    std::shared_ptr<target_server> add_server(target_settings settings);
    void put_registration(target_server& server, bool is_draining = false);
    void remove_registration(const target_server& server);
    /// Returns the router that the platform's store names as the leader.
    router& find_leader();
    /// Starts the routers with the command of the deploy file.
    void start_routers(std::size_t count);
    void start_router(router& item);

    void run_for(core::duration span);
    /// Runs until every router is ready and all keys of the keyed services are held; false after `limit`.
    bool await_ready(core::duration limit);
    /// Sends one request from a client of its own connection and records it. `frontend` is a router's number.
    core::asio::awaitable<void> call(std::size_t frontend, std::string service, bool is_safe,
                                     std::uint32_t key, core::duration deadline);
    /// Sends `rate` requests a second with random keys for `span`, to one router or to all in turn.
    void start_load(const std::string& service, bool is_safe, double rate, core::duration span,
                    std::uint32_t first_key = 0, std::uint32_t last_key = 65535,
                    std::optional<std::size_t> frontend = std::nullopt);

    /// Checks TWICE and REFUSED: requests that may not be repeated and ran twice, or ran and were refused.
    void check_requests();
    /// Checks LOST: requests sent to `frontend` from `since` on that ended without a server's answer, well
    /// before their deadline, while a server was at work on them.
    void check_lost(const std::string& frontend, core::time_point since);
    /// Starts the checks of OWNER, which last until the end.
    void watch_owners();
    /// Ends all routers, writes the result and returns the exit status.
    int finish();

    core::asio::io_context context;
    record log;
    standins::metadata_store store;
    std::vector<std::shared_ptr<target_server>> servers;
    std::vector<router> routers;
    std::vector<client_call> calls;

private:
    unsigned probe(const http::endpoint& peer);
    bool are_keys_held() const;
    void check_grant(const target_server& receiver, std::uint32_t first, std::uint32_t last);
    core::asio::awaitable<void> watch_overlaps();
    std::string make_settings(const router& item, unsigned short peer_port,
                              unsigned short metrics_port) const;

    std::filesystem::path folder_;
    std::filesystem::path temporary_;
    std::vector<std::shared_ptr<target_server>> watched_;
    std::size_t next_call_ = 0;
    bool has_trouble_ = true;
};

/// Runs a case and turns an exception into the exit status for a case that could not run.
int run_case(const std::function<int()>& body);

} // namespace briarfold::review
