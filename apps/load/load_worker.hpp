/// One thread of the load generator.
#pragma once

#include "apps/load/key_choice.hpp"
#include "apps/load/load_options.hpp"
#include "apps/load/recorder.hpp"
#include "core/asio.hpp"
#include "history/writer.hpp"
#include "http/client_connection.hpp"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace briarfold::load {

/// Open loop: requests start at their intended times whatever became of earlier ones. When all connections
/// are busy, a request waits, and its latency counts from its intended start.
class load_worker
{
public:
    using clock = std::chrono::steady_clock;

    load_worker(const load_options& options, std::size_t index, clock::time_point start, recorder& results,
                history::writer& history);

    /// Returns after the last request has its outcome.
    void run();

private:
    struct job
    {
        std::chrono::microseconds intended{0};
        std::size_t target = 0;
        std::uint64_t key_hash = 0;
        std::string key;
        std::string customer;
        std::string request_id;
        bool is_idempotent = false;
    };

    /// One connection at a time to each target, used by one coroutine.
    struct lane
    {
        explicit lane(core::asio::io_context& context) : wake(context) {}
        core::asio::steady_timer wake;
    };

    core::asio::awaitable<void> schedule();
    core::asio::awaitable<void> serve(std::size_t target);
    core::asio::awaitable<void> perform(std::unique_ptr<http::client_connection>& connection, job item);
    void dispatch(std::chrono::microseconds intended);
    http::request make_request(const job& item) const;
    sample judge(const job& item, const http::response& answer) const;
    void record(const job& item, sample value, const http::response& answer);
    std::chrono::microseconds now() const;

    const load_options& options_;
    clock::time_point start_;
    recorder& results_;
    history::writer& history_;
    key_choice keys_;
    std::mt19937_64 random_;
    std::string body_;
    std::uint64_t remaining_;
    core::asio::io_context context_{1};
    std::vector<std::deque<job>> waiting_;
    std::vector<std::vector<std::shared_ptr<lane>>> idle_;
    std::vector<std::size_t> lanes_;
    bool is_done_ = false;
};

} // namespace briarfold::load
