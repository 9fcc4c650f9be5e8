#include "standins/platform/table.hpp"

#include <algorithm>

namespace briarfold::standins {

nlohmann::json to_json(const table_row& row)
{
    return {{"key", row.key},
            {"version", row.version},
            {"revision", row.revision},
            {"operation_id", row.operation_id},
            {"value", row.value}};
}

const table_row* table::find(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second;
}

std::vector<table_row> table::with_prefix(const std::string& prefix) const
{
    std::vector<table_row> found;
    for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it)
    {
        found.push_back(it->second);
    }
    return found;
}

table_commit table::commit(const std::string& operation_id, const std::vector<table_write>& writes)
{
    table_commit result;
    for (const auto& write : writes)
    {
        const auto* const held = find(write.key);
        if ((held == nullptr ? 0 : held->version) != write.expected_version)
        {
            result.rows.push_back(held == nullptr ? table_row{write.key, 0, 0, "", nullptr} : *held);
        }
    }
    if (!result.rows.empty())
    {
        result.revision = revision_;
        return result;
    }
    result.is_committed = true;
    result.revision = ++revision_;
    for (const auto& write : writes)
    {
        const table_row row{write.key, write.expected_version + 1, revision_, operation_id, write.value};
        if (write.value.is_null())
        {
            rows_.erase(write.key);
        }
        else
        {
            rows_[write.key] = row;
        }
        log_.push_back(row);
        result.rows.push_back(row);
    }
    while (log_.size() > log_length_)
    {
        forgotten_revision_ = log_.front().revision;
        log_.pop_front();
    }
    return result;
}

table_changes table::changes(std::int64_t since) const
{
    table_changes result;
    result.revision = revision_;
    result.is_truncated = since < forgotten_revision_;
    if (result.is_truncated)
    {
        return result;
    }
    std::map<std::string, table_row> newest;
    for (const auto& row : log_)
    {
        if (row.revision > since)
        {
            newest[row.key] = row;
        }
    }
    for (auto& [key, row] : newest)
    {
        result.rows.push_back(std::move(row));
    }
    std::ranges::stable_sort(result.rows, {}, &table_row::revision);
    return result;
}

} // namespace briarfold::standins
