#include "standins/backend/backend_service.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/key_hash.hpp"
#include "standins/common/target.hpp"

#include <algorithm>
#include <charconv>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;
constexpr std::size_t finished_ids_kept = 10000;
constexpr std::chrono::seconds load_sample_interval{1};

http::response reply(unsigned status, const json& body)
{
    return http::json_response(status, body.dump());
}

http::response not_run(const std::string& request_id, const std::string& reason)
{
    auto answer = reply(status_unavailable, {{"not_run", reason}});
    answer.headers.emplace_back("X-Request-Id", request_id);
    answer.headers.emplace_back("X-Briarfold-Not-Run", reason);
    return answer;
}

asio::awaitable<void> sleep(core::duration span)
{
    if (span.ms <= 0)
    {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(span.ms));
    co_await timer.async_wait(asio::use_awaitable);
}

core::time_point deadline_of(const http::request& message, core::time_point now)
{
    const auto text = http::find_header(message.headers, "X-Briarfold-Deadline-Ms");
    std::int64_t left = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), left);
    return text.empty() || parsed.ec != std::errc{} ? core::time_point{} : now + core::duration{left};
}

} // namespace

backend_service::backend_service(asio::any_io_executor executor, backend_options options,
                                 history::writer& history, std::function<void()> on_idle_stop)
    : executor_(std::move(executor)), options_(std::move(options)), history_(history),
      on_idle_stop_(std::move(on_idle_stop)), incarnation_(core::make_id("inc")),
      warm_at_(core::clock::now() + options_.cold_start)
{
    faults_.latency = options_.latency;
}

asio::awaitable<http::response> backend_service::answer(http::request message)
{
    const auto rest = parse_target(message.target).after("/work/");
    if (!rest.empty())
    {
        co_return co_await answer_work(std::move(message), rest.substr(0, rest.find('/')));
    }
    co_return answer_order(message);
}

asio::awaitable<http::response> backend_service::answer_work(http::request message, std::string service)
{
    const auto now = core::clock::now();
    const auto position = in_flight_.emplace(in_flight_.end());
    auto& item = *position;
    item.request_id = http::find_header(message.headers, "X-Request-Id");
    item.key = http::find_header(message.headers, "X-Briarfold-Key");
    item.hash = core::key_hash(service, item.key);
    item.series = grants_.series();
    item.received = now;
    item.deadline = deadline_of(message, now);
    auto refusal = admission_refusal(item, service);
    if (refusal.empty())
    {
        ++running_;
        refusal = co_await perform(item);
        --running_;
    }
    auto result = refusal.empty() ? apply_effect(item, message) : not_run(item.request_id, refusal);
    finish(position);
    co_return result;
}

std::string backend_service::admission_refusal(const work& item, const std::string& service)
{
    if (is_draining_ || is_stopping_)
    {
        return "draining";
    }
    if (service != options_.server.service || !may_run(item.hash, item.received))
    {
        return "not_owner";
    }
    if (item.deadline.ms != 0 && item.deadline <= item.received)
    {
        return "expired";
    }
    const bool is_full = running_ >= static_cast<std::size_t>(options_.server.slots);
    if (is_full || std::uniform_real_distribution<>()(random_) < faults_.shed_rate)
    {
        return "shed";
    }
    return "";
}

bool backend_service::may_run(std::uint64_t hash, core::time_point now) const
{
    return !options_.server.checks_grants || grants_.covers(hash, now);
}

asio::awaitable<std::string> backend_service::perform(work& item)
{
    co_await sleep(warm_at_ - core::clock::now());
    if (item.state == work_state::cancelled)
    {
        co_return std::string("cancelled");
    }
    item.state = work_state::running;
    co_await sleep(faults_.latency + faults_.effect_delay);
    co_return effect_refusal(item);
}

std::string backend_service::effect_refusal(work& item) const
{
    const auto now = core::clock::now();
    item.rechecked = now;
    if (options_.server.checks_grants && !grants_.permits_effect(item.hash, item.series, now))
    {
        return "not_owner";
    }
    return item.deadline.ms != 0 && item.deadline <= now ? "expired" : "";
}

http::response backend_service::apply_effect(const work& item, const http::request& message)
{
    const auto runs = ++runs_by_key_[item.key];
    auto answer = reply(status_ok, {{"backend_server", options_.server.id},
                                    {"incarnation", incarnation_},
                                    {"request_id", item.request_id},
                                    {"key", item.key},
                                    {"runs", runs},
                                    {"run_id", core::make_id("run")},
                                    {"echo", message.body}});
    answer.headers.emplace_back("X-Request-Id", item.request_id);
    history::execute_fields line;
    line.request_id = item.request_id;
    line.backend_server = options_.server.id;
    line.incarnation = incarnation_;
    line.service = options_.server.service;
    line.key = item.key;
    line.epoch = grants_.epoch();
    line.received = item.received;
    line.answer_hash = core::to_hex(core::text_hash(answer.body));
    auto record = history::make_execute(line);
    record.time = item.rechecked;
    history_.write(std::move(record));
    return answer;
}

void backend_service::finish(std::list<work>::iterator position)
{
    finished_.push_back(position->request_id);
    if (finished_.size() > finished_ids_kept)
    {
        finished_.pop_front();
    }
    in_flight_.erase(position);
    end_when_idle();
}

void backend_service::begin_stop()
{
    is_draining_ = true;
    is_stopping_ = true;
    end_when_idle();
}

void backend_service::end_when_idle()
{
    if (!is_stopping_ || has_ended_ || !in_flight_.empty())
    {
        return;
    }
    has_ended_ = true;
    grants_.release();
    history_.write(history::make_release(options_.server.id, incarnation_));
    history_.write(history::make_stop(options_.server.id, incarnation_,
                                      http::to_string(options_.server.address), in_flight_.size()));
    on_idle_stop_();
}

