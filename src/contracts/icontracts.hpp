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

/// All contracts at one table revision. Immutable once published. Revision 0 means that nothing is loaded
/// yet.
struct contract_table
{
    std::int64_t revision = 0;
    std::map<std::string, contract_pointer, std::less<>> contracts;
    std::map<std::string, rejected_version, std::less<>> rejected;
};

/// Result of a contract lookup. If `contract` is null, a true `is_certain` means that the customer is unknown
/// (403); false means that the router's copy of the table is absent or not confirmed, so the customer may
/// exist (503, not run, the client may retry).
struct lookup_result
{
    contract_pointer contract;
    bool is_certain = false;
};

/// Age of the last confirmation from which a copy of the table may be outdated: a contract change is in force
/// on all routers within 5 s.
constexpr core::duration confirmation_bound{5000};

using applied_hook = std::function<void(const contract_pointer&)>;

/// Access to the contracts in force on this router. Thread-safe.
class icontracts
{
public:
    virtual ~icontracts() = default;

    virtual lookup_result find(std::string_view customer) const = 0;
    virtual std::shared_ptr<const contract_table> current() const = 0;
    /// Returns the time since the copy of the table was last confirmed as current.
    virtual core::duration unconfirmed_for() const = 0;
    /// Registers a hook that is called after a version comes into force, in ascending version order for each
    /// customer and without a lock held. Register hooks before the replica's feed starts.
    virtual void on_applied(applied_hook hook) = 0;
};

} // namespace briarfold::contracts
