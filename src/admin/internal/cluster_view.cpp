#include "admin/cluster_view.hpp"

#include "core/error.hpp"
#include "trace/otlp.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>

namespace briarfold::admin {

namespace {

namespace asio = core::asio;

constexpr const char* report_method = "admin_report";
constexpr const char* spans_method = "admin_spans";
constexpr std::string_view router_prefix = "router/";
/// Calls in progress at a time; bounds memory and connections at 630 routers.
constexpr std::size_t parallel_calls = 32;

membership::router_info parse_router(const store::row& row)
{
    membership::router_info result;
    result.instance_id = row.key.substr(router_prefix.size());
    result.zone = row.value.value("zone", "");
    result.ip = row.value.value("ip", "");
    result.peer_port = row.value.value("peer_port", static_cast<unsigned short>(0));
    return result;
}

/// The calls of one question. Workers share it and end before `call_all` returns.
struct question
{
    std::vector<membership::router_info> peers;
    std::string method;
    nlohmann::json parameters;
    core::duration timeout;
    std::vector<nlohmann::json> answers;
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> running{0};
};

asio::awaitable<void> ask_peers(wire::ipeer_rpc& rpc, std::shared_ptr<question> work)
{
    for (auto i = work->next++; i < work->peers.size(); i = work->next++)
    {
        try
        {
            http::endpoint peer(work->peers[i].ip, work->peers[i].peer_port);
            work->answers[i] = co_await rpc.call(peer, work->method, work->parameters, work->timeout);
        }
        catch (const core::error&)
        {
            work->answers[i] = nullptr;
        }
    }
}

/// Starts the workers and resumes the caller when the last one has ended.
asio::awaitable<void> run_workers(wire::ipeer_rpc& rpc, const std::shared_ptr<question>& work,
                                  asio::any_io_executor executor)
{
    return asio::async_initiate<decltype(asio::use_awaitable), void()>(
        [&rpc, work, executor](auto handler) {
            const auto resume = std::make_shared<decltype(handler)>(std::move(handler));
            const auto workers = std::min(parallel_calls, work->peers.size());
            work->running = workers;
            for (std::size_t i = 0; i < workers; ++i)
            {
                asio::co_spawn(executor, ask_peers(rpc, work), [work, resume](const std::exception_ptr&) {
                    if (--work->running == 0)
                    {
                        asio::post(asio::get_associated_executor(*resume),
                                   [resume] { std::move (*resume)(); });
                    }
                });
            }
        },
        asio::use_awaitable);
}

/// A router that answers with another instance id is a new process on the address of the one asked.
std::optional<router_report> read_report(const nlohmann::json& answer, const std::string& instance_id)
{
    try
    {
        auto report = parse_router_report(answer);
        return report.instance_id == instance_id ? std::optional(std::move(report)) : std::nullopt;
    }
    catch (const core::error&)
    {
        return std::nullopt;
    }
}

nlohmann::json spans_json(const std::vector<trace::span>& spans)
{
    auto list = nlohmann::json::array();
    std::ranges::transform(spans, std::back_inserter(list),
                           [](const trace::span& item) { return trace::to_json(item); });
    nlohmann::json answer;
    answer["spans"] = std::move(list);
    return answer;
}

} // namespace

cluster_view::cluster_view(wire::ipeer_rpc& rpc, const membership::router_info& self,
                           replica::ireplica& replica, const contracts::icontracts& contracts,
                           const trace::span_recorder& spans)
    : rpc_(rpc), self_(self), replica_(replica), contracts_(contracts), spans_(spans)
{
    rpc_.register_method(
        report_method, [this](std::string, nlohmann::json parameters) -> asio::awaitable<nlohmann::json> {
            const auto customers = parameters.at("customers").get<std::vector<std::string>>();
            co_return to_json(own_report(customers));
        });
    rpc_.register_method(spans_method,
                         [this](std::string, nlohmann::json parameters) -> asio::awaitable<nlohmann::json> {
                             const auto request_id = parameters.at("request_id").get<std::string>();
                             co_return spans_json(spans_.find(request_id));
                         });
}

router_report cluster_view::own_report(const std::vector<std::string>& customers) const
{
    const auto table = contracts_.current();
    router_report result;
    result.instance_id = self_.instance_id;
    result.zone = self_.zone;
    result.is_reachable = true;
    result.revision = table->revision;
    result.unconfirmed_ms = contracts_.unconfirmed_for().ms;
    for (const auto& customer : customers)
    {
        const auto found = table->contracts.find(customer);
        if (found != table->contracts.end())
        {
            result.versions[customer] = found->second->info.version;
        }
    }
    for (const auto& [customer, version] : table->rejected)
    {
        result.rejected[customer] = version.version;
    }
    return result;
}

std::vector<membership::router_info> cluster_view::others() const
{
    const auto rows = replica_.current();
    std::vector<membership::router_info> result;
    for (auto position = rows->rows.lower_bound(router_prefix);
         position != rows->rows.end() && position->first.starts_with(router_prefix); ++position)
    {
        auto router = parse_router(*position->second);
        if (router.instance_id != self_.instance_id)
        {
            result.push_back(std::move(router));
        }
    }
    return result;
}

asio::awaitable<std::vector<nlohmann::json>>
cluster_view::call_all(std::vector<membership::router_info> peers, std::string method,
                       nlohmann::json parameters, core::duration timeout)
{
    const auto work = std::make_shared<question>();
    work->answers.resize(peers.size());
    work->peers = std::move(peers);
    work->method = std::move(method);
    work->parameters = std::move(parameters);
    work->timeout = timeout;
    if (!work->peers.empty())
    {
        co_await run_workers(rpc_, work, co_await asio::this_coro::executor);
    }
    co_return work->answers;
}

asio::awaitable<std::vector<router_report>> cluster_view::ask_all(std::vector<std::string> customers,
                                                                  core::duration timeout)
{
    const auto peers = others();
    nlohmann::json parameters;
    parameters["customers"] = customers;
    const auto answers = co_await call_all(peers, report_method, parameters, timeout);
    std::vector<router_report> result;
    result.push_back(own_report(customers));
    for (std::size_t i = 0; i < peers.size(); ++i)
    {
        router_report unreachable;
        unreachable.instance_id = peers[i].instance_id;
        unreachable.zone = peers[i].zone;
        result.push_back(read_report(answers[i], peers[i].instance_id).value_or(unreachable));
    }
    std::ranges::sort(result, {}, &router_report::instance_id);
    co_return result;
}

asio::awaitable<std::vector<trace::span>> cluster_view::find_spans(std::string request_id,
                                                                   core::duration timeout)
{
    auto result = spans_.find(request_id);
    nlohmann::json parameters;
    parameters["request_id"] = request_id;
    const auto answers = co_await call_all(others(), spans_method, parameters, timeout);
    for (const auto& answer : answers)
    {
        if (!answer.is_null())
        {
            std::ranges::transform(answer.at("spans"), std::back_inserter(result), trace::parse_span);
        }
    }
    std::ranges::stable_sort(result, {}, &trace::span::start_ms);
    co_return result;
}

} // namespace briarfold::admin
