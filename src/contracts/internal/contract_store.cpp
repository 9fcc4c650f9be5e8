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
    // Zero-padded, so that the order of keys is the order of versions.
    return fmt::format("{}{}/{:012}", log_prefix, customer, version);
}

std::string log_group(const std::string& customer)
{
    return fmt::format("{}{}/", log_prefix, customer);
}

std::string snapshot_key(const std::string& customer)
{
    return std::string(snapshot_prefix) + customer;
}

nlohmann::json make_value(const edit& wish, const contract& checked, std::int64_t wall_ms)
{
    return {{"document", to_json(checked)}, {"author", wish.author}, {"time_ms", wall_ms}};
}

nlohmann::json make_log_value(const edit& wish, const nlohmann::json& value)
{
    auto log = value;
    log["version"] = wish.expected_version + 1;
    log["operation_id"] = wish.operation_id;
    return log;
}

std::vector<store::row_write> make_writes(const edit& wish, const std::string& customer,
                                          const nlohmann::json& value)
{
    std::vector<store::row_write> writes;
    writes.emplace_back(contract_key(customer), wish.expected_version, value);
    writes.emplace_back(log_key(customer, wish.expected_version + 1), 0, make_log_value(wish, value));
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

edit_result committed(const edit& wish, std::int64_t version, const nlohmann::json& value,
                      std::int64_t revision)
{
    return {edit_status::applied,
            {version, wish.author, value.at("time_ms").get<std::int64_t>(), wish.operation_id},
            revision};
}

edit_result refused(const store::row& winner)
{
    return {edit_status::conflict, read_info(winner), winner.revision,
            winner.version == 0 ? "the contract does not exist" : "another version is in the way"};
}

/// An operation id belongs to one document; a second use would report the first document as applied.
void check_same(const edit& wish, const nlohmann::json& stored)
{
    const auto wanted = to_json(contract::parse(wish.document, "edit"));
    if (!stored.is_object() || !stored.contains("document") || stored.at("document") != wanted)
    {
        throw core::error("apply contract", "",
                          "operation id " + wish.operation_id + " was used for another document");
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

asio::awaitable<edit_result> contract_store::apply(edit wish, core::duration timeout)
{
    const auto checked =
        contract::parse(wish.document, "edit of version " + std::to_string(wish.expected_version));
    const auto value = make_value(wish, checked, core::clock::wall().ms);
    const auto end = core::clock::now() + timeout;
    std::string reason = "the table service did not answer";
    for (auto left = timeout; left.ms > 0; left = end - core::clock::now())
    {
        try
        {
            const auto found = co_await find_committed(wish, checked.customer(), left);
            if (found)
            {
                co_return *found;
            }
            const auto result =
                co_await table_.commit(wish.operation_id, make_writes(wish, checked.customer(), value), left);
            if (result.is_committed)
            {
                co_return committed(wish, wish.expected_version + 1, value, result.revision);
            }
            const auto other = co_await find_committed(wish, checked.customer(), left);
            co_return other.value_or(refused(result.conflicts.front()));
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

asio::awaitable<std::optional<edit_result>> contract_store::find_committed(edit wish, std::string customer,
                                                                           core::duration timeout)
{
    std::optional<edit_result> result;
    const auto row = co_await table_.read(contract_key(customer), timeout);
    if (row && row->operation_id == wish.operation_id)
    {
        check_same(wish, row->value);
        result = committed(wish, row->version, row->value, row->revision);
        co_return result;
    }
    if ((row ? row->version : 0) == wish.expected_version)
    {
        co_return result;
    }
    // Ours may have committed and been replaced since; its log row tells.
    const auto log = co_await table_.read(log_key(customer, wish.expected_version + 1), timeout);
    if (log && log->operation_id == wish.operation_id)
    {
        check_same(wish, log->value);
        result = committed(wish, wish.expected_version + 1, log->value, log->revision);
        co_return result;
    }
    result = refused(row.value_or(store::row(contract_key(customer), 0, 0, "", nullptr)));
    co_return result;
}

asio::awaitable<version_history> contract_store::read_snapshot(std::string customer, core::duration timeout)
{
    version_history result;
    const auto pointer = co_await table_.read(snapshot_key(customer), timeout);
    if (!pointer)
    {
        co_return result;
    }
    const auto text = co_await objects_.get(pointer->value.at("object").get<std::string>(), timeout);
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
    // The log is read first: a trim between the two reads then repeats entries instead of losing them.
    const auto log = co_await table_.read_prefix(log_group(customer), timeout);
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
    const auto log = co_await table_.read_prefix(log_group(customer), timeout);
    if (log.rows.size() <= log_rows_most)
    {
        co_return 0;
    }
    const auto pointer = co_await table_.read(snapshot_key(customer), timeout);
    auto older = co_await read_snapshot(customer, timeout);
    if (!older.is_complete)
    {
        // The object named by the table is missing; a new one without its entries would lose history.
        co_return 0;
    }
    const auto count = log.rows.size() - log_rows_kept;
    std::vector<store::row_write> writes;
    for (const auto& row : log.rows | std::views::take(count))
    {
        older.entries.push_back(to_entry(row.value));
        writes.emplace_back(row.key, row.version, nullptr);
    }
    sort_unique(older.entries);
    const auto surplus = older.entries.size() - std::min(older.entries.size(), snapshot_entries_most);
    auto content = nlohmann::json::array();
    std::ranges::transform(older.entries | std::views::drop(surplus), std::back_inserter(content),
                           [](const history_entry& entry) { return to_json(entry); });
    // The name contains the last version, so two routers that trim at once write equal content or two
    // objects.
    const auto name = fmt::format("contract-history-{}-{}", customer, older.entries.back().info.version);
    co_await objects_.put(name, content.dump(), timeout);
    const auto pointer_version = pointer ? pointer->version : 0;
    nlohmann::json value;
    value["object"] = name;
    value["last_version"] = older.entries.back().info.version;
    writes.emplace_back(snapshot_key(customer), pointer_version, value);
    const auto result = co_await table_.commit(core::make_id("trim"), writes, timeout);
    co_return result.is_committed ? count : 0;
}

} // namespace briarfold::contracts
