#include "standins/edge/tests/endless_backend.hpp"
#include "standins/edge/tests/process_play.hpp"

#include <boost/test/unit_test.hpp>

#include <ranges>

using namespace briarfold;
using namespace briarfold::standins;
namespace asio = core::asio;

namespace {

constexpr core::duration client_timeout{3000};

/// A request whose connection ended without its answer.
struct ended_request
{
    std::string attempt;
    std::string router;
    std::string reason;
    core::duration elapsed;
};

/// Clients that use each connection until it ends.
class kept_connection_play : public process_play
{
public:
    kept_connection_play(unsigned seed, std::size_t routers, const std::filesystem::path& folder)
        : process_play(routers, 8, folder), seed_(seed)
    {
        constexpr std::size_t plain_backends = 4;
        for (std::size_t i = 0; i < plain_backends; ++i)
        {
            cluster.register_backend(cluster.add_backend("plain"));
        }
        put_config({});
    }

    std::vector<ended_request> ended;

    /// Requests that a backend server got, or that waited for longer than a connection takes to be reset, and
    /// that ended without an answer.
    std::size_t count_lost() const
    {
        constexpr core::duration loss_slack{200};
        std::set<std::string> arrived;
        for (const auto& item : cluster.backends)
        {
            std::ranges::transform(item->arrivals(), std::inserter(arrived, arrived.end()),
                                   [](const arrival& entry) { return entry.attempt; });
        }
        return static_cast<std::size_t>(std::ranges::count_if(ended, [&](const ended_request& item) {
            const bool is_lost = arrived.contains(item.attempt) || item.elapsed > loss_slack;
            BOOST_CHECK_MESSAGE(!is_lost, item.attempt << " to " << item.router << " ended after "
                                                       << item.elapsed.ms << " ms: " << item.reason);
            return is_lost;
        }));
    }

protected:
    unsigned seed() const { return seed_; }

    /// Parts of the configuration that may change while requests are in flight.
    struct changes
    {
        int timeout_ms = 2000;
        int idle_ms = 60000;
        bool has_extra_route = false;
    };

    void put_config(const changes& values)
    {
        const auto make_path = [&values](const std::string& service, bool is_safe) -> nlohmann::json {
            const auto name = service + (is_safe ? "-read" : "-write");
            return {{"name", name},
                    {"prefix", "/" + name + "/"},
                    {"type", is_safe ? "safe" : "unsafe"},
                    {"timeout-ms", values.timeout_ms},
                    {"slo-ms", 500},
                    {"priority", 1},
                    {"backend", service},
                    {"max-attempts", 2}};
        };
        nlohmann::json paths = {make_path("keyed", true), make_path("keyed", false), make_path("plain", true),
                                make_path("plain", false)};
        if (values.has_extra_route)
        {
            auto extra = make_path("plain", true);
            extra["name"] = "extra";
            extra["prefix"] = "/extra/";
            paths.push_back(extra);
        }
        cluster.store.put("op", "config",
                          {{"version", "r" + std::to_string(++version_)},
                           {"limits",
                            {{"max-header-bytes", 16384},
                             {"max-body-bytes", 1048576},
                             {"header-timeout-ms", 5000},
                             {"idle-timeout-ms", values.idle_ms}}},
                           {"backends",
                            {{{"name", "keyed"}, {"sharded", true}, {"warm-s", 1.0}},
                             {{"name", "plain"}, {"sharded", false}}}},
                           {"hosts", {{{"hostname", "h.example"}, {"paths", paths}}}}});
    }

    void start_clients(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            start(run_client(i, std::mt19937(seed_ * 1000 + static_cast<unsigned>(i))));
        }
    }

