/// The contracts in force on this router.
#pragma once

#include "contracts/contract_version.hpp"
#include "core/clock.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace briarfold::contracts {

using contract_pointer = std::shared_ptr<const contract_version>;

/// A newer version that this router cannot read; the version before it stays in force.
struct rejected_version
{
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::string reason;

    bool operator==(const rejected_version&) const = default;
};

/// All contracts at one table revision; never changes once published. Revision 0: nothing was loaded yet.
struct contract_table
{
    std::int64_t revision = 0;
    std::map<std::string, contract_pointer, std::less<>> contracts;
    std::map<std::string, rejected_version, std::less<>> rejected;
};

/// Answer to a lookup. Without a contract, `is_certain` tells an unknown customer (403) from a router that
/// cannot know (503, not run, try again), because its copy of the table is absent or not confirmed.
struct lookup_result
{
    contract_pointer contract;
    bool is_certain = false;
};

/// A contract change is in force everywhere within 5 s, so a copy that was not confirmed for that long may
/// be outdated.
constexpr core::duration confirmation_bound{5000};

using applied_hook = std::function<void(const contract_pointer&)>;

/// Thread-safe.
class icontracts
{
public:
    virtual ~icontracts() = default;

    virtual lookup_result find(std::string_view customer) const = 0;
    virtual std::shared_ptr<const contract_table> current() const = 0;
    /// Time since the copy of the table was last known to be current.
    virtual core::duration unconfirmed_for() const = 0;
    /// Called after a version came into force, with rising versions for each customer; holds no lock. Hooks
    /// are registered before the replica's feed starts.
    virtual void on_applied(applied_hook hook) = 0;
};

} // namespace briarfold::contracts
