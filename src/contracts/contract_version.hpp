/// A contract with the version, author and time of its last edit.
#pragma once

#include "contracts/contract.hpp"
#include "store/store_types.hpp"

#include <memory>

namespace briarfold::contracts {

/// Prefix of contract row keys; the customer name follows.
constexpr std::string_view contract_prefix = "contract/";
/// Prefix of log row keys, `contract-log/<customer>/<version>`. A log row holds one version until a trim
/// moves it to the object store.
constexpr std::string_view log_prefix = "contract-log/";
/// Prefix of the keys of rows that name the object with the versions moved out of the log.
constexpr std::string_view snapshot_prefix = "contract-snapshot/";

std::string contract_key(const std::string& customer);

/// Number, author, time and operation id of a version. The time is the wall clock of the router that accepted
/// the edit.
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

/// A contract with its version information and table revision. Immutable once published; `revision` orders
/// all changes of the table.
struct contract_version
{
    contract_version(contracts::contract document, version_info edit_info, std::int64_t table_revision)
        : contract(std::move(document)), info(std::move(edit_info)), revision(table_revision)
    {}

    contracts::contract contract;
    version_info info;
    std::int64_t revision = 0;

    bool operator==(const contract_version&) const = default;
};

/// Returns the version information of a contract row without checking its document. A missing or malformed
/// author is empty, a missing or malformed time is 0.
version_info read_info(const store::row& row);
/// Parses a contract row. Throws core::error when the row has no document or its key does not match the
/// customer, document::invalid_document when the document is invalid.
contract_version parse_row(const store::row& row);

} // namespace briarfold::contracts
