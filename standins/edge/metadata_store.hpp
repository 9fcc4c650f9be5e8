/// Stand-in of the platform's metadata store: tables with transactions, a feed and the failures that the
/// platform announces.
#pragma once

#include "core/asio.hpp"
#include "http/server.hpp"

#include <nlohmann/json.hpp>

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
    /// Writes are done and their answers lost.
    losing_answers
};

/// Used on one thread. The part of rows is always empty.
class metadata_store
{
public:
    metadata_store(const core::asio::any_io_executor& executor, const http::endpoint& local);

    unsigned short port() const { return server_->port(); }
    void set_mode(store_mode mode) { mode_ = mode; }
    /// Discards the history, so that feeds have to start anew.
    void compact() { oldest_ = version_; }
    /// Writes a row as the operator or a backend server does.
    void put(const std::string& table, const std::string& key, const nlohmann::json& value);
    void remove(const std::string& table, const std::string& key);
    /// Empty when the row does not exist.
    std::optional<nlohmann::json> get(const std::string& table, const std::string& key) const;
    std::int64_t calls() const { return calls_; }

private:
    struct row
    {
        /// Base64; empty for a row that was dropped.
        std::optional<std::string> value;
        std::int64_t version = 0;
    };
    using name = std::pair<std::string, std::string>;

    core::asio::awaitable<http::response> handle(http::request message);
    http::response transact(const nlohmann::json& document);
    http::response read(const std::map<std::string, std::string>& query) const;
    core::asio::awaitable<http::response> feed(std::map<std::string, std::string> query);
    nlohmann::json row_json(const name& id, const row& item) const;
    void write(const name& id, std::optional<std::string> value);
    void wake();

    core::asio::any_io_executor executor_;
    std::map<name, row> rows_;
    std::int64_t version_ = 0;
    std::int64_t oldest_ = 0;
    std::int64_t calls_ = 0;
    store_mode mode_ = store_mode::serving;
    std::list<core::asio::steady_timer*> waiting_;
    std::optional<http::server> server_;
};

} // namespace briarfold::standins