asio::awaitable<void> backend_service::sample_load()
{
    asio::steady_timer timer(executor_);
    for (;;)
    {
        sampled_load_ = in_flight_.size();
        timer.expires_after(load_sample_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

http::response backend_service::answer_order(const http::request& message)
{
    if (message.target == "/health")
    {
        return answer_health();
    }
    if (message.target == "/load")
    {
        return answer_load();
    }
    try
    {
        if (message.target == "/grant")
        {
            return answer_grant(json::parse(message.body));
        }
        if (message.target == "/cancel")
        {
            return answer_cancel(json::parse(message.body));
        }
        if (message.target == "/drain" || message.target == "/stop")
        {
            return answer_drain(json::parse(message.body), message.target == "/stop");
        }
        if (message.target == "/control/faults")
        {
            return set_faults(json::parse(message.body));
        }
    }
    catch (const json::exception& failure)
    {
        return reply(status_bad_request, {{"error", failure.what()}});
    }
    catch (const core::error& failure)
    {
        return reply(status_bad_request, {{"error", failure.what()}});
    }
    return reply(status_not_found, {{"error", "no such endpoint"}});
}

http::response backend_service::answer_grant(const json& body)
{
    grant_order order;
    order.epoch = body.at("epoch");
    order.nonce = body.at("nonce");
    order.duration.ms = body.at("duration_ms");
    order.controller = body.at("controller");
    order.slices_version = body.at("slices_version");
    if (body.contains("slices"))
    {
        order.slices.emplace();
        std::ranges::transform(body.at("slices").get<std::vector<std::string>>(),
                               std::back_inserter(*order.slices), ownership::parse_slice);
    }
    if (order.nonce.empty() || !options_.server.checks_grants)
    {
        return reply(status_ok, grant_answer(!options_.server.checks_grants, "no_nonce"));
    }
    const auto now = core::clock::now();
    const auto refusal = is_stopping_ ? "stopping" : grants_.apply(order, now);
    if (!refusal.empty())
    {
        return reply(status_conflict, grant_answer(false, refusal));
    }
    history::grant_accepted_fields line;
    line.backend_server = options_.server.id;
    line.service = options_.server.service;
    line.incarnation = incarnation_;
    line.epoch = order.epoch;
    line.controller = order.controller;
    line.slices_version = order.slices_version;
    std::ranges::transform(grants_.slices(), std::back_inserter(line.slices),
                           [](const ownership::slice& part) { return ownership::to_string(part); });
    line.valid_until = grants_.valid_until();
    auto record = history::make_grant_accepted(line);
    record.time = now;
    history_.write(std::move(record));
    return reply(status_ok, grant_answer(true, ""));
}

json backend_service::grant_answer(bool is_accepted, const std::string& reason)
{
    const auto now = core::clock::now();
    json body = {{"accepted", is_accepted},
                 {"next_nonce", grants_.issue_nonce(now)},
                 {"incarnation", incarnation_},
                 {"epoch", grants_.epoch()},
                 {"slices_version", grants_.slices_version()},
                 {"draining", draining_count(now)}};
    if (!is_accepted)
    {
        body["reason"] = reason;
    }
    return body;
}

std::size_t backend_service::draining_count(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(in_flight_, [&](const work& item) { return !grants_.covers(item.hash, now); }));
}

http::response backend_service::answer_cancel(const json& body)
{
    const std::string request_id = body.at("request_id");
    const auto found = std::ranges::find(in_flight_, request_id, &work::request_id);
    if (found == in_flight_.end())
    {
        const bool is_finished = std::ranges::find(finished_, request_id) != finished_.end();
        return reply(status_ok, {{"state", is_finished ? "finished" : "unknown"}});
    }
    if (found->state == work_state::running)
    {
        return reply(status_ok, {{"state", "running"}});
    }
    found->state = work_state::cancelled;
    return reply(status_ok, {{"state", "cancelled_before_start"}});
}

http::response backend_service::answer_drain(const json& body, bool is_stop)
{
    if (options_.server.checks_grants && body.at("epoch").get<std::int64_t>() < grants_.epoch())
    {
        return reply(status_conflict, {{"reason", "stale_epoch"}, {"epoch", grants_.epoch()}});
    }
    is_draining_ = true;
    const auto left = in_flight_.size();
    if (is_stop)
    {
        asio::post(executor_, [this] { begin_stop(); });
    }
    return reply(status_ok, {{"in_flight", left}});
}

http::response backend_service::answer_health() const
{
    return reply(faults_.is_health_bad ? status_unavailable : status_ok,
                 {{"status", faults_.is_health_bad ? "bad" : "ok"}, {"incarnation", incarnation_}});
}

http::response backend_service::answer_load() const
{
    const auto load = faults_.load >= 0 ? static_cast<std::size_t>(faults_.load) : sampled_load_;
    return reply(status_ok, {{"load", load}, {"slots", options_.server.slots}});
}

http::response backend_service::set_faults(const json& body)
{
    faults_.latency.ms = body.value("latency_ms", faults_.latency.ms);
    faults_.effect_delay.ms = body.value("effect_delay_ms", faults_.effect_delay.ms);
    faults_.shed_rate = body.value("shed_rate", faults_.shed_rate);
    faults_.is_health_bad = body.value("health", faults_.is_health_bad ? "bad" : "ok") == "bad";
    faults_.load = body.value("load", faults_.load);
    if (body.contains("cold_start_ms"))
    {
        warm_at_ = core::clock::now() + core::duration{body.at("cold_start_ms").get<std::int64_t>()};
    }
    return reply(status_ok, {{"incarnation", incarnation_}});
}

} // namespace briarfold::standins
