#include "contracts/contract_store.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace briarfold::contracts {

namespace {

namespace asio = core::asio;

constexpr core::duration retry_pause{100};

std::string log_key(const std::string& customer, std::int64_t version)
{
    // Zero-padded, so that keys sort by version.
    return fmt::format("{}{}/{:012}", log_prefix, customer, version);
}

std::string customer_log_prefix(const std::string& customer)
{
    return fmt::format("{}{}/", log_prefix, customer);
}

std::string snapshot_key(const std::string& customer)
{
    return std::string(snapshot_prefix) + customer;
}

nlohmann::json make_value(const edit& request, const contract& checked, std::int64_t wall_ms)
{
    return {{"document", to_json(checked)}, {"author", request.author}, {"time_ms", wall_ms}};
}

nlohmann::json make_log_value(const edit& request, const nlohmann::json& value)
{
    auto log = value;
    log["version"] = request.expected_version + 1;
    log["operation_id"] = request.operation_id;
    return log;
}

std::vector<store::row_write> make_writes(const edit& request, const std::string& customer,
                                          const nlohmann::json& value)
{
    std::vector<store::row_write> writes;
    writes.emplace_back(contract_key(customer), request.expected_version, value);
    writes.emplace_back(log_key(customer, request.expected_version + 1), 0, make_log_value(request, value));
    return writes;
}

history_entry to_entry(const nlohmann::json& value)
{
    return {{value.at("version").get<std::int64_t>(), value.at("author").get<std::string>(),
             value.at("time_ms").get<std::int64_t>(), value.at("operation_id").get<std::string>()},
            value.at("document")};
}

nlohmann::json to_json(const history_entry& entry)
{
    auto value = to_json(entry.info);
    value["document"] = entry.document;
    return value;
}

void sort_unique(std::vector<history_entry>& entries)
{
    const auto version = [](const history_entry& entry) { return entry.info.version; };
    std::ranges::sort(entries, {}, version);
    const auto [first, last] = std::ranges::unique(entries, {}, version);
    entries.erase(first, last);
}

edit_result make_applied_result(const edit& request, std::int64_t version, const nlohmann::json& value,
                                std::int64_t revision)
{
    return {edit_status::applied,
            {version, request.author, value.at("time_ms").get<std::int64_t>(), request.operation_id},
            revision};
}

edit_result make_conflict_result(const store::row& current_row)
{
    return {edit_status::conflict, read_info(current_row), current_row.revision,
            current_row.version == 0 ? "the contract does not exist" : "another version is in the way"};
}

/// Throws core::error if the operation id was used for another document: otherwise the edit would be reported
/// as applied although only the first document was.
void check_same_document(const edit& request, const nlohmann::json& stored)
{
    const auto wanted = to_json(contract::parse(request.document, "edit"));
    if (!stored.is_object() || !stored.contains("document") || stored.at("document") != wanted)
    {
        throw core::error("apply contract", "",
                          "operation id " + request.operation_id + " was used for another document");
    }
}

asio::awaitable<void> pause(core::duration span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(span.ms));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

std::string to_string(edit_status value)
{
    switch (value)
    {
    case edit_status::applied:
        return "applied";
    case edit_status::conflict:
        return "conflict";
    case edit_status::unknown:
        break;
    }
    return "unknown";
}

asio::awaitable<edit_result> contract_store::apply(edit request, core::duration timeout)
{
    const auto checked =
        contract::parse(request.document, "edit of version " + std::to_string(request.expected_version));
    const auto value = make_value(request, checked, core::clock::wall().ms);
    const auto deadline = core::clock::now() + timeout;
    std::string reason = "the table service did not answer";
    for (auto remaining = timeout; remaining.ms > 0; remaining = deadline - core::clock::now())
    {
        try
        {
            const auto found = co_await find_outcome(request, checked.customer(), remaining);
            if (found)
            {
                co_return *found;
            }
            const auto result = co_await table_.commit(
                request.operation_id, make_writes(request, checked.customer(), value), remaining);
            if (result.is_committed)
            {
                co_return make_applied_result(request, request.expected_version + 1, value, result.revision);
            }
            const auto other = co_await find_outcome(request, checked.customer(), remaining);
            co_return other.value_or(make_conflict_result(result.conflicts.front()));
        }
        catch (const store::store_error& failure)
        {
            reason = failure.what();
        }
        co_await pause(retry_pause);
    }
    edit_result unknown(edit_status::unknown, version_info(), 0, reason);
    co_return unknown;
}

asio::awaitable<std::optional<edit_result>> contract_store::find_outcome(edit request, std::string customer,
                                                                         core::duration timeout)
{
    std::optional<edit_result> result;
    const auto row = co_await table_.read(contract_key(customer), timeout);
    if (row && row->operation_id == request.operation_id)
    {
        check_same_document(request, row->value);
        result = make_applied_result(request, row->version, row->value, row->revision);
        co_return result;
    }
    if ((row ? row->version : 0) == request.expected_version)
    {
        co_return result;
    }
    // This edit may have committed and been replaced since; its log row shows that.
    const auto log = co_await table_.read(log_key(customer, request.expected_version + 1), timeout);
    if (log && log->operation_id == request.operation_id)
    {
        check_same_document(request, log->value);
        result = make_applied_result(request, request.expected_version + 1, log->value, log->revision);
        co_return result;
    }
    result = make_conflict_result(row.value_or(store::row(contract_key(customer), 0, 0, "", nullptr)));
    co_return result;
}

asio::awaitable<version_history> contract_store::read_snapshot(std::string customer, core::duration timeout)
{
    version_history result;
    const auto snapshot_row = co_await table_.read(snapshot_key(customer), timeout);
    if (!snapshot_row)
    {
        co_return result;
    }
    const auto text = co_await objects_.get(snapshot_row->value.at("object").get<std::string>(), timeout);
    if (!text)
    {
        result.is_complete = false;
        co_return result;
    }
    std::ranges::transform(nlohmann::json::parse(*text), std::back_inserter(result.entries), to_entry);
    co_return result;
}

asio::awaitable<version_history> contract_store::history(std::string customer, core::duration timeout)
{
    // Reads the log first: a trim between the two reads then duplicates entries instead of losing them.
    const auto log = co_await table_.read_prefix(customer_log_prefix(customer), timeout);
    version_history result;
    try
    {
        result = co_await read_snapshot(customer, timeout);
    }
    catch (const store::store_error&)
    {
        result.is_complete = false;
    }
    std::ranges::transform(log.rows, std::back_inserter(result.entries),
                           [](const store::row& row) { return to_entry(row.value); });
    sort_unique(result.entries);
    co_return result;
}

asio::awaitable<std::size_t> contract_store::trim(std::string customer, core::duration timeout)
{
    const auto log = co_await table_.read_prefix(customer_log_prefix(customer), timeout);
    if (log.rows.size() <= max_log_rows)
    {
        co_return 0;
    }
    const auto snapshot_row = co_await table_.read(snapshot_key(customer), timeout);
    auto snapshot = co_await read_snapshot(customer, timeout);
    if (!snapshot.is_complete)
    {
        // The object named by the table is missing; a new one without its entries would lose history.
        co_return 0;
    }
    const auto count = log.rows.size() - log_rows_kept;
    std::vector<store::row_write> writes;
    for (const auto& row : log.rows | std::views::take(count))
    {
        snapshot.entries.push_back(to_entry(row.value));
        writes.emplace_back(row.key, row.version, nullptr);
    }
    sort_unique(snapshot.entries);
    const auto surplus = snapshot.entries.size() - std::min(snapshot.entries.size(), max_snapshot_entries);
    auto content = nlohmann::json::array();
    std::ranges::transform(snapshot.entries | std::views::drop(surplus), std::back_inserter(content),
                           [](const history_entry& entry) { return to_json(entry); });
    // The name contains the last version, so two routers that trim concurrently write either the same content
    // or different objects.
    const auto name = fmt::format("contract-history-{}-{}", customer, snapshot.entries.back().info.version);
    co_await objects_.put(name, content.dump(), timeout);
    const auto snapshot_row_version = snapshot_row ? snapshot_row->version : 0;
    nlohmann::json value;
    value["object"] = name;
    value["last_version"] = snapshot.entries.back().info.version;
    writes.emplace_back(snapshot_key(customer), snapshot_row_version, value);
    const auto result = co_await table_.commit(core::make_id("trim"), writes, timeout);
    co_return result.is_committed ? count : 0;
}

} // namespace briarfold::contracts
