/// Enforces the limits of all customers on this router, with shares leased from their coordinators.
#pragma once

#include "core/asio.hpp"
#include "limits/customer_limit.hpp"
#include "limits/ilimiter.hpp"
#include "limits/retry_budget.hpp"
#include "limits/share_coordinator.hpp"
#include "membership/imembership.hpp"
#include "metrics/registry.hpp"
#include "wire/ipeer_rpc.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace briarfold::limits {

shared_limits shared_limits_of(const contracts::contract_version& contract);

/// The coordinator of a customer is the first router in rendezvous order for "limits/<customer>". This router
/// answers the method `shares` for customers whose limits it can look up.
class limiter : public ilimiter, public std::enable_shared_from_this<limiter>
{
public:
    /// Returns the limits of a customer's contract in force; empty when there is none.
    using limits_lookup = std::function<std::optional<shared_limits>(const std::string& customer)>;

    /// Objects passed by reference must outlive the limiter. Registers the method `shares`. Create with
    /// std::make_shared.
    limiter(wire::ipeer_rpc& rpc, membership::imembership& membership, metrics::registry& metrics,
            limits_lookup lookup, std::function<core::time_point()> now = core::clock::now);

    admission admit(const contracts::contract_version& contract) override;
    bool take_retry(const contracts::contract_version& contract) override;

    /// Requests shares until `stop` is called. Never throws.
    core::asio::awaitable<void> run();
    void stop() { is_stopping_ = true; }
    /// Grants a share as the coordinator. Throws core::error for an unknown customer.
    share_grant grant(const std::string& router, const share_request& request);

private:
    struct entry
    {
        entry(const std::string& customer, const shared_limits& limits, std::size_t routers,
              core::time_point now)
            : limit(customer, limits, routers, now)
        {}

        customer_limit limit;
        retry_budget retries;
    };

    class permit_guard;
    using entry_pointer = std::shared_ptr<entry>;

    /// The caller holds the lock.
    entry& find_or_create(const contracts::contract_version& contract, core::time_point now);
    void release(const std::weak_ptr<entry>& owner);
    /// Removes the coordinators of customers that another router coordinates now: when such a customer
    /// returns, this router does not know the leases granted in the meantime.
    void remove_reassigned_customers(const membership::live_routers& live);
    std::vector<share_request> due_requests(core::time_point now);
    core::asio::awaitable<void> request_share(share_request request);
    void on_answer(const std::string& customer, const std::optional<share_grant>& answer,
                   core::time_point sent);

    wire::ipeer_rpc& rpc_;
    membership::imembership& membership_;
    metrics::registry& metrics_;
    const limits_lookup lookup_;
    const std::function<core::time_point()> now_;
    metrics::counter& requests_sent_;
    metrics::counter& requests_failed_;
    std::mutex mutex_;
    std::map<std::string, entry_pointer> customers_;
    std::map<std::string, share_coordinator> coordinated_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace briarfold::limits
