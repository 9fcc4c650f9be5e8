/// Tests in simulated time how one customer's overload affects another at the queue of a backend server.
#include "limits/token_bucket.hpp"
#include "routing/internal/fair_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace briarfold;

namespace {

constexpr std::size_t slots = 6;
constexpr std::int64_t service_ms = 20;
constexpr std::int64_t duration_ms = 60000;
/// 6 slots at 20 ms serve 300 requests/s; both contracts together allow two thirds of that.
constexpr double limit_per_s = 100;

struct waiting_request : routing::internal::queue_item
{
    std::string customer;
    std::int64_t arrived = 0;
};

/// Returns the 99th percentile of the time in milliseconds that requests of the customer "quiet" spend in the
/// queue and at the backend server, while the customer "noisy" offers `factor` times its limit. With
/// `is_limited`, the limit of "noisy" applies before the queue.
std::int64_t quiet_latency(double factor, bool is_limited)
{
    std::mt19937_64 random(11);
    std::poisson_distribution<int> quiet(limit_per_s / 1000 * 0.8);
    std::poisson_distribution<int> noisy(limit_per_s / 1000 * factor);
    limits::token_bucket bucket(limit_per_s, limit_per_s / 10, {0});
    routing::internal::fair_queue queue(100);
    std::multimap<std::int64_t, std::string> running;
    std::vector<std::int64_t> latencies;
    const auto arrive = [&](const std::string& customer, std::int64_t now) {
        auto item = std::make_shared<waiting_request>();
        item->customer = customer;
        item->arrived = now;
        queue.push(customer, 0.5, item);
    };
    for (std::int64_t now = 0; now < duration_ms; ++now)
    {
        while (!running.empty() && running.begin()->first <= now)
        {
            queue.on_finish(running.begin()->second, {service_ms});
            running.erase(running.begin());
        }
        for (int i = quiet(random); i > 0; --i)
        {
            arrive("quiet", now);
        }
        for (int i = noisy(random); i > 0; --i)
        {
            if (!is_limited || !bucket.take({now}))
            {
                arrive("noisy", now);
            }
        }
        while (running.size() < slots && !queue.empty())
        {
            const auto item = std::static_pointer_cast<waiting_request>(queue.pop());
            queue.on_start(item->customer, 0.5);
            running.emplace(now + service_ms, item->customer);
            if (item->customer == "quiet")
            {
                latencies.push_back(now + service_ms - item->arrived);
            }
        }
    }
    std::ranges::sort(latencies);
    return latencies[latencies.size() * 99 / 100];
}

} // namespace

// Guards against one customer's overload that delays another. The stated bound is one service time, since a
// request may find every slot just taken.
BOOST_AUTO_TEST_CASE(ten_times_the_limit_does_not_delay_another_customer)
{
    const auto baseline = quiet_latency(1, true);
    const auto limited = quiet_latency(10, true);
    const auto unlimited = quiet_latency(10, false);
    BOOST_TEST_MESSAGE("P99 of the other customer: " << baseline << " ms; at ten times the limit " << limited
                                                     << " ms; without the limit " << unlimited << " ms");
    BOOST_TEST(limited <= baseline + service_ms);
    BOOST_TEST(unlimited <= baseline + service_ms);
}
