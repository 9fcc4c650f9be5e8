#include "ownership/tests/simulation.hpp"

#include "ownership/internal/slice_sets.hpp"
#include "ownership/tests/simulation_nodes.hpp"
#include "ownership/timing.hpp"

#include <algorithm>
#include <sstream>

namespace briarfold::ownership::tests {

using core::duration;
using core::time_point;

namespace {

constexpr std::int64_t tick_step = 10;
constexpr std::int64_t poll_step = 50;
constexpr std::size_t sample_count = 24;
constexpr std::int64_t check_step = 5;
constexpr const char* fault_names[] = {
    "pause router",    "isolate router", "crash router",  "freeze backend", "restart backend",
    "replace backend", "store outage",   "lossy network", "move slice",     "cut router from backends",
    "hand over",       "split pair",     "lose pair"};

} // namespace

std::ostream& operator<<(std::ostream& out, const fault& value)
{
    return out << "{" << fault_names[static_cast<int>(value.kind)] << ", target " << value.target << ", at "
               << value.at << ", for " << value.duration << "}";
}

simulation::simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed), table_(std::make_unique<table>())
{
    for (int i = 0; i < options_.routers; ++i)
    {
        routers_.push_back(std::make_unique<router>(i, random_));
        schedule_on_router(i, i, [this, i](router&) { tick(i); });
        schedule_on_router(i, i, [this, i](router&) { poll_rows(i); });
    }
    for (int i = 0; i < options_.backends; ++i)
    {
        start_process(i);
        write_server_row(i);
    }
    const auto spaced = internal::split_space(sample_count);
    std::ranges::transform(spaced, std::back_inserter(samples_), &slice::first);
    ownerless_since_.assign(samples_.size(), -1);
    for (const auto& item : options_.faults)
    {
        schedule(item.at, [this, item] { apply_fault(item); });
    }
    for (std::int64_t when = 0; when < options_.end; when += check_step)
    {
        schedule(when, [this] {
            run_requests();
            check_single_owner();
        });
    }
}

simulation::~simulation() = default;

void simulation::schedule(std::int64_t when, std::function<void()> run)
{
    events_.push({std::max(when, now_), next_order_++, std::move(run)});
}

void simulation::schedule_on_router(int index, std::int64_t when, std::function<void(router&)> run)
{
    schedule(when, [this, index, run = std::move(run)] {
        auto& node = *routers_[index];
        if (node.is_crashed)
        {
            return;
        }
        if (now_ < node.paused_until)
        {
            schedule_on_router(index, node.paused_until, run);
            return;
        }
        run(node);
    });
}

void simulation::schedule_on_process(int index, std::int64_t when, std::function<void(process&)> run)
{
    schedule(when, [this, index, run = std::move(run)] {
        auto& node = *processes_[index];
        if (node.is_ended)
        {
            return;
        }
        if (now_ < node.frozen_until)
        {
            schedule_on_process(index, node.frozen_until, run);
            return;
        }
        run(node);
    });
}

std::optional<std::int64_t> simulation::transit()
{
    std::uniform_int_distribution<int> percent(0, 99);
    const bool is_lossy = now_ < table_->lossy_until;
    if (!options_.is_network_clean && percent(random_) < (is_lossy ? 30 : 1))
    {
        return std::nullopt;
    }
    // Late messages may arrive after timeouts and after the end of grants.
    const int late_percent = options_.is_network_clean ? 0 : is_lossy ? 10 : 1;
    const bool is_late = percent(random_) < late_percent;
    std::uniform_int_distribution<std::int64_t> delay(is_late ? 200 : 0, is_late ? 3000 : 8);
    return now_ + delay(random_);
}

bool simulation::are_linked(int a, int b) const
{
    return a == b || (now_ >= routers_[a]->isolated_until && now_ >= routers_[b]->isolated_until);
}

bool simulation::reaches(int router, int process_index) const
{
    const auto& target = *processes_[process_index];
    return now_ >= routers_[router]->cut_from_backends_until &&
           (now_ >= target.split_until || target.only_router == router);
}

time_point simulation::clock_of(const router& node) const
{
    return {node.clock_offset + static_cast<std::int64_t>(static_cast<double>(now_) * node.clock_rate)};
}

time_point simulation::clock_of(const process& node) const
{
    return {node.clock_offset + static_cast<std::int64_t>(static_cast<double>(now_) * node.clock_rate)};
}

int simulation::router_index(const std::string& id) const
{
    const auto found =
        std::ranges::find_if(routers_, [&](const auto& item) { return item->info.instance_id == id; });
    return found == routers_.end() ? -1 : static_cast<int>(found - routers_.begin());
}

void simulation::start_process(int server)
{
    processes_.push_back(std::make_unique<process>(server, static_cast<int>(processes_.size()),
                                                   server >= options_.unchecked, random_));
}

void simulation::write_server_row(int server)
{
    const auto latest = std::ranges::find(processes_.rbegin(), processes_.rend(), server,
                                          [](const auto& item) { return item->server; });
    const auto key = internal::row_key("s" + std::to_string(server));
    auto value = backend_server{};
    std::int64_t version = 0;
    if (const auto held = table_->rows.find(key); held != table_->rows.end())
    {
        value = parse_backend_server(held->second.value);
        version = held->second.version;
    }
    value.id = "s" + std::to_string(server);
    value.service = "fleetdesk";
    value.zone = std::string(1, static_cast<char>('a' + server % 3));
    value.address = {"127.0.0.1", static_cast<unsigned short>((*latest)->number + 1)};
    value.checks_grants = server >= options_.unchecked;
    table_->apply({"address-" + std::to_string(next_order_++), {{key, version, to_json(value)}}});
}

