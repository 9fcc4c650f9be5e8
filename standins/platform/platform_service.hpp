/// The platform stand-in: table service, object store, lagging instance list and faults. docs/design.md
/// section 5.3 lists the messages.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "history/writer.hpp"
#include "http/http_types.hpp"
#include "standins/common/target.hpp"
#include "standins/platform/rate_limit.hpp"
#include "standins/platform/table.hpp"

#include <list>
#include <map>
#include <string>

namespace briarfold::standins {

struct platform_options
{
    double writes_per_s = 400;
    double reads_per_s = 2000;
    std::size_t log_length = 10000;
    core::duration instance_lag{5000};
    /// Replaces these port numbers in router rows, so that routers reach each other through relays.
    std::map<unsigned short, unsigned short> router_ports;
};

/// Runs on one thread.
class platform_service
{
public:
    platform_service(core::asio::any_io_executor executor, platform_options options,
                     history::writer& history);

    core::asio::awaitable<http::response> answer(http::request message);

private:
    enum class fault_mode
    {
        up,
        down,
        hang,
        slow
    };

    struct instance_state
    {
        core::time_point since;
        /// Null when the instance is gone.
        nlohmann::json value;
    };

    /// Waits out a hang or a delay. Returns false when the service is down.
    core::asio::awaitable<bool> pass_faults();
    core::asio::awaitable<http::response> answer_transaction(http::request message);
    core::asio::awaitable<http::response> answer_changes(target where);
    core::asio::awaitable<void> wait_for_change(core::duration limit);
    /// Reads and writes that need no waiting.
    http::response answer_at_once(const http::request& message, const target& where);
    http::response commit(const http::request& message);
    void map_ports(const std::string& key, nlohmann::json& value) const;
    http::response answer_rows(const target& where);
    http::response answer_object(const http::request& message, const std::string& name);
    http::response answer_instances();
    http::response set_faults(const std::string& body);
    http::response set_instance(const http::request& message, const std::string& id);
    void record(const table_commit& result);
    void wake_all();
    bool is_faulty();

    core::asio::any_io_executor executor_;
    platform_options options_;
    history::writer& history_;
    table table_;
    rate_limit writes_;
    rate_limit reads_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, std::vector<instance_state>> instances_;
    std::list<core::asio::steady_timer*> waiting_;
    fault_mode mode_ = fault_mode::up;
    core::duration delay_;
    /// Zero for a fault without an end.
    core::time_point fault_end_;
    int answers_to_lose_ = 0;
};

} // namespace briarfold::standins
