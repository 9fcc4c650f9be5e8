/// Stand-in of a backend server that runs requests only for keys granted to it, with a record of what it did.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::standins {

/// One span in which a backend server held a key.
struct held_span
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::int64_t token = 0;
    core::time_point from;
    core::time_point until;
};

/// Used on one thread.
class keyed_backend
{
public:
    keyed_backend(const core::asio::any_io_executor& executor, const http::endpoint& local, std::string id,
                  std::string service, std::string zone, int slots, core::duration work);

    const std::string& id() const { return id_; }
    /// Its entry in the registry.
    nlohmann::json registration(bool is_draining = false) const;
    /// Ends as by a crash: connections are closed and nothing is accepted.
    void crash() { server_.reset(); }
    /// Loses the answer of each n-th request; 0 loses none.
    void lose_answers(int interval) { lose_interval_ = interval; }

    void set_work(core::duration work) { work_ = work; }

    /// Runs by attempt.
    const std::map<std::string, int>& runs() const { return runs_; }
    /// All spans in which it held keys, ended ones too.
    std::vector<held_span> spans() const;
    int most_running() const { return most_running_; }
    int misdirected() const { return misdirected_; }

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
    core::duration work_;
    std::int64_t born_ms_;
    http::endpoint address_;
    std::vector<held_span> held_;
    std::vector<held_span> ended_;
    std::map<std::string, int> runs_;
    int running_ = 0;
    int most_running_ = 0;
    int misdirected_ = 0;
    int lose_interval_ = 0;
    int answers_ = 0;
    std::optional<http::server> server_;
};

} // namespace briarfold::standins
