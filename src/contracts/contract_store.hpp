/// Edits contracts in the table service and keeps their history.
#pragma once

#include "contracts/edit_types.hpp"
#include "core/asio.hpp"
#include "core/clock.hpp"
#include "store/iobject_store.hpp"
#include "store/itable_store.hpp"

#include <string>

namespace briarfold::contracts {

/// Number of log rows per customer that stay in the table after a trim. Every router holds these rows in
/// memory.
constexpr std::size_t log_rows_kept = 4;
/// Number of log rows per customer above which `trim` moves rows.
constexpr std::size_t max_log_rows = 8;
/// Maximum number of versions in the object of one customer: about a year at 3 edits a day, and under 1 MiB.
constexpr std::size_t max_snapshot_entries = 1000;

/// Store of contracts and their version history. Thread-safe. Both stores must outlive it.
class contract_store
{
public:
    contract_store(store::itable_store& table, store::iobject_store& objects)
        : table_(table), objects_(objects)
    {}

    /// Validates the document, then writes the contract and its log row in one conditional transaction. If
    /// the store does not answer, reads the rows back and retries until `timeout`. Throws
    /// document::invalid_document for an invalid document, core::error if the operation id was used for
    /// another document.
    core::asio::awaitable<edit_result> apply(edit request, core::duration timeout);

    /// Returns the versions in the log and the object store. Throws store::store_error if the table does not
    /// answer.
    core::asio::awaitable<version_history> history(std::string customer, core::duration timeout);

    /// Moves old log rows of the customer to the object store when there are more than max_log_rows.
    /// Returns the number of moved rows, 0 if nothing was moved. If two routers trim concurrently, only one
    /// transaction commits. Throws store::store_error.
    core::asio::awaitable<std::size_t> trim(std::string customer, core::duration timeout);

private:
    /// Reads back the outcome of an edit: applied if its operation id is found, conflict if the contract is
    /// at another version, empty if the contract is still at the expected version.
    core::asio::awaitable<std::optional<edit_result>> find_outcome(edit request, std::string customer,
                                                                   core::duration timeout);
    core::asio::awaitable<version_history> read_snapshot(std::string customer, core::duration timeout);

    store::itable_store& table_;
    store::iobject_store& objects_;
};

} // namespace briarfold::contracts