    virtual http::request make_message(const call_record& record, std::mt19937& random)
    {
        const auto name = record.service + (record.is_idempotent ? "-read" : "-write");
        http::request message(record.is_idempotent ? "GET" : "POST", "/" + name + "/x");
        message.headers.emplace_back("Host", "h.example");
        message.headers.emplace_back("Briarfold-Attempt-Id", record.attempt);
        message.headers.emplace_back("Briarfold-Deadline-Ms", "2000");
        if (record.service == "keyed")
        {
            message.headers.emplace_back("Briarfold-Shard-Key",
                                         std::to_string(random() % keyspace::key_count));
        }
        if (!record.is_idempotent)
        {
            constexpr std::size_t most_body_bytes = 20000;
            message.body = std::string(random() % most_body_bytes, 'b');
        }
        return message;
    }

private:
    asio::awaitable<void> run_client(std::size_t number, std::mt19937 random)
    {
        const auto span = [&random](unsigned most_ms) {
            return core::duration{static_cast<std::int64_t>(random() % most_ms)};
        };
        std::size_t sent = 0;
        while (!is_over())
        {
            const auto router = random() % cluster.settings.size();
            http::client_connection connection(cluster.context.get_executor(),
                                               cluster.settings[router].frontend);
            if (!co_await connect(connection))
            {
                co_await core::pause_for(span(50));
                continue;
            }
            while (connection.is_open() && !is_over())
            {
                call_record record;
                record.attempt = "c" + std::to_string(number) + "-" + std::to_string(++sent);
                record.is_idempotent = random() % 2 == 0;
                record.service = random() % 2 == 0 ? "keyed" : "plain";
                auto message = make_message(record, random);
                co_await exchange(connection, cluster.names[router], std::move(message), std::move(record));
                co_await core::pause_for(span(60));
            }
        }
    }

    static asio::awaitable<bool> connect(http::client_connection& connection)
    {
        constexpr core::duration connect_timeout{500};
        try
        {
            co_await connection.connect(connect_timeout);
            co_return true;
        }
        catch (const core::error&)
        {
            // A router that stopped; the client takes another one.
            co_return false;
        }
    }

    asio::awaitable<void> exchange(http::client_connection& connection, std::string router,
                                   http::request message, call_record record)
    {
        record.sent = core::clock::now();
        std::string reason;
        try
        {
            const auto answer = co_await connection.exchange(message, client_timeout);
            record.status = answer.status;
            record.body = answer.body;
        }
        catch (const core::error& failure)
        {
            reason = failure.what();
        }
        record.elapsed = core::clock::now() - record.sent;
        if (!reason.empty())
        {
            ended.push_back({record.attempt, std::move(router), reason, record.elapsed});
        }
        cluster.records.push_back(std::move(record));
    }

    unsigned seed_;
    int version_ = 1;
};

/// Stops, reloads and configurations in series that overlap. Nothing fails.
class planned_work_play : public kept_connection_play
{
public:
    using kept_connection_play::kept_connection_play;

    void run()
    {
        constexpr core::duration play_length{20000};
        end_after(play_length);
        prepare_backends();
        constexpr std::size_t clients = 40;
        start_clients(clients);
        start(stop_routers(choices(seed(), 0)));
        start(reload_routers(choices(seed(), 1)));
        start(change_configuration(choices(seed(), 2)));
        constexpr core::duration rest{7000};
        cluster.run_for((play_length + rest).ms);
    }

    int reloads = 0;
    int configurations = 0;

private:
    /// Work of 20 to 300 ms; every third backend server sends large answers.
    void prepare_backends()
    {
        constexpr core::duration step{70};
        constexpr int kinds = 5;
        constexpr std::size_t large_answer = 150000;
        int number = 0;
        for (const auto& item : cluster.backends)
        {
            item->set_work_duration(core::duration{20} + step * (number % kinds));
            item->set_answer_bytes(number % 3 == 0 ? large_answer : 0);
            ++number;
        }
    }

    asio::awaitable<void> stop_routers(choices random)
    {
        std::size_t router = 0;
        while (!is_over())
        {
            co_await core::pause_for(random.span(200, 1500));
            for (int i = 0; i < 2; ++i)
            {
                co_await core::pause_for(random.span(0, 50));
                stop_router(router, random.span(50, 600));
                router = (router + 1) % cluster.processes.size();
            }
        }
    }

    asio::awaitable<void> reload_routers(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(50, 800));
            for (std::size_t i = 0; i < cluster.processes.size(); ++i)
            {
                if (cluster.has_started(i) && cluster.processes[i]->is_running())
                {
                    cluster.processes[i]->hang_up();
                    ++reloads;
                }
            }
        }
    }

    asio::awaitable<void> change_configuration(choices random)
    {
        while (!is_over())
        {
            co_await core::pause_for(random.span(50, 900));
            changes values;
            values.timeout_ms = static_cast<int>(random.span(1500, 2500).ms);
            values.idle_ms = static_cast<int>(random.span(2000, 60000).ms);
            values.has_extra_route = random.index(2) == 0;
            put_config(values);
            ++configurations;
        }
    }
};

/// One of the backend servers of a service sends bytes without end.
class endless_answer_play : public kept_connection_play
{
public:
    endless_answer_play(unsigned seed, endless_form form, const std::filesystem::path& folder)
        : kept_connection_play(seed, 2, folder), faulty_("faulty", "plain", std::move(form))
    {}

