/// Plain data of the platform's table service.
#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::store {

/// Point in the history of the store. The era comes first: a store that comes back from an older copy is in a
/// later era, and its counter goes on from an earlier number. A store that is never restored stays in era 0.
struct position
{
    std::int64_t era = 0;
    std::int64_t number = 0;

    auto operator<=>(const position&) const = default;
};

/// One row. `value` is null in a change that deletes the row.
struct row
{
    row() = default;
    row(std::string row_key, std::int64_t row_version, std::int64_t row_revision, std::string operation,
        nlohmann::json row_value)
        : key(std::move(row_key)), version(row_version), revision(row_revision),
          operation_id(std::move(operation)), value(std::move(row_value))
    {}

    std::string key;
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::string operation_id;
    nlohmann::json value;
    /// Era of the store in which the row was read.
    std::int64_t era = 0;

    store::position position() const { return {era, version}; }
    bool operator==(const row&) const = default;
};

/// A conditional write. `expected_version` 0 means that the row must be absent; a null `value` deletes it.
struct row_write
{
    row_write() = default;
    row_write(std::string row_key, std::int64_t expected, nlohmann::json new_value)
        : key(std::move(row_key)), expected_version(expected), value(std::move(new_value))
    {}

    std::string key;
    std::int64_t expected_version = 0;
    nlohmann::json value;

    bool operator==(const row_write&) const = default;
};

/// Either committed at `revision`, or refused because of the rows in `conflicts` (absent rows have version
/// 0).
struct commit_result
{
    bool is_committed = false;
    std::int64_t revision = 0;
    std::vector<row> conflicts;
    /// Era of the store that answered.
    std::int64_t era = 0;

    bool operator==(const commit_result&) const = default;
};

/// Rows changed up to `revision`. `is_truncated`: the log no longer reaches back far enough, read all rows.
struct row_batch
{
    std::int64_t revision = 0;
    std::vector<row> rows;
    bool is_truncated = false;
    /// Era of the store that answered. Changes after a revision of an earlier era may be missing.
    std::int64_t era = 0;

    store::position position() const { return {era, revision}; }

    bool operator==(const row_batch&) const = default;
};

} // namespace briarfold::store
