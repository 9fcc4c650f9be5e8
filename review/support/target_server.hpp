/// Stand-in for a target of the users' platform: grants, slots, a queue, deadlines, and the answers of a
/// server in trouble.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"
#include "review/support/record.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarfold::review {

struct target_settings
{
    std::string id;
    std::string service;
    std::string zone = "a";
    int slots = 2;
    /// Requests that wait for a slot; further ones are rejected.
    int queue = 8;
    bool is_keyed = true;
    core::duration work{20};
    /// Work of each tenth request, when longer.
    core::duration long_work{0};
    /// 0 takes a free port.
    unsigned short port = 0;
};

enum class call_type
{
    request,
    grant,
    release
};

/// Behaviour of a server in trouble. Empty functions stand for a sound server.
struct target_trouble
{
    /// Whether this answer is sent a second time, late, where the connection's next answer is expected.
    std::function<bool(call_type type, unsigned status)> repeats_late;
    /// Whether this request is rejected without being run.
    std::function<bool()> sheds;
};

/// A request at work.
struct running_work
{
    std::string attempt;
    std::uint32_t key = 0;
};

/// Time of one run.
struct run_span
{
    core::time_point begin;
    core::time_point end;
};

/// Not thread-safe: all calls on the executor's thread.
class target_server : public std::enable_shared_from_this<target_server>
{
public:
    target_server(core::asio::any_io_executor executor, target_settings settings, record& log);

    /// Listens and serves until `crash`.
    void start();
    /// Ends as a killed process does: closes all its connections and its port.
    void crash();
    bool is_up() const { return is_up_; }

    const target_settings& settings() const { return settings_; }
    const http::endpoint& address() const { return address_; }
    /// Returns its entry in the registry.
    nlohmann::json registration(bool is_draining = false);
    void set_trouble(target_trouble value) { trouble_ = std::move(value); }
    /// Called with the range of each grant that was accepted.
    void on_accepted_grant(std::function<void(std::uint32_t first, std::uint32_t last)> callback)
    {
        on_accepted_grant_ = std::move(callback);
    }

    bool holds(std::uint32_t key, core::time_point now) const;
    /// Returns when the last grant of the key runs out, whether or not the key was released.
    core::time_point granted_until(std::uint32_t key) const { return keys_[key].granted_until; }
    std::int64_t token(std::uint32_t key) const { return keys_[key].token; }
    const std::map<std::uint64_t, running_work>& running() const { return running_; }
    /// Returns the number of runs by attempt id.
    const std::map<std::string, int>& runs() const { return runs_; }
    /// Returns the time of the latest run by attempt id.
    const std::map<std::string, run_span>& run_spans() const { return run_spans_; }
    int shed_count() const { return shed_count_; }
    int late_copies() const { return late_copies_; }
    int grants() const { return grants_; }

private:
    struct key_state
    {
        std::int64_t highest_token = 0;
        std::int64_t token = 0;
        core::time_point held_until;
        core::time_point granted_until;
    };

    struct answer
    {
        call_type type = call_type::request;
        http::response message;
    };

    core::asio::awaitable<void> accept();
    core::asio::awaitable<void> serve(std::shared_ptr<core::asio::ip::tcp::socket> socket);
    core::asio::awaitable<answer> handle(http::request message);
    http::response grant(const nlohmann::json& document, core::time_point arrived);
    core::asio::awaitable<http::response> release(nlohmann::json document);
    core::asio::awaitable<http::response> run(http::request message);
    core::asio::awaitable<void> pause(core::duration span);
    http::response reject(unsigned status, const std::string& attempt, const char* reason);

    core::asio::any_io_executor executor_;
    target_settings settings_;
    record& log_;
    http::endpoint address_;
    std::optional<core::asio::ip::tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<core::asio::ip::tcp::socket>> sockets_;
    target_trouble trouble_;
    std::function<void(std::uint32_t, std::uint32_t)> on_accepted_grant_;
    std::vector<key_state> keys_;
    std::map<std::uint64_t, running_work> running_;
    std::map<std::string, int> runs_;
    std::map<std::string, run_span> run_spans_;
    std::uint64_t next_run_ = 0;
    int waiting_ = 0;
    int shed_count_ = 0;
    int late_copies_ = 0;
    int grants_ = 0;
    int handovers_ = 0;
    std::int64_t start_time_ms_ = 0;
    std::int64_t sequence_ = 0;
    bool is_up_ = false;
};

} // namespace briarfold::review