    void run()
    {
        constexpr core::duration play_length{3500};
        cluster.store.put("servers", faulty_.id(), faulty_.registration());
        end_after(play_length);
        constexpr std::size_t clients = 24;
        start_clients(clients);
        constexpr core::duration rest{2500};
        cluster.run_for((play_length + rest).ms);
    }

    const endless_backend& faulty() const { return faulty_; }

    std::size_t peak_memory() const
    {
        std::size_t peak = 0;
        for (const auto& process : cluster.processes)
        {
            peak = std::max(peak, process->peak_memory());
        }
        return peak;
    }

private:
    endless_backend faulty_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(kept_connections)

// Guards against requests that end without an answer while routers stop, reload and get configurations.
BOOST_AUTO_TEST_CASE(requests_are_answered_around_planned_work)
{
    const auto routers = std::stoul(read_variable("ROUTER_PLAY_ROUTERS", "6"));
    play_seeds(1, [routers](unsigned seed, const std::filesystem::path& folder) {
        planned_work_play play(seed, routers, folder);
        BOOST_REQUIRE(play.cluster.await_ready());
        play.run();
        const auto lost = play.count_lost();
        BOOST_TEST_MESSAGE("seed " << seed << ": " << play.stops << " stops, " << play.reloads << " reloads, "
                                   << play.configurations << " configurations, " << play.cluster.count(200)
                                   << " of " << play.cluster.records.size() << " requests served, "
                                   << play.cluster.count(502) << " with 502, " << play.cluster.count(504)
                                   << " with 504, " << play.ended.size() << " ended without an answer, "
                                   << lost << " lost");
        BOOST_CHECK_GT(play.stops, 5);
        BOOST_CHECK_GT(play.reloads, 20);
        BOOST_CHECK_GT(play.configurations, 10);
        BOOST_CHECK_GT(success_ratio(play.cluster), 0.5);
        BOOST_CHECK_EQUAL(lost, 0U);
        check_invariants(play.cluster);
    });
}

// Guards against a router that a reload signal ends while it stops.
BOOST_AUTO_TEST_CASE(reload_signals_do_not_end_a_stopping_router)
{
    play_seeds(1, [](unsigned, const std::filesystem::path& folder) {
        constexpr std::size_t routers = 6;
        process_cluster cluster(routers, 1, folder);
        BOOST_REQUIRE(cluster.await_ready());
        std::ranges::for_each(cluster.processes, [](auto& process) { process->terminate(); });
        const auto is_running = [](const auto& process) { return process->is_running(); };
        while (std::ranges::any_of(cluster.processes, is_running))
        {
            auto running = cluster.processes | std::views::filter(is_running);
            std::ranges::for_each(running, [](auto& process) { process->hang_up(); });
            cluster.run_for(1);
        }
        for (const auto& process : cluster.processes)
        {
            BOOST_CHECK_EQUAL(process->exit_status(), 0);
        }
    });
}

// Guards against a backend server that sends bytes without end: the routers that called it ran out of memory,
// and the requests of other clients ended with them.
BOOST_AUTO_TEST_CASE(routers_keep_serving_beside_answers_without_end)
{
    // The smallest machines of the deployments have 160 MB.
    constexpr std::size_t most_memory = 100000000;
    play_seeds(1, [most_memory](unsigned seed, const std::filesystem::path& folder) {
        for (const auto& form : make_endless_forms())
        {
            BOOST_TEST_CONTEXT(form.name)
            {
                endless_answer_play play(seed, form, folder / form.name);
                BOOST_REQUIRE(play.cluster.await_ready());
                play.run();
                BOOST_TEST_MESSAGE(form.name << ": " << play.faulty().calls() << " calls, "
                                             << play.faulty().sent_bytes() / 1000000 << " MB, peak memory "
                                             << play.peak_memory() / 1000000 << " MB, "
                                             << play.cluster.count(200) << " of "
                                             << play.cluster.records.size() << " requests served, "
                                             << play.ended.size() << " ended without an answer");
                BOOST_CHECK_GT(play.faulty().calls(), 0U);
                BOOST_CHECK_LT(play.peak_memory(), most_memory);
                BOOST_CHECK_GT(success_ratio(play.cluster), 0.8);
                BOOST_CHECK_EQUAL(play.ended.size(), 0U);
                check_invariants(play.cluster);
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
