/// Loads contracts from the replica and never reverts to an older version.
#pragma once

#include "contracts/icontracts.hpp"
#include "replica/ireplica.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace briarfold::contracts {

/// Registry of the newest readable contract versions. While the replica is not confirmed, the registry keeps
/// the versions it has: a store outage must not stop traffic, and no edit commits while the store is down. It
/// reports the copy as unconfirmed, so that operators do not assume that a change is in force on this router,
/// and unknown customers get 503 instead of 403. The registry is empty until the first rows arrive.
class contract_registry : public icontracts
{
public:
    /// Registers itself with the replica, which must outlive it. `now` replaces the clock in tests.
    explicit contract_registry(replica::ireplica& replica,
                               std::function<core::time_point()> now = core::clock::now);

    lookup_result find(std::string_view customer) const override;
    std::shared_ptr<const contract_table> current() const override;
    core::duration unconfirmed_for() const override;
    void on_applied(applied_hook hook) override;

private:
    void update(const replica::snapshot& rows, const std::vector<store::row>& changes);
    /// Calls the hooks for pending versions. Returns at once if another thread is calling them.
    void deliver();
    /// Applies `row` to the table as a version in force, a rejected version or a deletion. Returns the
    /// version that came into force, or null.
    static contract_pointer apply(contract_table& table, const store::row& row);

    replica::ireplica& replica_;
    std::function<core::time_point()> now_;
    mutable std::mutex mutex_;
    std::shared_ptr<const contract_table> current_;
    /// Highest revision seen for each customer, deletions included.
    std::map<std::string, std::int64_t, std::less<>> revisions_;
    std::vector<contract_pointer> pending_;
    bool is_delivering_ = false;
    std::vector<applied_hook> hooks_;
};

} // namespace briarfold::contracts
