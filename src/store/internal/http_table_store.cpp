#include "store/http_table_store.hpp"

#include "core/pause.hpp"
#include "store/connection_pool.hpp"
#include "store/internal/store_json.hpp"

#include <algorithm>

namespace briarfold::store {

namespace asio = core::asio;
using core::clock;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
/// Longest single attempt of a commit, so that a silent connection leaves time for another attempt.
constexpr core::duration attempt_limit{1000};
constexpr core::duration retry_pause{50};
/// Time for the answer of `changes` on top of the wait asked for.
constexpr core::duration changes_grace{1000};

store_error make_error(const char* step, const connection_pool& pool, const std::string& what)
{
    return store_error(step, http::to_string(pool.peer()), what);
}

/// Body of a 200 or 404 answer; throws store_error for everything else.
asio::awaitable<http::response> get(const std::shared_ptr<connection_pool>& pool, const char* step,
                                    std::string target, core::duration timeout)
{
    http::response answer;
    http::request message("GET", std::move(target));
    try
    {
        answer = co_await pool->exchange(std::move(message), timeout);
    }
    catch (const core::error& failure)
    {
        throw make_error(step, *pool, failure.what());
    }
    if (answer.status != status_ok && answer.status != status_not_found)
    {
        throw make_error(step, *pool, "status " + std::to_string(answer.status));
    }
    co_return answer;
}

enum class attempt_state
{
    committed,
    refused,
    unknown
};

struct attempt
{
    attempt_state state = attempt_state::unknown;
    commit_result result;
    std::string reason;
};

attempt read_attempt(const http::response& answer, const std::string& operation_id)
{
    attempt outcome;
    if (answer.status == status_ok)
    {
        outcome.state = attempt_state::committed;
        outcome.result.is_committed = true;
        outcome.result.revision = internal::parse_body(answer.body).at("revision");
        return outcome;
    }
    if (answer.status != status_conflict)
    {
        outcome.reason = "status " + std::to_string(answer.status);
        return outcome;
    }
    outcome.state = attempt_state::refused;
    outcome.result.conflicts = internal::parse_rows(internal::parse_body(answer.body).at("conflicts"));
    const auto own = std::ranges::find(outcome.result.conflicts, operation_id, &row::operation_id);
    if (own != outcome.result.conflicts.end())
    {
        // An earlier attempt committed and its response was lost.
        outcome.state = attempt_state::committed;
        outcome.result.is_committed = true;
        outcome.result.revision = own->revision;
        outcome.result.conflicts.clear();
    }
    return outcome;
}

asio::awaitable<attempt> try_commit(const std::shared_ptr<connection_pool>& pool, const std::string& body,
                                    const std::string& operation_id, core::duration timeout)
{
    attempt outcome;
    try
    {
        http::request message("POST", "/table/transactions");
        message.headers.emplace_back("Content-Type", "application/json");
        message.body = body;
        const auto answer = co_await pool->exchange(std::move(message), timeout);
        outcome = read_attempt(answer, operation_id);
    }
    catch (const std::exception& failure)
    {
        outcome.reason = failure.what();
    }
    co_return outcome;
}

} // namespace

http_table_store::http_table_store(const asio::any_io_executor& executor, const http::endpoint& service)
    : pool_(std::make_shared<connection_pool>(executor, service))
{}

http_table_store::~http_table_store() = default;

asio::awaitable<commit_result> http_table_store::commit(std::string operation_id,
                                                        std::vector<row_write> writes, core::duration timeout)
{
    const auto deadline = clock::now() + timeout;
    const auto body = internal::transaction_body(operation_id, writes);
    std::string reason;
    while (clock::now() < deadline)
    {
        const auto limit = std::min(deadline - clock::now(), attempt_limit);
        auto outcome = co_await try_commit(pool_, body, operation_id, limit);
        if (outcome.state != attempt_state::unknown)
        {
            co_return outcome.result;
        }
        reason = outcome.reason;
        if (clock::now() < deadline)
        {
            auto found = co_await find_committed(operation_id, writes, deadline - clock::now());
            if (found)
            {
                co_return *found;
            }
            co_await core::pause_for(retry_pause);
        }
    }
    throw make_error("table transaction", *pool_, "outcome unknown: " + reason);
}

asio::awaitable<std::optional<commit_result>>
http_table_store::find_committed(std::string operation_id, const std::vector<row_write>& writes,
                                 core::duration timeout)
{
    std::optional<commit_result> result;
    const auto kept =
        std::ranges::find_if(writes, [](const row_write& write) { return !write.value.is_null(); });
    if (kept == writes.end())
    {
        co_return result;
    }
    try
    {
        const auto current = co_await read(kept->key, std::min(timeout, attempt_limit));
        if (current && current->operation_id == operation_id)
        {
            result.emplace();
            result->is_committed = true;
            result->revision = current->revision;
        }
    }
    catch (const store_error&)
    {
        // Still unknown; the caller repeats the write.
    }
    co_return result;
}

asio::awaitable<std::optional<row>> http_table_store::read(std::string key, core::duration timeout)
{
    const auto target = "/table/rows?key=" + internal::url_encode(key);
    const auto answer = co_await get(pool_, "table read", target, timeout);
    std::optional<row> result;
    if (answer.status == status_ok)
    {
        result = internal::parse_row(internal::parse_body(answer.body));
    }
    co_return result;
}

asio::awaitable<row_batch> http_table_store::read_prefix(std::string prefix, core::duration timeout)
{
    const auto target = "/table/rows?prefix=" + internal::url_encode(prefix);
    const auto answer = co_await get(pool_, "table read", target, timeout);
    co_return internal::parse_batch(internal::parse_body(answer.body), "rows");
}

asio::awaitable<row_batch> http_table_store::changes(std::int64_t since, core::duration wait)
{
    const auto target =
        "/table/changes?since=" + std::to_string(since) + "&wait_ms=" + std::to_string(wait.ms);
    const auto answer = co_await get(pool_, "table changes", target, wait + changes_grace);
    co_return internal::parse_batch(internal::parse_body(answer.body), "changes");
}

} // namespace briarfold::store
