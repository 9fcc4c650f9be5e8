#include "standins/edge/metadata_store.hpp"

#include "core/encoding.hpp"
#include "core/pause.hpp"
#include "platform/row_table.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using nlohmann::json;

constexpr const char* transaction_path = "/-/rows-tx";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr unsigned status_condition_failed = 412;
constexpr unsigned status_unavailable = 503;

std::string percent_decode(const std::string& text)
{
    constexpr int hex = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hex));
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> read_query(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto start = target.find('?');
    if (start == std::string::npos)
    {
        return query;
    }
    for (const auto part : std::views::split(std::string_view(target).substr(start + 1), '&'))
    {
        const std::string text(part.begin(), part.end());
        const auto equals = text.find('=');
        query[text.substr(0, equals)] =
            equals == std::string::npos ? "" : percent_decode(text.substr(equals + 1));
    }
    return query;
}

} // namespace

metadata_store::metadata_store(const asio::any_io_executor& executor, const http::endpoint& local)
    : executor_(executor)
{
    server_.emplace(executor, local, http::handler([this](http::request message, const http::endpoint&) {
                        return handle(std::move(message));
                    }));
}

void metadata_store::notify_feeds()
{
    std::ranges::for_each(waiting_feeds_, [](asio::steady_timer* timer) { timer->cancel(); });
}

void metadata_store::write(const row_id& id, std::optional<std::string> value)
{
    rows_[id] = {std::move(value), version_};
}

void metadata_store::put(const std::string& table, const std::string& key, const json& value)
{
    put_bytes(table, key, value.dump());
}

void metadata_store::put_bytes(const std::string& table, const std::string& key, const std::string& bytes)
{
    ++version_;
    write({table, key}, core::encode_base64(bytes));
    notify_feeds();
}

void metadata_store::remove(const std::string& table, const std::string& key)
{
    ++version_;
    write({table, key}, std::nullopt);
    notify_feeds();
}

std::optional<json> metadata_store::get(const std::string& table, const std::string& key) const
{
    const auto position = rows_.find({table, key});
    if (position == rows_.end() || !position->second.value)
    {
        return std::nullopt;
    }
    return json::parse(core::decode_base64(*position->second.value));
}

json metadata_store::make_row_json(const row_id& id, const row& item) const
{
    json result = {
        {"table", id.first}, {"part", ""}, {"key", id.second}, {"ver", item.value ? item.version : 0}};
    if (item.value)
    {
        result["value"] = *item.value;
    }
    else
    {
        result["tombstone"] = true;
        result["ver"] = item.version;
    }
    return result;
}

void metadata_store::restore()
{
    rows_ = copy_.rows;
    version_ = copy_.version;
    ++era_;
    notify_feeds();
}

bool metadata_store::apply_held_write()
{
    if (!held_write_ || transact(*held_write_).status != status_ok)
    {
        return false;
    }
    held_write_.reset();
    return true;
}

asio::awaitable<http::response> metadata_store::handle(http::request message)
{
    if (on_transaction_ && message.target == transaction_path)
    {
        on_transaction_();
    }
    const auto delay_after = delay_after_;
    if (delay_before_ > core::duration{})
    {
        co_await core::pause_for(delay_before_);
    }
    auto result = co_await serve_call(std::move(message));
    if (delay_after > core::duration{})
    {
        co_await core::pause_for(delay_after);
    }
    result.headers.emplace_back("Store-Era", std::to_string(era_));
    co_return result;
}

