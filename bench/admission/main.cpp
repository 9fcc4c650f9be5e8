// bench-admission: discrete-event simulation of two ways to admit requests to the slots of backend servers.
//
// front: one router queues for each backend server; a request that enters at another router takes one more
// hop.
//
// leases: each router sends directly and holds a share of the slots. Each lease period, the shares follow the
// demand of the previous period. A router without a free slot queues locally.
//
// Both get the same arrivals, targets and service times. The result depends only on the settings and the
// seed; no wall clock is involved.
#include <boost/program_options.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace {

constexpr double queue_per_slot = 32;

struct scenario
{
    const char* name;
    std::size_t targets;
    int slots;
    double service_ms;
    double hop_ms;
    /// Offered load as a fraction of the capacity of all slots.
    double load;
};

struct arrival
{
    double time_ms = 0;
    std::size_t router = 0;
    std::size_t target = 0;
    double service_ms = 0;
};

struct result
{
    std::vector<double> latencies_ms;
    std::size_t rejected = 0;
    /// Slot time that stayed idle while a request for the same target waited at another router.
    double idle_slot_ms = 0;
    double total_slot_ms = 0;
};

struct settings
{
    std::size_t routers = 12;
    double duration_ms = 60000;
    double deadline_ms = 2000;
    double lease_ms = 500;
    unsigned seed = 1;
};

std::vector<arrival> make_arrivals(const scenario& setup, const settings& values)
{
    std::mt19937_64 random(values.seed);
    const double slots = static_cast<double>(setup.targets) * setup.slots;
    std::exponential_distribution<double> interarrival_time(setup.load * slots / setup.service_ms);
    std::exponential_distribution<double> service(1 / setup.service_ms);
    // The load of targets differs by up to a factor of 1.3, as after placement; routers receive even shares.
    std::vector<double> weights(setup.targets);
    std::uniform_real_distribution<double> weight(0.85, 1.15);
    std::ranges::generate(weights, [&] { return weight(random); });
    std::discrete_distribution<std::size_t> target(weights.begin(), weights.end());
    std::uniform_int_distribution<std::size_t> router(0, values.routers - 1);
    std::vector<arrival> arrivals;
    for (double time = interarrival_time(random); time < values.duration_ms;
         time += interarrival_time(random))
    {
        arrivals.push_back({time, router(random), target(random), service(random)});
    }
    return arrivals;
}

/// The slots of one target, divided into one or more pools, each with its own queue.
class target_model
{
public:
    target_model(std::size_t pools, int slots, result& out) : pools_(pools), slots_(slots), out_(out)
    {
        for (int slot = 0; slot < slots; ++slot)
        {
            ++pools_[static_cast<std::size_t>(slot) % pools].share;
        }
    }

    void advance(double now)
    {
        if (now <= last_)
        {
            return;
        }
        const bool has_waiting_request =
            std::ranges::any_of(pools_, [](const pool& item) { return !item.waiting.empty(); });
        if (has_waiting_request)
        {
            out_.idle_slot_ms += std::max(slots_ - busy_, 0) * (now - last_);
        }
        last_ = now;
    }

    /// Starts the request or queues it. Calls `start` when the request starts now. Returns false when the
    /// queue is full.
    template <class Start>
    bool arrive(std::size_t pool_index, const arrival& item, double now, Start start)
    {
        advance(now);
        auto& entry = pools_[pool_index];
        ++entry.demand;
        if (entry.busy < entry.share && entry.waiting.empty() && busy_ < slots_)
        {
            begin(entry, item, now, start);
            return true;
        }
        const auto limit = queue_per_slot * slots_ / static_cast<double>(pools_.size());
        if (static_cast<double>(entry.waiting.size()) >= std::max(limit, 1.0))
        {
            return false;
        }
        entry.waiting.push_back(item);
        return true;
    }

    template <class Start>
    void finish(std::size_t pool_index, double now, double deadline_ms, Start start)
    {
        advance(now);
        --pools_[pool_index].busy;
        --busy_;
        serve_waiting(now, deadline_ms, start);
    }

    /// Divides all slots among the pools by the demand of the last period, with the largest remainder method.
    template <class Start>
    void reassign_leases(double now, double deadline_ms, Start start)
    {
        advance(now);
        std::vector<double> exact_shares(pools_.size());
        std::ranges::transform(pools_, exact_shares.begin(), [](const pool& item) {
            return static_cast<double>(item.demand + item.waiting.size());
        });
        const double sum = std::accumulate(exact_shares.begin(), exact_shares.end(), 0.0);
        int left = slots_;
        for (std::size_t i = 0; i < pools_.size(); ++i)
        {
            exact_shares[i] = sum > 0 ? exact_shares[i] * slots_ / sum : 0;
            pools_[i].share = static_cast<int>(exact_shares[i]);
            left -= pools_[i].share;
            exact_shares[i] -= pools_[i].share;
            pools_[i].demand = 0;
        }
        for (; left > 0; --left)
        {
            const auto next = std::ranges::max_element(exact_shares) - exact_shares.begin();
            ++pools_[static_cast<std::size_t>(next)].share;
            exact_shares[static_cast<std::size_t>(next)] = -1;
        }
        serve_waiting(now, deadline_ms, start);
    }

private:
    struct pool
    {
        int share = 0;
        int busy = 0;
        std::size_t demand = 0;
        std::deque<arrival> waiting;
    };