void simulation::tick(int index)
{
    auto& node = *routers_[index];
    refresh_live(index);
    node.state_machine.tick(clock_of(node));
    run_actions(index);
    send_unchecked_work(node);
    schedule_on_router(index, now_ + tick_step, [this, index](router&) { tick(index); });
}

void simulation::refresh_live(int index)
{
    auto& node = *routers_[index];
    std::vector<membership::router_info> live;
    for (const auto& other : routers_)
    {
        const auto suspected = node.suspects.find(other->info.instance_id);
        const bool is_back = suspected != node.suspects.end() && now_ > suspected->second &&
                             now_ >= other->paused_until && !other->is_crashed &&
                             are_linked(index, router_index(other->info.instance_id));
        if (is_back)
        {
            node.suspects.erase(suspected);
        }
        if (!node.suspects.contains(other->info.instance_id) || other.get() == &node)
        {
            live.push_back(other->info);
        }
    }
    if (live != node.live)
    {
        node.live = live;
        node.state_machine.on_live(live, clock_of(node));
    }
}

void simulation::poll_rows(int index)
{
    schedule_on_router(index, now_ + poll_step, [this, index](router&) { poll_rows(index); });
    auto& node = *routers_[index];
    if (!table_->is_up(now_) || now_ < node.isolated_until)
    {
        return;
    }
    const auto arrival = transit();
    const auto changed = table_->changes(node.revision);
    if (!arrival || changed.empty())
    {
        return;
    }
    schedule_on_router(index, *arrival, [this, index, changed](router& target) {
        for (const auto& row : changed)
        {
            target.revision = std::max(target.revision, row.revision);
            target.state_machine.on_row(row, clock_of(target));
        }
        run_actions(index);
    });
}

void simulation::run()
{
    while (!events_.empty() && events_.top().at < options_.end)
    {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
}

void simulation::run_requests()
{
    // Each process receives requests for random keys, which take up to 300 ms and have their effect at the
    // end.
    std::uniform_int_distribution<std::size_t> pick(0, samples_.size() - 1);
    std::uniform_int_distribution<std::int64_t> length(0, 300);
    for (auto& item : processes_)
    {
        auto& node = *item;
        if (node.is_ended || now_ < node.frozen_until || !node.checks_grants)
        {
            continue;
        }
        const auto local = clock_of(node);
        const auto hash = samples_[pick(random_)];
        if (node.grants.covers(hash, local))
        {
            node.work.push_back({hash, now_ + length(random_), node.grants.series()});
        }
        for (const auto& request : node.work)
        {
            const bool is_effective =
                request.end <= now_ && node.grants.permits_effect(request.hash, request.series, local);
            const bool has_other_owner =
                is_effective && std::ranges::any_of(processes_, [&](const auto& other) {
                    return other.get() != item.get() && other->owns(request.hash, now_, clock_of(*other));
                });
            if (has_other_owner)
            {
                throw std::runtime_error("effect of " + node.name() +
                                         " while another process owns the key at " + std::to_string(now_));
            }
        }
        std::erase_if(node.work, [&](const auto& request) { return request.end <= now_; });
    }
}

void simulation::send_unchecked_work(router& node)
{
    for (const auto& [id, row] : node.state_machine.rows())
    {
        if (row.server.checks_grants ||
            node.state_machine.unchecked_authority(id, clock_of(node)) <= duration{0})
        {
            continue;
        }
        const auto target = std::ranges::find(processes_, static_cast<int>(row.server.address.port) - 1,
                                              [](const auto& item) { return item->number; });
        (*target)->unchecked_until = now_ + timing::max_unchecked_deadline.ms;
        (*target)->unchecked_slices = row.server.slices;
    }
}

void simulation::check_single_owner()
{
    for (std::size_t i = 0; i < samples_.size(); ++i)
    {
        const process* first = nullptr;
        for (const auto& item : processes_)
        {
            if (!item->owns(samples_[i], now_, clock_of(*item)))
            {
                continue;
            }
            if (first != nullptr)
            {
                throw std::runtime_error("two owners at " + std::to_string(now_) + ": " + first->name() +
                                         " and " + item->name());
            }
            first = item.get();
        }
        auto& since = ownerless_since_[i];
        if (first != nullptr)
        {
            longest_gap_ = since > 0 ? std::max(longest_gap_, now_ - since) : longest_gap_;
            since = 0;
        }
        else if (since == 0)
        {
            since = now_;
        }
    }
}

bool simulation::is_fully_owned() const
{
    return std::ranges::all_of(samples_, [&](std::uint64_t hash) {
        return std::ranges::any_of(processes_,
                                   [&](const auto& item) { return item->owns(hash, now_, clock_of(*item)); });
    });
}

std::string simulation::describe() const
{
    std::ostringstream out;
    out << "seed " << options_.seed << "\n";
    for (const auto& item : options_.faults)
    {
        out << item << "\n";
    }
    for (const auto& line : log_)
    {
        out << line << "\n";
    }
    for (const auto& [key, row] : table_->rows)
    {
        auto value = row.value;
        const auto count = value.contains("slices") ? value["slices"].size() : 0;
        value.erase("slices");
        out << key << " v" << row.version << " " << count << " slices " << value.dump() << "\n";
    }
    return out.str();
}

} // namespace briarfold::ownership::tests
