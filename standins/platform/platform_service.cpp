#include "standins/platform/platform_service.hpp"

#include "core/error.hpp"
#include "core/pause.hpp"

#include <algorithm>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;
/// An answer counts as lost when it comes later than any client waits.
constexpr core::duration lost_answer_delay{60000};
constexpr core::duration hang_check_interval{20};

http::response reply(unsigned status, const json& body)
{
    return http::json_response(status, body.dump());
}

http::response refusal(unsigned status, const std::string& why)
{
    return reply(status, {{"error", why}});
}

json rows_to_json(const std::vector<table_row>& rows)
{
    auto list = json::array();
    std::ranges::transform(rows, std::back_inserter(list), [](const table_row& row) { return to_json(row); });
    return list;
}

bool is_table_or_object(const target& where)
{
    return where.path.starts_with("/table/") || where.path.starts_with("/objects/") ||
           where.path == "/instances";
}

} // namespace

platform_service::platform_service(asio::any_io_executor executor, platform_options options,
                                   history::writer& history)
    : executor_(std::move(executor)), options_(std::move(options)), history_(history),
      table_(options_.log_length), writes_(options_.writes_per_s), reads_(options_.reads_per_s)
{}

asio::awaitable<http::response> platform_service::answer(http::request message)
{
    const auto where = parse_target(message.target);
    if (is_table_or_object(where) && !co_await pass_faults())
    {
        co_return refusal(status_unavailable, "service is down");
    }
    if (where.path == "/table/transactions" && message.method == "POST")
    {
        co_return co_await answer_transaction(std::move(message));
    }
    if (where.path == "/table/changes" && message.method == "GET")
    {
        co_return co_await answer_changes(where);
    }
    co_return answer_at_once(message, where);
}

asio::awaitable<bool> platform_service::pass_faults()
{
    if (is_faulty() && mode_ == fault_mode::slow)
    {
        co_await core::pause_for(delay_);
    }
    while (is_faulty() && mode_ == fault_mode::hang)
    {
        co_await core::pause_for(hang_check_interval);
    }
    co_return !(is_faulty() && mode_ == fault_mode::down);
}

bool platform_service::is_faulty()
{
    if (fault_end_.ms != 0 && core::clock::now() >= fault_end_)
    {
        mode_ = fault_mode::up;
    }
    return mode_ != fault_mode::up;
}

asio::awaitable<http::response> platform_service::answer_transaction(http::request message)
{
    auto result = commit(message);
    if (result.status == status_ok && answers_to_lose_ > 0)
    {
        --answers_to_lose_;
        co_await core::pause_for(lost_answer_delay);
    }
    co_return result;
}

http::response platform_service::commit(const http::request& message)
{
    std::string operation_id;
    std::vector<table_write> writes;
    try
    {
        const auto body = json::parse(message.body);
        operation_id = body.at("operation_id");
        for (const auto& item : body.at("writes"))
        {
            auto& write = writes.emplace_back();
            write = {item.at("key"), item.at("expected_version"), item.at("value")};
            map_ports(write.key, write.value);
        }
    }
    catch (const json::exception& failure)
    {
        return refusal(status_bad_request, failure.what());
    }
    if (!writes_.take(writes.size(), core::clock::now()))
    {
        return refusal(status_too_many, "more writes than the service takes");
    }
    const auto result = table_.commit(operation_id, writes);
    if (!result.is_committed)
    {
        return reply(status_conflict, {{"conflicts", rows_to_json(result.rows)}});
    }
    record(result);
    wake_all();
    auto versions = json::object();
    for (const auto& row : result.rows)
    {
        versions[row.key] = row.version;
    }
    return reply(status_ok, {{"revision", result.revision}, {"versions", std::move(versions)}});
}

void platform_service::map_ports(const std::string& key, json& value) const
{
    if (!key.starts_with("router/") || !value.is_object())
    {
        return;
    }
    for (const auto* field : {"peer_port", "udp_port"})
    {
        const auto found = options_.router_ports.find(value.value(field, static_cast<unsigned short>(0)));
        if (found != options_.router_ports.end())
        {
            value[field] = found->second;
        }
    }
}

void platform_service::record(const table_commit& result)
{
    for (const auto& row : result.rows)
    {
        if (row.key.starts_with("backend-server/") && row.value.is_object())
        {
            history::assignment_fields line;
            line.source = "store";
            line.backend_server = row.value.value("id", "");
            line.service = row.value.value("service", "");
            line.intent = row.value.value("intent", "");
            line.row_version = row.version;
            line.revision = row.revision;
            line.slices = row.value.value("slices", std::vector<std::string>{});
            history_.write(history::make_assignment(line));
        }
        if (row.key.starts_with("contract/") && row.value.is_object())
        {
            history_.write(history::make_contract_applied(
                "store", row.key.substr(std::string("contract/").size()), row.version));
        }
    }
}

