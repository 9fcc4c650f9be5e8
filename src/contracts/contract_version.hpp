/// A contract with the version, author and time of its last edit.
#pragma once

#include "contracts/contract.hpp"
#include "store/store_types.hpp"

#include <memory>

namespace briarfold::contracts {

/// Row keys are this prefix and the customer.
constexpr std::string_view contract_prefix = "contract/";
/// Earlier versions: `contract-log/<customer>/<version>`, until they are moved to the object store.
constexpr std::string_view log_prefix = "contract-log/";
/// Names the object that holds the versions removed from the log.
constexpr std::string_view snapshot_prefix = "contract-snapshot/";

std::string contract_key(const std::string& customer);

/// Who made a version, and when (wall clock of the router that took the edit).
struct version_info
{
    version_info() = default;
    version_info(std::int64_t number, std::string author_name, std::int64_t wall_ms, std::string operation)
        : version(number), author(std::move(author_name)), time_ms(wall_ms),
          operation_id(std::move(operation))
    {}

    std::int64_t version = 0;
    std::string author;
    std::int64_t time_ms = 0;
    std::string operation_id;

    bool operator==(const version_info&) const = default;
};

nlohmann::json to_json(const version_info& value);

/// Immutable once published. `revision` orders all changes of the table.
struct contract_version
{
    contract_version(contracts::contract document, version_info made, std::int64_t table_revision)
        : contract(std::move(document)), info(std::move(made)), revision(table_revision)
    {}

    contracts::contract contract;
    version_info info;
    std::int64_t revision = 0;

    bool operator==(const contract_version&) const = default;
};

/// Reads author and time of a contract row without checking its document.
version_info read_info(const store::row& row);
/// Throws core::error or document::invalid_document.
contract_version parse_row(const store::row& row);

} // namespace briarfold::contracts
