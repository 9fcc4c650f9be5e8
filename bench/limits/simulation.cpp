#include "simulation.hpp"

#include "limits/customer_limit.hpp"
#include "limits/share_coordinator.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>

namespace briarfold::bench {

namespace {

constexpr double ms_per_second = 1000;
constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t one_way_ms = 1;
constexpr std::int64_t service_ms = 20;
constexpr std::int64_t poll_ms = 10;
constexpr std::int64_t successor_delay_ms = 2000;
/// Start of the simulated clock; not zero.
constexpr std::int64_t start_ms = 1000000;

struct message
{
    std::size_t router = 0;
    limits::share_request request;
    core::time_point sent;
};

class simulation
{
public:
    simulation(const scenario& input, policy selected_policy)
        : input_(input), policy_(selected_policy), limits_{input.limit_per_s, input.burst, input.concurrency},
          random_(input.seed), coordinator_(limits::share_coordinator(limits_, {start_ms})),
          ideal_(input.limit_per_s, input.burst, {start_ms}), per_router_(input.routers),
          ideal_per_router_(input.routers)
    {
        const auto equal = limits::equal_share(limits_, input.routers);
        for (std::size_t i = 0; i < input.routers; ++i)
        {
            leased_.emplace_back("customer", limits_, input.routers, core::time_point{start_ms});
            fixed_.emplace_back(equal.rate, equal.burst, core::time_point{start_ms});
        }
    }

    simulation_result run()
    {
        for (std::int64_t step = 0; step < input_.duration_ms; ++step)
        {
            now_ = {start_ms + step};
            update_coordinator(step);
            end_requests();
            deliver();
            arrivals(step);
            if (policy_ == policy::leased && step % poll_ms == 0)
            {
                poll();
            }
        }
        return finish();
    }

private:
    void update_coordinator(std::int64_t step)
    {
        if (std::ranges::count(input_.coordinator_losses, step) > 0)
        {
            coordinator_.reset();
            successor_at_ = now_ + core::duration{successor_delay_ms};
        }
        if (!coordinator_ && now_ >= successor_at_)
        {
            coordinator_.emplace(limits_, now_);
        }
    }

    void end_requests()
    {
        for (const auto router : ending_requests_[now_.ms])
        {
            leased_[router].release();
        }
        ending_requests_.erase(now_.ms);
    }

    void arrivals(std::int64_t step)
    {
        for (std::size_t router = 0; router < input_.routers; ++router)
        {
            std::poisson_distribution<int> count(input_.offered(router, step) / ms_per_second);
            for (int i = count(random_); i > 0; --i)
            {
                arrive(router);
            }
        }
    }

    void arrive(std::size_t router)
    {
        ++result_.offered;
        ideal_per_router_[router] += ideal_.take(now_) ? 0 : 1;
        if (!is_admitted(router))
        {
            return;
        }
        ++per_router_[router];
        admitted_at_.push_back(now_.ms);
    }

    bool is_admitted(std::size_t router)
    {
        if (policy_ == policy::fixed_split)
        {
            return !fixed_[router].take(now_);
        }
        if (leased_[router].admit(now_).limit != limits::limit_kind::none)
        {
            return false;
        }
        ending_requests_[now_.ms + service_ms].push_back(router);
        return true;
    }

    void poll()
    {
        for (std::size_t router = 0; router < input_.routers; ++router)
        {
            if (auto request = leased_[router].next_request(now_))
            {
                count(to_json(*request).dump().size());
                requests_[now_.ms + one_way_ms].push_back({router, *request, now_});
            }
        }
    }

    void deliver()
    {
        for (const auto& item : requests_[now_.ms])
        {
            if (!coordinator_)
            {
                leased_[item.router].on_failure(now_);
                continue;
            }
            const auto grant = coordinator_->grant("router-" + std::to_string(item.router), item.request,
                                                   input_.routers, now_);
            count(to_json(grant).dump().size());
            // The answer arrives without delay; only the delay of the request is simulated.
            leased_[item.router].on_grant(grant, item.sent, now_);
        }
        requests_.erase(now_.ms);
    }

    void count(std::size_t bytes)
    {
        ++messages_;
        bytes_ += static_cast<std::int64_t>(bytes);
    }

    double second_overshoot() const
    {
        std::size_t max_count = 0;
        for (std::size_t first = 0, last = 0; last < admitted_at_.size(); ++last)
        {
            while (admitted_at_[last] - admitted_at_[first] >= second_ms)
            {
                ++first;
            }
            max_count = std::max(max_count, last - first + 1);
        }
        return std::max(0.0, static_cast<double>(max_count) - input_.limit_per_s - input_.burst) /
               input_.limit_per_s;
    }

    simulation_result finish()
    {
        const auto sum = [](const std::vector<std::int64_t>& list) {
            std::int64_t total = 0;
            std::ranges::for_each(list, [&total](std::int64_t value) { total += value; });
            return total;
        };
        const auto seconds = static_cast<double>(input_.duration_ms) / ms_per_second;
        result_.admitted = sum(per_router_);
        result_.ideal = sum(ideal_per_router_);
        const auto allowed = input_.limit_per_s * seconds;
        result_.total_overshoot =
            std::max(0.0, static_cast<double>(result_.admitted) - allowed - input_.burst) / allowed;
        result_.max_second_overshoot = second_overshoot();
        result_.starvation = std::max(0.0, static_cast<double>(result_.ideal - result_.admitted) /
                                               static_cast<double>(result_.ideal));
        for (std::size_t router = 0; router < input_.routers; ++router)
        {
            const auto ideal = static_cast<double>(std::max<std::int64_t>(ideal_per_router_[router], 1));
            result_.min_router_share =
                std::min(result_.min_router_share, static_cast<double>(per_router_[router]) / ideal);
        }
        const auto router_seconds = seconds * static_cast<double>(input_.routers);
        result_.messages_per_router_s = static_cast<double>(messages_) / router_seconds;
        result_.bytes_per_router_s = static_cast<double>(bytes_) / router_seconds;
        return result_;
    }

    const scenario& input_;
    policy policy_;
    limits::shared_limits limits_;
    std::mt19937_64 random_;
    core::time_point now_{start_ms};
    std::optional<limits::share_coordinator> coordinator_;
    core::time_point successor_at_;
    std::vector<limits::customer_limit> leased_;
    std::vector<limits::token_bucket> fixed_;
    limits::token_bucket ideal_;
    std::vector<std::int64_t> per_router_;
    std::vector<std::int64_t> ideal_per_router_;
    std::vector<std::int64_t> admitted_at_;
    std::map<std::int64_t, std::vector<std::size_t>> ending_requests_;
    std::map<std::int64_t, std::vector<message>> requests_;
    std::int64_t messages_ = 0;
    std::int64_t bytes_ = 0;
    simulation_result result_;
};

} // namespace

simulation_result simulate(const scenario& input, policy selected_policy)
{
    return simulation(input, selected_policy).run();
}

} // namespace briarfold::bench
