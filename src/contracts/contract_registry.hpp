/// Takes contracts from the replica and never goes back to an older version.
#pragma once

#include "contracts/icontracts.hpp"
#include "replica/ireplica.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace briarfold::contracts {

/// A router whose replica is not confirmed keeps serving under the newest version it has: a store outage
/// must not stop traffic, and no edit commits while the store is down. It reports its copy as unconfirmed, so
/// an operator does not take a change for in force there, and it refuses customers it does not know with 503
/// instead of 403. Before the first rows arrive it knows nobody.
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
    /// Calls the hooks for pending versions.
    void deliver();
    /// Puts `row` into the table as in force, rejected or deleted. Returns the version that came into force.
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