    template <class Start>
    void begin(pool& entry, const arrival& item, double now, Start start)
    {
        ++entry.busy;
        ++busy_;
        out_.total_slot_ms += item.service_ms;
        start(static_cast<std::size_t>(&entry - pools_.data()), item, now);
    }

    template <class Start>
    void serve_waiting(double now, double deadline_ms, Start start)
    {
        for (auto& entry : pools_)
        {
            while (!entry.waiting.empty() && entry.busy < entry.share && busy_ < slots_)
            {
                const auto item = entry.waiting.front();
                entry.waiting.pop_front();
                if (now - item.time_ms > deadline_ms)
                {
                    ++out_.rejected;
                    continue;
                }
                begin(entry, item, now, start);
            }
        }
    }

    std::vector<pool> pools_;
    int slots_;
    int busy_ = 0;
    double last_ = 0;
    result& out_;
};

struct event
{
    double time_ms = 0;
    std::size_t target = 0;
    std::size_t pool = 0;

    bool operator>(const event& other) const { return time_ms > other.time_ms; }
};

result simulate(const scenario& setup, const settings& values, const std::vector<arrival>& arrivals,
                bool is_front)
{
    result out;
    const auto pools = is_front ? 1 : values.routers;
    std::vector<target_model> targets(setup.targets, target_model(pools, setup.slots, out));
    std::priority_queue<event, std::vector<event>, std::greater<>> ends;
    const auto start_at = [&](std::size_t target) {
        return [&, target](std::size_t pool, const arrival& item, double now) {
            ends.push({now + item.service_ms, target, pool});
            // With 12 routers, 11 of 12 requests enter at another router than the front and take a hop there
            // and back.
            const bool is_remote = is_front && item.router != target % values.routers;
            out.latencies_ms.push_back(now + item.service_ms - item.time_ms +
                                       (is_remote ? 2 * setup.hop_ms : 0));
        };
    };
    double next_lease = values.lease_ms;
    const auto run_until = [&](double time) {
        while (!ends.empty() && ends.top().time_ms <= time)
        {
            const auto next = ends.top();
            ends.pop();
            targets[next.target].finish(next.pool, next.time_ms, values.deadline_ms, start_at(next.target));
        }
    };
    for (const auto& item : arrivals)
    {
        while (!is_front && next_lease <= item.time_ms)
        {
            run_until(next_lease);
            for (std::size_t i = 0; i < targets.size(); ++i)
            {
                targets[i].reassign_leases(next_lease, values.deadline_ms, start_at(i));
            }
            next_lease += values.lease_ms;
        }
        run_until(item.time_ms);
        if (!targets[item.target].arrive(is_front ? 0 : item.router, item, item.time_ms,
                                         start_at(item.target)))
        {
            ++out.rejected;
        }
    }
    return out;
}

double percentile(std::vector<double>& values, double quantile)
{
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, position);
    return *position;
}

void print_result(const scenario& setup, const char* name, const std::vector<arrival>& arrivals, result value)
{
    const auto capacity_ms = static_cast<double>(setup.targets) * setup.slots * arrivals.back().time_ms;
    std::cout << setup.name << " load " << setup.load << ", " << name << ": p50 "
              << percentile(value.latencies_ms, 0.5) << " ms, p99 " << percentile(value.latencies_ms, 0.99)
              << " ms, rejected or never started "
              << 100.0 * static_cast<double>(arrivals.size() - value.latencies_ms.size()) /
                     static_cast<double>(arrivals.size())
              << "%, slot time idle beside a waiting request " << 100 * value.idle_slot_ms / capacity_ms
              << "%\n";
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    settings values;
    options::options_description all("bench-admission");
    auto add = all.add_options();
    add("help", "show the options");
    add("routers", options::value(&values.routers), "routers");
    add("lease-ms", options::value(&values.lease_ms), "lease period");
    add("seed", options::value(&values.seed), "seed");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, all), given);
    options::notify(given);
    if (given.contains("help"))
    {
        std::cout << all;
        return 0;
    }
    // Sizes from docs/design.md section 1.3. The time of a hop is half the round-trip time between zones.
    constexpr std::size_t fairway_targets = 30;
    constexpr std::size_t teranga_targets = 25;
    for (const double load : {0.5, 0.7, 0.85})
    {
        for (const scenario& setup : {scenario{"fairway 30x6", fairway_targets, 6, 40, 0.5, load},
                                      scenario{"teranga 25x2", teranga_targets, 2, 40, 0.25, load}})
        {
            const auto arrivals = make_arrivals(setup, values);
            print_result(setup, "front", arrivals, simulate(setup, values, arrivals, true));
            print_result(setup, "leases", arrivals, simulate(setup, values, arrivals, false));
        }
    }
    return 0;
}
