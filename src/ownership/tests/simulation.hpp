/// Simulates routers, backend servers and the table in virtual time, with delays, losses, pauses and
/// restarts. Checks at every step that no key has two owners.
#pragma once

#include "membership/membership_types.hpp"
#include "ownership/internal/machine.hpp"
#include "standins/backend/grant_state.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace briarfold::ownership::tests {

enum class fault_kind
{
    pause_router,
    isolate_router,
    crash_router,
    freeze_backend,
    restart_backend,
    replace_backend,
    store_outage,
    lossy_network,
    move_slice,
    cut_router_from_backends,
    hand_over,
    /// The controller loses its peers and the store but not its backend server, which no other router
    /// reaches.
    split_pair,
    /// The backend server and its controller end at the same time.
    lose_pair,
    count
};

struct fault
{
    fault_kind kind = fault_kind::pause_router;
    int target = 0;
    std::int64_t at = 0;
    std::int64_t duration = 0;
};

std::ostream& operator<<(std::ostream& out, const fault& value);

struct simulation_options
{
    int routers = 5;
    int backends = 4;
    /// Number of backend servers, counted from the first, that do not check grants.
    int unchecked = 0;
    std::uint32_t seed = 1;
    std::vector<fault> faults;
    std::int64_t end = 26000;
    /// Disables lost and late messages.
    bool is_network_clean = false;
};

class simulation
{
public:
    explicit simulation(simulation_options options);
    ~simulation();

    /// Runs to the end. Throws std::runtime_error at the first moment at which a key has two owners.
    void run();
    /// Returns whether every sampled key has an owner at the end.
    bool is_fully_owned() const;
    /// Returns the seed, the faults, the log and the final rows, to explain a failed run.
    std::string describe() const;
    /// Returns the longest time in ms in which a sampled key had no owner after the first assignment.
    std::int64_t longest_gap() const { return longest_gap_; }

private:
    struct router;
    struct process;
    struct table;
    struct event
    {
        std::int64_t at;
        std::int64_t order;
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(std::int64_t when, std::function<void()> run);
    /// Schedules an event on a router or process: delayed until the end of a pause, dropped after a crash.
    void schedule_on_router(int index, std::int64_t when, std::function<void(router&)> run);
    void schedule_on_process(int index, std::int64_t when, std::function<void(process&)> run);
    /// Returns the random arrival time of a message sent now; empty when it is lost.
    std::optional<std::int64_t> transit();
    bool are_linked(int a, int b) const;
    bool reaches(int router, int process_index) const;
    core::time_point clock_of(const router& node) const;
    core::time_point clock_of(const process& node) const;

    void start_process(int server);
    void write_server_row(int server);
    void tick(int index);
    void poll_rows(int index);
    void apply_fault(const fault& item);
    void split_pair(process& target, std::int64_t until);
    /// Returns the index of the router that controls the row; -1 when there is none.
    int controller_of(int server) const;
    void run_actions(int index);
    void execute(int index, const internal::grant_request& request);
    void answer_grant(int index, int process_index, const internal::grant_request& request);
    void execute(int index, const internal::commit_request& request);
    void execute(int index, const internal::fence_request& request);
    void execute(int index, const internal::heartbeat_request& request);
    void execute(int index, const internal::row_push& push);
    void execute(int index, const internal::hand_over_request& request);
    void execute(int index, const internal::suspicion_report& report);
    void execute(int index, const internal::liveness_probe& probe);
    void execute(int, const internal::lifecycle_order&) {}
    void execute(int, const internal::move_end&) {}
    void refresh_live(int index);
    void send_unchecked_work(router& node);
    void run_requests();
    void check_single_owner();
    int router_index(const std::string& id) const;

    simulation_options options_;
    mutable std::mt19937_64 random_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::int64_t now_ = 0;
    std::int64_t next_order_ = 0;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<std::unique_ptr<process>> processes_;
    std::unique_ptr<table> table_;
    std::vector<std::uint64_t> samples_;
    std::vector<std::int64_t> ownerless_since_;
    std::int64_t longest_gap_ = 0;
    std::vector<std::string> log_;
};

} // namespace briarfold::ownership::tests
