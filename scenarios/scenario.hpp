/// A named failure scenario and what it works with.
#pragma once

#include "core/clock.hpp"
#include "history/writer.hpp"
#include "scenarios/deployment.hpp"
#include "scenarios/load_driver.hpp"

#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace briarfold::scenarios {

/// Keys whose service a fault interrupts, for the report.
struct fault_mark
{
    std::string name;
    core::time_point begin;
    /// Ids of the backend servers whose keys are affected; empty: all.
    std::vector<std::string> backend_servers;
};

/// What a scenario may use. The functions are thread-safe, for scenarios with overlapping faults.
class scenario_context
{
public:
    scenario_context(deployment& running, load_driver& driver, history::writer& lines, std::uint64_t seed,
                     bool is_long_run)
        : system(running), load(driver), history(lines), is_long(is_long_run), random_(seed)
    {}

    /// Notes the begin of a fault in the history; `targets` are names of processes ("r1", "fd-2").
    void begin_fault(const std::string& name, const std::vector<std::string>& targets,
                     const std::vector<std::string>& backend_servers);
    void end_fault(const std::string& name, const std::vector<std::string>& targets);
    /// A condition of the scenario that did not hold: it fails.
    void fail(const std::string& what);
    void require(bool condition, const std::string& what);
    /// Prints a line of the report.
    void note(const std::string& text);
    /// Any number below `count`.
    std::size_t draw(std::size_t count);

    /// A backend server that owns keys of the load, drawn by the seed, of any service unless one is named.
    /// Throws core::error when there is none but `except`.
    backend_handle& draw_owner(const std::string& except = "", const std::string& service = "");
    /// Waits until `count` more requests were answered. Throws core::timeout_error.
    void wait_for_answers(std::int64_t count);
    /// Waits until the keys that `backend_server` owned at the call are answered by others.
    void wait_for_new_owners(const std::string& backend_server);

    deployment& system;
    load_driver& load;
    history::writer& history;
    /// Full lengths of faults; shorter ones run in CI.
    bool is_long;

    std::vector<fault_mark> marks() const;
    std::vector<std::string> failures() const;

private:
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<fault_mark> marks_;
    std::vector<std::string> failures_;
};

struct scenario
{
    std::string name;
    std::string description;
    /// Least share of sent requests that must be answered.
    double floor = 0;
    std::function<void(scenario_context&)> run;
    /// Changes what is started; may be empty.
    std::function<void(deployment_spec&)> adjust;
    /// Deployment used unless the command line names one.
    std::string deployment = "fairway";
};

const std::vector<scenario>& all_scenarios();
/// Throws core::error for an unknown name.
const scenario& find_scenario(const std::string& name);

/// The parts of the list, by the kind of fault.
std::vector<scenario> process_scenarios();
std::vector<scenario> network_scenarios();
std::vector<scenario> store_scenarios();
std::vector<scenario> operator_scenarios();

} // namespace briarfold::scenarios
