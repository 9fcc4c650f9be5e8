/// The rows of the platform stand-in, with a global revision and a change log of settable length.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace briarfold::standins {

struct table_row
{
    std::string key;
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::string operation_id;
    /// Null for a deleted row.
    nlohmann::json value;
};

nlohmann::json to_json(const table_row& row);

struct table_write
{
    std::string key;
    /// 0 means that the row must be absent.
    std::int64_t expected_version = 0;
    nlohmann::json value;
};

/// Either the rows written or the rows that refused the transaction (absent rows with version 0).
struct table_commit
{
    bool is_committed = false;
    std::int64_t revision = 0;
    std::vector<table_row> rows;
};

struct table_changes
{
    std::int64_t revision = 0;
    std::vector<table_row> rows;
    bool is_truncated = false;
};

/// Not thread-safe.
class table
{
public:
    explicit table(std::size_t log_length) : log_length_(log_length) {}

    std::int64_t revision() const { return revision_; }
    const table_row* find(const std::string& key) const;
    std::vector<table_row> with_prefix(const std::string& prefix) const;
    /// Commits all writes or none.
    table_commit commit(const std::string& operation_id, const std::vector<table_write>& writes);
    /// The newest change of each row after revision `since`.
    table_changes changes(std::int64_t since) const;

private:
    std::size_t log_length_;
    std::int64_t revision_ = 0;
    std::map<std::string, table_row> rows_;
    std::deque<table_row> log_;
    /// Revision of the newest change that has left the log.
    std::int64_t forgotten_revision_ = 0;
};

} // namespace briarfold::standins
