/// A play of router processes: random activities that overlap for a while, such as stops and kills.
#pragma once

#include "standins/edge/tests/process_cluster.hpp"

namespace briarfold::standins {

/// Random choices of one activity, which do not depend on the timing of the others.
class choices
{
public:
    choices(unsigned seed, unsigned activity) : random_(seed * activities + activity) {}

    core::duration span(std::int64_t least_ms, std::int64_t most_ms)
    {
        return {std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(random_)};
    }
    std::size_t index(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

private:
    static constexpr unsigned activities = 8;
    std::mt19937 random_;
};

class process_play
{
public:
    process_play(std::size_t routers, std::size_t backends, const std::filesystem::path& folder)
        : cluster(routers, backends, folder)
    {}

    process_cluster cluster;
    int stops = 0;
    int kills = 0;

protected:
    static constexpr core::duration poll_interval{20};

    void start(core::asio::awaitable<void> activity)
    {
        core::asio::co_spawn(cluster.context, std::move(activity), core::asio::detached);
    }

    void end_after(core::duration length) { end_ = core::clock::now() + length; }
    bool is_over() const { return core::clock::now() >= end_; }

    bool can_stop(std::size_t router) const
    {
        constexpr std::size_t most_restarting = 3;
        return !restarting_.contains(router) && restarting_.size() < most_restarting &&
               cluster.has_started(router);
    }

    void check_running(std::size_t router)
    {
        BOOST_CHECK_MESSAGE(cluster.processes[router]->is_running(),
                            cluster.names[router] << " ended by itself");
    }

    /// Starts a router again that was sent a signal.
    core::asio::awaitable<void> restart(std::size_t router, core::duration pause)
    {
        auto& process = *cluster.processes[router];
        const auto limit = core::clock::now() + cluster.settings[router].grace;
        restarting_.insert(router);
        while (process.is_running())
        {
            if (core::clock::now() >= limit)
            {
                process.kill();
            }
            co_await core::pause_for(poll_interval);
        }
        const auto status = process.exit_status();
        BOOST_CHECK_MESSAGE(status == 0 || status == -SIGKILL,
                            cluster.names[router] << " ended with status " << status);
        co_await core::pause_for(pause);
        cluster.start_process(router);
        restarting_.erase(router);
    }

    void stop_router(std::size_t router, core::duration pause)
    {
        if (can_stop(router))
        {
            check_running(router);
            cluster.processes[router]->terminate();
            ++stops;
            start(restart(router, pause));
        }
    }

    core::asio::awaitable<void> kill_router(std::size_t router, core::duration pause)
    {
        if (can_stop(router))
        {
            check_running(router);
            cluster.processes[router]->kill();
            ++kills;
            co_await restart(router, pause);
        }
    }

    /// Sends one request and records its result.
    core::asio::awaitable<void> send(http::endpoint frontend, http::request message, call_record record)
    {
        constexpr core::duration client_timeout{3000};
        record.sent = core::clock::now();
        try
        {
            const auto answer = co_await http::fetch(frontend, std::move(message), client_timeout);
            record.status = answer.status;
            record.body = answer.body;
        }
        catch (const core::error&)
        {
            record.status = 0;
        }
        record.elapsed = core::clock::now() - record.sent;
        cluster.records.push_back(record);
    }

private:
    core::time_point end_;
    std::set<std::size_t> restarting_;
};

/// Folder for the logs of a play: that of the environment's variable, else a new temporary one.
class play_folder
{
public:
    play_folder()
    {
        const auto* const chosen = std::getenv("ROUTER_PLAY_LOGS");
        is_temporary_ = chosen == nullptr;
        auto scratch = (std::filesystem::temp_directory_path() / "router-play-XXXXXX").string();
        path_ = is_temporary_ ? std::filesystem::path(::mkdtemp(scratch.data())) : chosen;
    }
    ~play_folder()
    {
        std::error_code ignored;
        if (is_temporary_)
        {
            std::filesystem::remove_all(path_, ignored);
        }
    }
    play_folder(const play_folder&) = delete;
    play_folder& operator=(const play_folder&) = delete;

    std::filesystem::path of_seed(unsigned seed) const { return path_ / ("seed-" + std::to_string(seed)); }

private:
    bool is_temporary_ = false;
    std::filesystem::path path_;
};

/// Calls `play` with each seed that the environment asks for, by default with `seed` alone.
template <typename Play>
void play_seeds(unsigned seed, const Play& play)
{
    const auto first =
        static_cast<unsigned>(std::stoul(read_variable("ROUTER_PLAY_SEED", std::to_string(seed))));
    const auto count = static_cast<unsigned>(std::stoul(read_variable("ROUTER_PLAY_COUNT", "1")));
    const play_folder folder;
    for (auto next = first; next < first + count; ++next)
    {
        BOOST_TEST_CONTEXT("seed " << next)
        {
            play(next, folder.of_seed(next));
        }
    }
}

} // namespace briarfold::standins
