/// A backend server stand-in: keyed work under fenced grants, with slots, drain and stop. docs/design.md
/// section 5.2 lists the messages.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "history/writer.hpp"
#include "http/http_types.hpp"
#include "ownership/ownership_types.hpp"
#include "standins/backend/grant_state.hpp"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>

namespace briarfold::standins {

struct backend_options
{
    ownership::backend_server server;
    core::duration latency{5};
    /// Work that arrives within this time after the start waits until it has passed.
    core::duration cold_start{0};
};

/// Runs on one thread.
class backend_service
{
public:
    /// `on_idle_stop` is called once, when a stop was ordered and nothing is in flight.
    backend_service(core::asio::any_io_executor executor, backend_options options, history::writer& history,
                    std::function<void()> on_idle_stop);

    core::asio::awaitable<http::response> answer(http::request message);
    /// As the order `/stop`: no new work, ends when nothing is in flight.
    void begin_stop();
    /// Follows the number of requests in flight with a lag, for `/load`.
    core::asio::awaitable<void> sample_load();

private:
    enum class work_state
    {
        waiting,
        cancelled,
        running
    };

    struct work
    {
        std::string request_id;
        std::string key;
        std::uint64_t hash = 0;
        grant_series series = 0;
        core::time_point received;
        /// Zero when the request has no deadline.
        core::time_point deadline;
        /// When the grant was rechecked; the effect follows in the same step.
        core::time_point rechecked;
        work_state state = work_state::waiting;
    };

    struct fault_settings
    {
        core::duration latency;
        core::duration effect_delay;
        double shed_rate = 0;
        bool is_health_bad = false;
        /// Negative: report the measured load.
        int load = -1;
    };

    core::asio::awaitable<http::response> answer_work(http::request message, std::string service);
    /// Waits until the work ran, or returns the reason why it did not.
    core::asio::awaitable<std::string> perform(work& item);
    /// Empty when the work may be admitted.
    std::string admission_refusal(const work& item, const std::string& service);
    std::string effect_refusal(work& item) const;
    http::response apply_effect(const work& item, const http::request& message);
    void finish(std::list<work>::iterator position);
    bool may_run(std::uint64_t hash, core::time_point now) const;

    http::response answer_order(const http::request& message);
    http::response answer_grant(const nlohmann::json& body);
    http::response answer_cancel(const nlohmann::json& body);
    http::response answer_drain(const nlohmann::json& body, bool is_stop);
    http::response answer_health() const;
    http::response answer_load() const;
    http::response set_faults(const nlohmann::json& body);
    nlohmann::json grant_answer(bool is_accepted, const std::string& reason);
    std::size_t draining_count(core::time_point now) const;
    void end_when_idle();

    core::asio::any_io_executor executor_;
    backend_options options_;
    history::writer& history_;
    std::function<void()> on_idle_stop_;
    const std::string incarnation_;
    core::time_point warm_at_;
    grant_state grants_;
    fault_settings faults_;
    std::list<work> in_flight_;
    std::size_t running_ = 0;
    std::size_t sampled_load_ = 0;
    std::map<std::string, std::int64_t> runs_by_key_;
    /// The newest request ids that finished, for `/cancel`.
    std::list<std::string> finished_;
    std::mt19937_64 random_{std::random_device{}()};
    bool is_draining_ = false;
    bool is_stopping_ = false;
    bool has_ended_ = false;
};

} // namespace briarfold::standins
