/// Model of routers, backend servers, the store and the network between them, without I/O: drives
/// `leader_state`, `server_grants` and the directory as the edge router does, with faults drawn from a seed,
/// and checks that each key has one owner.
#pragma once

#include "grants/server_grants.hpp"
#include "leader/leader_contact.hpp"
#include "leader/tests/leader_fixture.hpp"

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace briarfold::leader::tests {

struct model_options
{
    std::uint64_t seed = 1;
    duration length{90000};
    /// Whether a further life of the same backend server needs a higher token, too.
    bool is_each_life_checked = false;
    /// Whether a backend server accepts calls that name another one.
    bool is_any_id_accepted = false;
    /// Whether fronts go on with their tokens on a connection that was opened anew.
    bool is_reconnection_ignored = false;
    /// Whether a backend server answers a repeated release although the work on its keys goes on.
    bool is_repeated_release_answered_early = false;
    leader_settings leader;
};

/// What the store answers to a conditional write.
struct commit_answer
{
    bool is_committed = false;
    /// Whether the store holds exactly what was to be written.
    bool is_same = false;
    std::int64_t version = 0;
    int leader = -1;
};

struct store_model
{
    struct row
    {
        nlohmann::json document;
        std::int64_t version = 0;
    };

    /// Writes the leadership row and the others if each has the version that the writer expects.
    commit_answer commit(int router, const std::string& incarnation, std::int64_t leader_version,
                         const std::map<std::string, row>& changes);

    std::int64_t version = 0;
    int leader = -1;
    std::string leader_incarnation;
    std::int64_t leader_version = 0;
    /// Earlier leaders that have not been seen to follow the present one.
    std::vector<directory::router> former_leaders;
    std::map<std::string, row> rows;
    std::map<std::string, directory::backend_server> registry;
};

/// One of the processes that a backend server runs in turn under its id.
struct process
{
    int backend = -1;
    int life = 0;

    bool operator==(const process&) const = default;
};

/// Backend server of one front, with the state of its control connection.
struct fronted_model
{
    explicit fronted_model(const directory::entry& item, time_point now) : entry(item), grants(item, now) {}

    directory::entry entry;
    grants::server_grants grants;
    bool is_grant_pending = false;
    bool is_removed = false;
    /// Rises when the backend server is known to have restarted: answers on earlier connections do not count.
    int link = 0;
    /// Process to which the idle connection for grants leads, whether or not it still runs. Each release
    /// opens a connection of its own.
    std::optional<process> connection;
    time_point connected_at;
    int failures = 0;
    /// Whether another backend server has its address, as far as the last answer told.
    bool is_replaced = false;
    std::optional<time_point> unreachable_since;
    time_point last_probe;
};

/// Leadership of one router, as in `edge::internal::leader_service`.
struct office_model
{
    struct follower
    {
        std::int64_t revision = 0;
        bool is_pushing = false;
    };

    std::optional<leader_state> state;
    directory::generation term;
    std::int64_t version = 0;
    std::map<std::string, std::int64_t> row_versions;
    std::set<std::string> registered;
    std::map<int, follower> followers;
    std::int64_t published = 0;
    leadership_confirmation confirmation{time_point{}};
    time_point last_tick;
    time_point last_write;
    time_point last_publish;
    time_point last_read;
    bool is_started = false;
    bool is_writing = false;
    bool is_checking = false;
    bool is_reading = false;
};

struct router_model
{
    directory::router self;
    int life = 0;
    bool is_up = true;
    time_point frozen_until;
    directory::snapshot snapshot;
    int leader = -1;
    std::int64_t leadership_version = 0;
    time_point confirmed_at;
    time_point proved_at;
    leader_contact contact{time_point{}};
    duration leader_failing;
    std::optional<time_point> store_failing_since;
    std::optional<time_point> store_recovered_at;
    std::map<std::string, std::shared_ptr<fronted_model>> fronts;
    std::shared_ptr<office_model> office;
    time_point last_report;
    bool is_reporting = false;
    bool is_report_requested = false;
    bool is_electing = false;
};

/// What a backend server knows of one key.
struct held_key
{
    std::int64_t token = 0;
    time_point held_until;
    /// End of the work that ran on it when it was released, at most the end of the hold at that moment.
    time_point works_until;
};

struct backend_model
{
    std::string id;
    int address = 0;
    /// Number of its process. Calls on connections to an earlier one are not applied.
    int life = 1;
    /// Slowness of its clock.
    double drift = 0;
    time_point late_until;
    std::vector<held_key> keys = std::vector<held_key>(keyspace::key_count);
};

class ownership_model
{
public:
    explicit ownership_model(const model_options& options);
    /// Returns the first violation with the trace of its key; empty if there is none.
    std::string run();
    std::size_t moves() const { return moves_; }
    std::size_t terms() const { return terms_; }

private:
    struct event
    {
        /// Router that handles it; -1 for the other participants.
        int router = -1;
        int life = 0;
        bool is_timer = false;
        std::function<void()> run;
    };
    struct trace_line
    {
        time_point at;
        keyspace::key_range range;
        std::string text;
    };
    struct report_answer
    {
        bool is_update = false;
        directory::generation term;
        int leader = -1;
        std::optional<duration> confirmed_age;
        std::optional<duration> proved_age;
        duration store_failing;
    };
    /// What the last holder of a key was granted.
    struct owner
    {
        process holder;
        std::int64_t token = 0;
    };

    std::int64_t draw(std::int64_t first, std::int64_t last);
    bool draw_chance(int percent) { return draw(1, 100) <= percent; }
    void trace(std::string text, keyspace::key_range range = {0, keyspace::key_count - 1});
    void schedule(duration delay, int router, bool is_timer, std::function<void()> run);
    bool is_cut(int from, int to) const { return links_.at(link(from, to)).cut_until > now_; }
    static std::pair<int, int> link(int a, int b) { return {std::min(a, b), std::max(a, b)}; }
    void send(int from, int to, std::function<void()> deliver);
    template <class Answer>
    void call(int from, int to, duration timeout, std::function<std::optional<Answer>()> serve,
              std::function<void(std::optional<Answer>)> done);
    int backend_node(int address) const { return static_cast<int>(routers_.size()) + address; }
    int store_node() const { return backend_node(static_cast<int>(listeners_.size())); }

    using stored_copy = std::shared_ptr<const store_model>;
    /// Commits at once, or later with an answer that is lost.
    std::optional<commit_answer> commit(std::function<commit_answer()> write);
    std::optional<stored_copy> copy_store() const { return std::make_shared<const store_model>(store_); }

    void inject_fault();
    void cut(int a, int b, duration span);
    void restart(int router);
    void restart_backend(int backend);
    /// Ends a backend server unseen and starts another one at its address.
    void replace_backend(int backend);
    void add_backend(int address);
    void end_process(int backend);
    /// Returns the process that accepts connections at the address; nothing if none does.
    std::optional<process> listener(int address) const;
    static int address_of(const fronted_model& server);
    void tick(int router);

    void report(int router);
    report_answer handle_report(int router, int from, const router_report& message);
    void apply_update(int router, const directory::generation& term, int leader,
                      const directory::update& change);
    void consider_election(int router);
    void survey(int router);
    void elect(int router);
    void become_leader(int router, std::int64_t version);
    void step_down(int router, const char* reason);

    void read_store(int router);
    void read_registry(int router);
    void apply_registry(int router, const std::map<std::string, directory::backend_server>& registry);
    void note_store_answer(router_model& router) const;
    void check_leadership(int router);
    void propagate(int router);
    void write_rows(int router, const std::vector<assignment_row>& rows, bool may_be_committed);
    void push(int router, int to);
    time_point office_confirmed_at(const router_model& router) const;
    time_point office_proved_at(const router_model& router) const;
    /// Whether a connection for grants was opened since the leader last proved that it leads.
    bool needs_proof(const router_model& router) const;

    void apply_fronts(int router);
    void run_grants(int router, const std::shared_ptr<fronted_model>& server);
    void send_grant_call(int router, const std::shared_ptr<fronted_model>& server, grants::grant_call item);
    void end_grant_call(int router, const std::shared_ptr<fronted_model>& server,
                        const grants::grant_call& item, const process& recipient, int used_link,
                        std::optional<unsigned> status);
    process running(int backend) const { return {backend, backends_[backend].life}; }
    bool is_running(const process& item) const { return item == running(item.backend); }
    void record_contact(int router, fronted_model& server, bool is_reached);
    void probe(int router, const std::shared_ptr<fronted_model>& server);
    /// Stops new work on the keys, on which some may run that lasts for the given time. Returns the time
    /// until a backend server answers, which is until all work on them has ended.
    duration stop_work(int backend, const grants::grant_call& item, duration work);
    bool apply_grant(int backend, const grants::grant_call& item, time_point arrival);
    void check_owner(int backend, std::uint32_t key, std::int64_t token);

    struct link_state
    {
        time_point cut_until;
        time_point slow_until;
    };

    model_options options_;
    std::mt19937_64 random_;
    time_point now_{1000000};
    std::int64_t order_ = 0;
    std::map<std::pair<std::int64_t, std::int64_t>, event> events_;
    std::map<std::pair<int, int>, link_state> links_;
    store_model store_;
    time_point store_late_until_;
    std::vector<router_model> routers_;
    std::vector<backend_model> backends_;
    /// Backend servers by address; -1 while none has it.
    std::vector<int> listeners_;
    std::vector<owner> owners_ = std::vector<owner>(keyspace::key_count);
    std::vector<trace_line> trace_;
    std::array<std::uint32_t, 3> hot_keys_{};
    std::string violation_;
    std::uint32_t violated_key_ = 0;
    std::size_t moves_ = 0;
    std::size_t terms_ = 0;
};

} // namespace briarfold::leader::tests
