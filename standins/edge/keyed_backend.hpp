/// Stand-in for a backend server that runs requests only for keys granted to it and records its runs.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/server.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::standins {

/// Keys that a backend server held, and the time span in which it held them.
struct held_span
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::int64_t token = 0;
    core::time_point from;
    core::time_point until;
};

/// A request that reached a backend server, whether it ran or not.
struct arrival
{
    std::string attempt;
    core::time_point at;
};

/// Not thread-safe: all calls on the executor's thread.
class keyed_backend
{
public:
    keyed_backend(const core::asio::any_io_executor& executor, const http::endpoint& local, std::string id,
                  std::string service, std::string zone, int slots, core::duration work_duration);

    const std::string& id() const { return id_; }
    const http::endpoint& address() const { return address_; }
    /// Returns its next entry in the registry.
    nlohmann::json registration(bool is_draining = false);
    /// Ends as if it crashed: closes its connections, accepts no new ones and holds no keys any more.
    void crash();
    /// Loses the answer to every `interval`-th request; 0 loses none.
    void lose_answers(int interval) { answer_loss_interval_ = interval; }
    /// Leaves the signature out of every `interval`-th answer, so that it does not count; 0 spoils none.
    void spoil_answers(int interval) { answer_spoil_interval_ = interval; }

    /// Says in all answers from now on that it leaves; the registry does not show it.
    void announce_leaving() { is_leaving_ = true; }
    /// Answers all grants and releases with this status from now on and does nothing else; none with 0.
    void refuse_control_calls(unsigned status) { control_status_ = status; }
    /// Calls `hook` whenever keys are released.
    void on_release(std::function<void()> hook) { on_release_ = std::move(hook); }
    /// Answers of requests that ran have at least this many bytes.
    void set_answer_bytes(std::size_t bytes) { answer_bytes_ = bytes; }
    void set_work_duration(core::duration work_duration) { work_duration_ = work_duration; }

    /// Returns the number of runs by attempt id.
    const std::map<std::string, int>& runs() const { return runs_; }
    const std::vector<arrival>& arrivals() const { return arrivals_; }
    const std::string& service() const { return service_; }
    const std::string& zone() const { return zone_; }
    /// Returns all spans in which it held keys, including ended ones.
    std::vector<held_span> spans() const;
    int max_running() const { return max_running_; }
    int misdirected_count() const { return misdirected_count_; }
    /// Returns the paths of the calls that each connection carried, by the caller's port.
    const std::map<unsigned short, std::vector<std::string>>& calls_by_port() const { return calls_by_port_; }

private:
    core::asio::awaitable<http::response> handle(http::request message);
    http::response grant(const nlohmann::json& document);
    core::asio::awaitable<http::response> release(nlohmann::json document);
    core::asio::awaitable<http::response> serve(const http::request& message);
    bool holds(std::uint32_t key) const;

    core::asio::any_io_executor executor_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    core::duration work_duration_;
    std::int64_t start_time_ms_;
    http::endpoint address_;
    std::vector<held_span> held_;
    std::vector<held_span> ended_;
    std::map<std::string, int> runs_;
    std::vector<arrival> arrivals_;
    std::map<unsigned short, std::vector<std::string>> calls_by_port_;
    int running_ = 0;
    int max_running_ = 0;
    int misdirected_count_ = 0;
    int answer_loss_interval_ = 0;
    int answer_spoil_interval_ = 0;
    int answers_ = 0;
    std::size_t answer_bytes_ = 0;
    int registrations_ = 0;
    bool is_leaving_ = false;
    std::optional<unsigned> control_status_;
    std::function<void()> on_release_;
    std::optional<http::server> server_;
};

} // namespace briarfold::standins
