#include "standins/edge/keyed_backend.hpp"

#include "core/pause.hpp"

#include <algorithm>

namespace briarfold::standins {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_superseded = 409;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;

std::string header_value(const http::request& message, const char* name)
{
    return std::string(http::find_header(message.headers, name));
}

} // namespace

keyed_backend::keyed_backend(const asio::any_io_executor& executor, const http::endpoint& local,
                             std::string id, std::string service, std::string zone, int slots,
                             core::duration work_duration)
    : executor_(executor), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)),
      slots_(slots), work_duration_(work_duration), start_time_ms_(clock::wall().ms), address_(local)
{
    server_.emplace(executor, local,
                    http::handler([this](http::request message,
                                         const http::endpoint& caller) -> asio::awaitable<http::response> {
                        calls_by_port_[caller.port].push_back(message.target);
                        auto answer = co_await handle(std::move(message));
                        if (is_leaving_)
                        {
                            answer.headers.emplace_back("Server-Leaving", "1");
                        }
                        co_return answer;
                    }));
    address_.port = server_->port();
}

void keyed_backend::crash()
{
    server_.reset();
    const auto now = clock::now();
    for (auto& item : held_)
    {
        item.until = std::min(item.until, now);
        ended_.push_back(item);
    }
    held_.clear();
}

json keyed_backend::registration(bool is_draining)
{
    return {{"address", http::to_string(address_)},
            {"born", start_time_ms_},
            {"info", {{"backend", service_}, {"version", "v1"}, {"zone", zone_}, {"capacity", slots_}}},
            {"status",
             {{"phase", is_draining ? "draining" : "ready"},
              {"sequence", ++registrations_},
              {"warmup-left-ms", 0}}}};
}

asio::awaitable<http::response> keyed_backend::handle(http::request message)
{
    const bool is_control = message.target == "/-/grant" || message.target == "/-/release";
    const auto expected = header_value(message, "Briarfold-Expected-Instance");
    if (is_control && !expected.empty() && expected != id_)
    {
        co_return http::response(status_misdirected, {{"Briarfold-Not-Executed", "1"}});
    }
    if (is_control && control_status_)
    {
        constexpr core::duration silence{30000};
        if (*control_status_ == 0)
        {
            co_await core::pause_for(silence);
        }
        co_return http::response(*control_status_);
    }
    if (message.target == "/-/grant")
    {
        co_return grant(json::parse(message.body));
    }
    if (message.target == "/-/release")
    {
        co_return co_await release(json::parse(message.body));
    }
    co_return co_await serve(message);
}

http::response keyed_backend::grant(const json& document)
{
    const held_span span{document.at("from").get<std::uint32_t>(), document.at("target").get<std::uint32_t>(),
                         document.at("fence").get<std::int64_t>(), clock::now(),
                         clock::now() + core::duration{document.at("hold-ms").get<std::int64_t>()}};
    const auto overlaps = [&](const held_span& item) {
        return item.first <= span.last && span.first <= item.last;
    };
    if (std::ranges::any_of(held_,
                            [&](const held_span& item) { return overlaps(item) && item.token > span.token; }))
    {
        return http::response(status_superseded);
    }
    // A renewal continues the spans that it covers; other spans keep their end.
    auto next = span;
    for (auto& item : held_)
    {
        if (span.first <= item.first && item.last <= span.last && item.until >= span.from)
        {
            next.from = std::min(next.from,
                                 item.first == span.first && item.last == span.last ? item.from : span.from);
            item.until = std::min(item.until, span.from);
            ended_.push_back(item);
        }
    }
    std::erase_if(held_,
                  [&](const held_span& item) { return span.first <= item.first && item.last <= span.last; });
    held_.push_back(next);
    return http::response(status_ok);
}

asio::awaitable<http::response> keyed_backend::release(json document)
{
    const auto first = document.at("from").get<std::uint32_t>();
    const auto last = document.at("target").get<std::uint32_t>();
    const auto now = clock::now();
    std::vector<held_span> kept;
    for (auto item : held_)
    {
        if (item.last < first || last < item.first)
        {
            kept.push_back(item);
            continue;
        }
        if (item.first < first)
        {
            kept.push_back(item);
            kept.back().last = first - 1;
        }
        if (last < item.last)
        {
            kept.push_back(item);
            kept.back().first = last + 1;
        }
        item.first = std::max(item.first, first);
        item.last = std::min(item.last, last);
        item.until = std::min(item.until, now);
        ended_.push_back(item);
    }
    held_ = std::move(kept);
    if (on_release_)
    {
        on_release_();
    }
    co_await core::pause_for(work_duration_);
    http::response answer(status_ok);
    answer.headers.emplace_back("Briarfold-Handover", "from-" + id_);
    co_return answer;
}

bool keyed_backend::holds(std::uint32_t key) const
{
    const auto now = clock::now();
    return std::ranges::any_of(held_, [&](const held_span& item) {
        return item.first <= key && key <= item.last && now < item.until;
    });
}

asio::awaitable<http::response> keyed_backend::serve(const http::request& message)
{
    const auto attempt = header_value(message, "Briarfold-Attempt-Id");
    const auto key = header_value(message, "Briarfold-Shard-Key");
    arrivals_.push_back({attempt, clock::now()});
    http::response answer(status_ok);
    answer.headers.emplace_back("Briarfold-Attempt-Id", attempt);
    const bool is_other_instance = header_value(message, "Briarfold-Expected-Instance") != id_;
    if (is_other_instance || (!key.empty() && !holds(static_cast<std::uint32_t>(std::stoul(key)))))
    {
        ++misdirected_count_;
        answer.status = status_misdirected;
        answer.headers.emplace_back("Briarfold-Not-Executed", "1");
        co_return answer;
    }
    if (running_ >= slots_)
    {
        answer.status = status_unavailable;
        answer.headers.emplace_back("Briarfold-Not-Executed", "1");
        co_return answer;
    }
    ++runs_[attempt];
    ++running_;
    max_running_ = std::max(max_running_, running_);
    co_await core::pause_for(work_duration_);
    --running_;
    ++answers_;
    if (answer_loss_interval_ > 0 && answers_ % answer_loss_interval_ == 0)
    {
        co_await core::pause_for(core::duration{3000});
    }
    if (answer_spoil_interval_ > 0 && answers_ % answer_spoil_interval_ == 0)
    {
        co_return answer;
    }
    answer.headers.emplace_back("Briarfold-Response-Signature", id_ + "." + attempt);
    answer.body = "answer of " + id_ + " to " + attempt;
    if (answer.body.size() < answer_bytes_)
    {
        answer.body.insert(0, answer_bytes_ - answer.body.size(), '.');
    }
    co_return answer;
}

std::vector<held_span> keyed_backend::spans() const
{
    auto all = ended_;
    all.insert(all.end(), held_.begin(), held_.end());
    return all;
}

} // namespace briarfold::standins
