/// Main program of the edge router, which forwards the requests of callers to backend servers.
#include "apps/edge/crash_report.hpp"
#include "core/asio.hpp"
#include "edge/router_node.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/row_table.hpp"
#include "settings/edge_settings.hpp"

#include <boost/program_options.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <sys/stat.h>

namespace {

namespace asio = briarfold::core::asio;
namespace options = boost::program_options;
using briarfold::settings::edge_settings;

constexpr int exit_usage = 2;
constexpr const char* settings_path_variable = "BRIARFOLD_NODE_FILE";
/// Interval between checks for a changed settings file, which may change without a signal.
constexpr std::chrono::milliseconds settings_check_interval{2000};

/// Sink of spdlog that writes the log messages of the libraries to the decision log.
class event_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit event_sink(briarfold::edge::event_log& log) : log_(log) {}

private:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        const auto level = spdlog::level::to_string_view(message.level);
        log_.write("message", {{"level", std::string(level.data(), level.size())},
                               {"text", std::string(message.payload.data(), message.payload.size())}});
    }
    void flush_() override {}

    briarfold::edge::event_log& log_;
};

briarfold::edge::store_tables make_tables(const asio::any_io_executor& executor,
                                          const edge_settings& settings)
{
    using briarfold::platform::row_table;
    const auto pool = std::make_shared<briarfold::store::connection_pool>(executor, settings.store);
    briarfold::edge::store_tables tables;
    tables.cluster_state = std::make_shared<row_table>(pool, "briarfold");
    tables.config = std::make_shared<row_table>(pool, "op");
    tables.registry = std::make_shared<row_table>(pool, "servers");
    tables.evacuation_prefix = briarfold::platform::evacuation_prefix;
    return tables;
}

edge_settings load(const std::string& path)
{
    return briarfold::settings::load_edge_settings(path, briarfold::platform::make_bound_names());
}

std::int64_t modification_time_ms(const std::string& path)
{
    struct stat state
    {};
    return ::stat(path.c_str(), &state) == 0 ? state.st_mtim.tv_sec * 1000 + state.st_mtim.tv_nsec / 1000000
                                             : 0;
}

class application
{
public:
    application(std::string path, const edge_settings& settings)
        : path_(std::move(path)), context_(1), signals_(context_, SIGTERM, SIGINT, SIGHUP),
          check_timer_(context_), log_({settings.name}, briarfold::edge::make_descriptor_sink(STDOUT_FILENO)),
          modification_time_ms_(modification_time_ms(path_))
    {
        const auto logger = std::make_shared<spdlog::logger>("", std::make_shared<event_sink>(log_));
        spdlog::set_default_logger(logger);
        log_.write("started", {{"settings", briarfold::settings::to_json(settings)}});
        node_.emplace(context_, settings, briarfold::platform::make_protocol(),
                      make_tables(context_.get_executor(), settings), log_);
        wait_for_signal();
        schedule_settings_check();
    }

    void run()
    {
        while (!run_handlers())
        {
        }
        log_.flush();
    }

private:
    /// Returns false after a handler that failed. The other requests of the process go on.
    bool run_handlers()
    {
        try
        {
            context_.run();
            return true;
        }
        catch (const std::exception& failure)
        {
            log_.write("handler failed", {{"reason", failure.what()}});
            return false;
        }
    }

    void wait_for_signal()
    {
        signals_.async_wait([this](const boost::system::error_code& code, int signal_number) {
            if (code)
            {
                return;
            }
            if (signal_number == SIGHUP)
            {
                reload("signal");
            }
            else
            {
                node_->stop([this] { context_.stop(); });
            }
            wait_for_signal();
        });
    }

    void schedule_settings_check()
    {
        check_timer_.expires_after(settings_check_interval);
        check_timer_.async_wait([this](const boost::system::error_code& code) {
            if (code)
            {
                return;
            }
            if (modification_time_ms(path_) != modification_time_ms_)
            {
                reload("changed file");
            }
            schedule_settings_check();
        });
    }

    void reload(const char* reason)
    {
        modification_time_ms_ = modification_time_ms(path_);
        try
        {
            log_.write("reload", {{"reason", reason}});
            node_->reload(load(path_));
        }
        catch (const std::exception& failure)
        {
            log_.write("settings refused", {{"reason", failure.what()}});
        }
    }

    std::string path_;
    asio::io_context context_;
    asio::signal_set signals_;
    asio::steady_timer check_timer_;
    briarfold::edge::event_log log_;
    std::int64_t modification_time_ms_;
    std::optional<briarfold::edge::router_node> node_;
};

} // namespace

int main(int argc, char** argv)
{
    // Until the application handles it, a reload signal would end the process.
    std::signal(SIGHUP, SIG_IGN);
    // A fixed threshold returns the memory of each large buffer to the system at once. By default the
    // threshold rises with the buffers, whose memory then stays with the process.
    constexpr int large_buffer_bytes = 262144;
    ::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    options::options_description all_options(
        "Edge router of briarfold.\n\nUsage: briarfold-edge [--config FILE] [options]\n"
        "Example: briarfold-edge --check --config edge.toml\n\nOptions");
    all_options.add_options()("config", options::value<std::string>(),
                              "settings file (TOML); default: the file named by BRIARFOLD_NODE_FILE")(
        "check", "check the settings file and exit")(
        "print-settings", "print the effective settings as JSON and exit")("help", "show this help");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all_options), values);
        if (values.contains("help"))
        {
            std::cout << all_options << '\n';
            return 0;
        }
        const char* const path_from_environment = std::getenv(settings_path_variable);
        const auto path = values.contains("config")
                              ? values["config"].as<std::string>()
                              : std::string(path_from_environment == nullptr ? "" : path_from_environment);
        if (path.empty())
        {
            std::cerr << "no settings file: give --config or set " << settings_path_variable << '\n';
            return exit_usage;
        }
        const auto settings = load(path);
        if (values.contains("print-settings"))
        {
            std::cout << briarfold::settings::to_json(settings).dump(2) << '\n';
        }
        if (values.contains("check") || values.contains("print-settings"))
        {
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        briarfold::edge::report_crashes();
        application app(path, settings);
        app.run();
        // The destructors would restore the default actions of signals, and a reload signal would then end
        // the process with a failure.
        std::quick_exit(EXIT_SUCCESS);
    }
    catch (const options::error& failure)
    {
        std::cerr << failure.what() << "\n\n" << all_options << '\n';
        return exit_usage;
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
