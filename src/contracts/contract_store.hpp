/// Edits contracts in the table service and keeps their history.
#pragma once

#include "contracts/edit_types.hpp"
#include "core/asio.hpp"
#include "core/clock.hpp"
#include "store/iobject_store.hpp"
#include "store/itable_store.hpp"

#include <string>

namespace briarfold::contracts {

/// Log rows of a customer that stay in the table after a trim. Every router holds these rows in memory.
constexpr std::size_t log_rows_kept = 4;
/// More log rows than this start a trim.
constexpr std::size_t log_rows_most = 8;
/// Versions in the object of one customer; at 3 edits a day this is about a year, and stays under 1 MiB.
constexpr std::size_t snapshot_entries_most = 1000;

/// Thread-safe. Both stores must outlive it.
class contract_store
{
public:
    contract_store(store::itable_store& table, store::iobject_store& objects)
        : table_(table), objects_(objects)
    {}

    /// Validates, then writes the contract and its log row in one conditional transaction. When the store
    /// gives no answer, reads back until `timeout`. Throws document::invalid_document for a bad document,
    /// core::error for a reused operation id.
    core::asio::awaitable<edit_result> apply(edit wish, core::duration timeout);

    /// Throws store::store_error when the table does not answer.
    core::asio::awaitable<version_history> history(std::string customer, core::duration timeout);

    /// Moves old log rows of the customer to the object store when there are more than log_rows_most.
    /// Returns how many were moved. Two routers may trim at once: one transaction wins. Throws
    /// store::store_error.
    core::asio::awaitable<std::size_t> trim(std::string customer, core::duration timeout);

private:
    /// What the rows tell about an edit whose answer was lost; empty when it has not committed.
    core::asio::awaitable<std::optional<edit_result>> find_committed(edit wish, std::string customer,
                                                                     core::duration timeout);
    core::asio::awaitable<version_history> read_snapshot(std::string customer, core::duration timeout);

    store::itable_store& table_;
    store::iobject_store& objects_;
};

} // namespace briarfold::contracts