asio::awaitable<http::response> metadata_store::serve_call(http::request message)
{
    ++calls_;
    const auto mode = mode_;
    const auto path = message.target.substr(0, message.target.find('?'));
    if (mode == store_mode::busy)
    {
        co_return http::response(status_unavailable);
    }
    http::response answer(status_not_found);
    const bool is_write = path == transaction_path;
    const bool is_held = is_write && mode != store_mode::silent && std::exchange(holds_next_write_, false);
    if (is_held)
    {
        held_write_ = json::parse(message.body);
    }
    else if (mode != store_mode::silent)
    {
        if (is_write)
        {
            answer = transact(json::parse(message.body));
        }
        else if (path == "/-/rows-get")
        {
            answer = read(read_query(message.target));
        }
        else if (path == "/-/rows-feed")
        {
            answer = co_await feed(read_query(message.target));
        }
    }
    const bool is_lost = is_held || (mode == store_mode::losing_answers && is_write);
    if (mode == store_mode::silent || is_lost)
    {
        asio::steady_timer timer(executor_, std::chrono::seconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return answer;
}

http::response metadata_store::transact(const json& document)
{
    json conflicts = json::array();
    for (const auto& item : document.at("expect"))
    {
        const row_id id(item.at("table").get<std::string>(), item.at("key").get<std::string>());
        const auto position = rows_.find(id);
        const bool exists = position != rows_.end() && position->second.value;
        const auto present = exists ? position->second.version : 0;
        if (present != item.at("ver").get<std::int64_t>() && exists)
        {
            conflicts.push_back(make_row_json(id, position->second));
        }
        else if (present != item.at("ver").get<std::int64_t>())
        {
            conflicts.push_back({{"table", id.first}, {"part", ""}, {"key", id.second}, {"ver", 0}});
        }
    }
    if (!conflicts.empty())
    {
        return http::json_response(status_condition_failed,
                                   json{{"rows", conflicts}, {"ver", version_}}.dump());
    }
    ++version_;
    for (const auto& item : document.at("writes"))
    {
        write({item.at("table").get<std::string>(), item.at("key").get<std::string>()},
              item.at("value").get<std::string>());
    }
    for (const auto& item : document.at("delete"))
    {
        write({item.at("table").get<std::string>(), item.at("key").get<std::string>()}, std::nullopt);
    }
    notify_feeds();
    return http::json_response(status_ok, json{{"ver", version_}, {"now-ms", core::clock::now().ms}}.dump());
}

http::response metadata_store::read(const std::map<std::string, std::string>& query) const
{
    const auto from = query.contains("from") ? query.at("from") : std::string();
    const auto limit = query.contains("limit") ? std::stoul(query.at("limit")) : 500;
    json rows = json::array();
    bool has_more = false;
    for (const auto& [id, item] : rows_)
    {
        if (id.first != query.at("table") || id.second < from || !item.value)
        {
            continue;
        }
        has_more = rows.size() >= limit;
        if (has_more)
        {
            break;
        }
        rows.push_back(make_row_json(id, item));
    }
    return http::json_response(status_ok,
                               json{{"rows", rows}, {"more-pages", has_more}, {"ver", version_}}.dump());
}

asio::awaitable<http::response> metadata_store::feed(std::map<std::string, std::string> query)
{
    const auto after = std::stoll(query.at("after"));
    const auto end = core::clock::now() + core::duration{std::stoll(query.at("wait-ms"))};
    while (true)
    {
        if (mode_ == store_mode::busy)
        {
            co_return http::response(status_unavailable);
        }
        if (after < oldest_version_ || after > version_)
        {
            co_return http::response(status_gone);
        }
        std::map<std::int64_t, json> changed;
        for (const auto& [id, item] : rows_)
        {
            if (id.first == query.at("table") && item.version > after)
            {
                changed.emplace(item.version, make_row_json(id, item));
            }
        }
        const auto left = end - core::clock::now();
        if (!changed.empty() || left.ms <= 0)
        {
            json rows = json::array();
            std::ranges::copy(changed | std::views::values, std::back_inserter(rows));
            http::response answer(status_ok);
            answer.body = json{{"rows", rows}, {"ver", version_}}.dump();
            co_return answer;
        }
        asio::steady_timer timer(executor_, std::chrono::milliseconds(left.ms));
        const auto position = waiting_feeds_.insert(waiting_feeds_.end(), &timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        waiting_feeds_.erase(position);
    }
}

} // namespace briarfold::standins
