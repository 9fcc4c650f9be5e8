/// Stand-in for the platform's metadata store: tables with transactions, a feed of changes and the failures
/// that the platform announces.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/server.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::standins {

enum class store_mode
{
    serving,
    /// Answers 503.
    busy,
    /// Never answers.
    silent,
    /// Applies writes and loses their answers.
    losing_answers
};

/// Not thread-safe: all calls on the executor's thread. The field `part` of rows is always empty.
class metadata_store
{
public:
    metadata_store(const core::asio::any_io_executor& executor, const http::endpoint& local);

    unsigned short port() const { return server_->port(); }
    void set_mode(store_mode mode) { mode_ = mode; }
    /// Delays each call before it is carried out, and its answer after that.
    void set_delay(core::duration before, core::duration after)
    {
        delay_before_ = before;
        delay_after_ = after;
    }
    /// Calls `hook` whenever a transaction is received.
    void on_transaction(std::function<void()> hook) { on_transaction_ = std::move(hook); }
    /// Discards the history of changes, so that feeds have to start again.
    void compact() { oldest_version_ = version_; }
    /// Takes the copy from which `restore` brings the store back.
    void save_copy() { copy_ = {rows_, version_}; }
    /// Loses all that was written since the last copy and begins the next era.
    void restore();
    /// Keeps the next transaction back and loses its answer.
    void hold_next_write() { holds_next_write_ = true; }
    /// Applies the transaction kept back if its condition holds now; otherwise it stays kept back. Returns
    /// whether it was applied.
    bool apply_held_write();
    /// Returns the version of the newest write.
    std::int64_t version() const { return version_; }
    /// Writes a row as the operator or a backend server does.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    /// Writes a row with any bytes, as another writer may.
    void put_bytes(const std::string& table, const std::string& key, const std::string& bytes);
    void remove(const std::string& table, const std::string& key);
    /// Returns the value of a row, or nothing when it does not exist.
    std::optional<nlohmann::json> get(const std::string& table, const std::string& key) const;
    std::int64_t calls() const { return calls_; }

private:
    struct row
    {
        /// Base64; empty for a deleted row.
        std::optional<std::string> value;
        std::int64_t version = 0;
    };
    using row_id = std::pair<std::string, std::string>;

    struct copy
    {
        std::map<row_id, row> rows;
        std::int64_t version = 0;
    };

    core::asio::awaitable<http::response> handle(http::request message);
    core::asio::awaitable<http::response> serve_call(http::request message);
    http::response transact(const nlohmann::json& document);
    http::response read(const std::map<std::string, std::string>& query) const;
    core::asio::awaitable<http::response> feed(std::map<std::string, std::string> query);
    nlohmann::json make_row_json(const row_id& id, const row& item) const;
    void write(const row_id& id, std::optional<std::string> value);
    void notify_feeds();

    core::asio::any_io_executor executor_;
    std::map<row_id, row> rows_;
    std::int64_t version_ = 0;
    std::int64_t oldest_version_ = 0;
    std::int64_t era_ = 0;
    copy copy_;
    bool holds_next_write_ = false;
    std::optional<nlohmann::json> held_write_;
    std::int64_t calls_ = 0;
    store_mode mode_ = store_mode::serving;
    core::duration delay_before_;
    core::duration delay_after_;
    std::function<void()> on_transaction_;
    std::list<core::asio::steady_timer*> waiting_feeds_;
    std::optional<http::server> server_;
};

} // namespace briarfold::standins