asio::awaitable<http::response> platform_service::answer_changes(target where)
{
    const auto since = where.number("since", 0);
    const core::duration wait{where.number("wait_ms", 0)};
    if (!reads_.take(1, core::clock::now()))
    {
        co_return refusal(status_too_many, "more reads than the service takes");
    }
    const auto end = core::clock::now() + wait;
    while (table_.revision() <= since && core::clock::now() < end)
    {
        co_await wait_for_change(end - core::clock::now());
        if (!co_await pass_faults())
        {
            co_return refusal(status_unavailable, "service is down");
        }
    }
    const auto changes = table_.changes(since);
    const json body = {{"revision", changes.revision},
                       {"changes", rows_to_json(changes.rows)},
                       {"truncated", changes.is_truncated}};
    co_return reply(status_ok, body);
}

asio::awaitable<void> platform_service::wait_for_change(core::duration limit)
{
    asio::steady_timer timer(executor_, std::chrono::milliseconds(limit.ms));
    const auto position = waiting_.insert(waiting_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiting_.erase(position);
}

void platform_service::wake_all()
{
    std::ranges::for_each(waiting_, [](asio::steady_timer* timer) { timer->cancel(); });
}

http::response platform_service::answer_at_once(const http::request& message, const target& where)
{
    try
    {
        if (where.path == "/table/rows" && message.method == "GET")
        {
            return answer_rows(where);
        }
        if (const auto name = where.after("/objects/"); !name.empty())
        {
            return answer_object(message, name);
        }
        if (where.path == "/instances" && message.method == "GET")
        {
            return answer_instances();
        }
        if (where.path == "/control/faults" && message.method == "POST")
        {
            return set_faults(message.body);
        }
        if (const auto id = where.after("/control/instances/"); !id.empty())
        {
            return set_instance(message, id);
        }
    }
    catch (const json::exception& failure)
    {
        return refusal(status_bad_request, failure.what());
    }
    return refusal(status_not_found, "no such endpoint");
}

http::response platform_service::answer_rows(const target& where)
{
    if (!reads_.take(1, core::clock::now()))
    {
        return refusal(status_too_many, "more reads than the service takes");
    }
    if (where.query.contains("prefix"))
    {
        const auto rows = table_.with_prefix(where.query.at("prefix"));
        return reply(status_ok, {{"revision", table_.revision()}, {"rows", rows_to_json(rows)}});
    }
    if (!where.query.contains("key"))
    {
        return refusal(status_bad_request, "key or prefix is required");
    }
    const auto* const row = table_.find(where.query.at("key"));
    return row == nullptr ? refusal(status_not_found, "no such row") : reply(status_ok, to_json(*row));
}

http::response platform_service::answer_object(const http::request& message, const std::string& name)
{
    const bool is_write = message.method == "PUT";
    if (!(is_write ? writes_ : reads_).take(1, core::clock::now()))
    {
        return refusal(status_too_many, "more operations than the service takes");
    }
    if (is_write)
    {
        objects_[name] = message.body;
        return http::response(status_ok);
    }
    const auto found = objects_.find(name);
    return found == objects_.end() ? refusal(status_not_found, "no such object")
                                   : http::response(status_ok, {}, found->second);
}

http::response platform_service::answer_instances()
{
    const auto visible = core::clock::now() - options_.instance_lag;
    auto list = json::array();
    for (const auto& [id, states] : instances_)
    {
        const auto newest = std::ranges::find_if(states.rbegin(), states.rend(),
                                                 [&](const auto& state) { return state.since <= visible; });
        if (newest != states.rend() && !newest->value.is_null())
        {
            list.push_back(newest->value);
        }
    }
    return reply(status_ok, {{"instances", std::move(list)}});
}

http::response platform_service::set_instance(const http::request& message, const std::string& id)
{
    instance_state state{core::clock::now(), nullptr};
    if (message.method == "PUT")
    {
        state.value = json::parse(message.body);
        state.value["id"] = id;
    }
    instances_[id].push_back(std::move(state));
    return http::response(status_ok);
}

http::response platform_service::set_faults(const std::string& body)
{
    const auto wanted = json::parse(body);
    const auto name = wanted.value("mode", "up");
    const std::map<std::string, fault_mode> modes{{"up", fault_mode::up},
                                                  {"down", fault_mode::down},
                                                  {"hang", fault_mode::hang},
                                                  {"slow", fault_mode::slow}};
    if (!modes.contains(name))
    {
        return refusal(status_bad_request, "unknown mode \"" + name + "\"");
    }
    mode_ = modes.at(name);
    delay_.ms = wanted.value("delay_ms", std::int64_t{0});
    answers_to_lose_ = wanted.value("lose_answers", 0);
    const auto span = wanted.value("duration_ms", std::int64_t{0});
    fault_end_ = span == 0 ? core::time_point{} : core::clock::now() + core::duration{span};
    wake_all();
    return reply(status_ok, {{"answers_to_lose", answers_to_lose_}, {"mode", name}});
}

} // namespace briarfold::standins
