#include "apps/load/load_worker.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/key_hash.hpp"

#include <algorithm>

namespace briarfold::load {

namespace {

namespace asio = core::asio;
using std::chrono::microseconds;

/// Routers answer shortly after the deadline when they ask a backend server whether a request ran.
constexpr core::duration answer_grace{500};
constexpr core::duration connect_limit{1000};

/// The stand-in names itself in its answer; another backend server is not counted.
std::string backend_of(const std::string& body)
{
    constexpr std::string_view field = "\"backend_server\":\"";
    const auto start = body.find(field);
    if (start == std::string::npos)
    {
        return {};
    }
    const auto first = start + field.size();
    return body.substr(first, body.find('"', first) - first);
}

std::string reason_of(const http::response& answer)
{
    const auto document = nlohmann::json::parse(answer.body, nullptr, false);
    const auto text = [&](const char* field) {
        return document.is_object() && document.contains(field) && document[field].is_string()
                   ? document[field].get<std::string>()
                   : std::string();
    };
    return std::to_string(answer.status) + " " + text("step") + ": " + text("reason");
}

std::string outcome_name(result_kind kind)
{
    switch (kind)
    {
    case result_kind::answered:
        return "answered";
    case result_kind::refused:
    case result_kind::not_sent:
        return "refused-not-run";
    case result_kind::unknown:
        break;
    }
    return "unknown";
}

} // namespace

load_worker::load_worker(const load_options& options, std::size_t index, clock::time_point start,
                         recorder& results, history::writer& history)
    : options_(options), start_(start), results_(results), history_(history),
      keys_(options.keys, options.seed), random_(options.seed * 1000 + index), body_(options.body_bytes, 'x'),
      remaining_(options.max_requests / options.threads + 1), waiting_(options.targets.size()),
      idle_(options.targets.size()), lanes_(options.targets.size())
{}

microseconds load_worker::now() const
{
    return std::chrono::duration_cast<microseconds>(clock::now() - start_);
}

void load_worker::run()
{
    asio::co_spawn(context_, schedule(), asio::detached);
    context_.run();
}

asio::awaitable<void> load_worker::schedule()
{
    std::exponential_distribution<double> gap(options_.rate / static_cast<double>(options_.threads));
    asio::steady_timer timer(context_);
    double next_s = gap(random_);
    while (next_s < options_.duration_s && remaining_ > 0)
    {
        const microseconds intended(static_cast<std::int64_t>(next_s * 1e6));
        if (intended > now())
        {
            timer.expires_at(start_ + intended);
            co_await timer.async_wait(asio::use_awaitable);
        }
        dispatch(intended);
        --remaining_;
        next_s += gap(random_);
    }
    is_done_ = true;
    for (const auto& lanes : idle_)
    {
        std::ranges::for_each(lanes, [](const auto& item) { item->wake.cancel(); });
    }
}

void load_worker::dispatch(microseconds intended)
{
    job item;
    item.intended = intended;
    item.key = keys_.pick(random_, intended);
    item.key_hash = core::key_hash(options_.service, item.key);
    const auto choice = options_.is_direct ? item.key_hash : random_();
    item.target = static_cast<std::size_t>(choice % options_.targets.size());
    item.customer = options_.customers[random_() % options_.customers.size()];
    item.request_id = core::make_id("load");
    item.is_idempotent = std::uniform_real_distribution<>()(random_) < options_.idempotent_share;
    history_.write(
        history::make_call(item.request_id, item.customer, options_.service, item.key, item.is_idempotent));
    const auto target = item.target;
    waiting_[target].push_back(std::move(item));
    if (!idle_[target].empty())
    {
        idle_[target].back()->wake.cancel();
        idle_[target].pop_back();
        return;
    }
    const auto limit =
        std::max<std::size_t>(options_.connections / options_.threads / options_.targets.size(), 1);
    if (lanes_[target] < limit)
    {
        ++lanes_[target];
        asio::co_spawn(context_, serve(target), asio::detached);
    }
}

asio::awaitable<void> load_worker::serve(std::size_t target)
{
    std::unique_ptr<http::client_connection> connection;
    const auto self = std::make_shared<lane>(context_);
    for (;;)
    {
        while (!waiting_[target].empty())
        {
            auto item = std::move(waiting_[target].front());
            waiting_[target].pop_front();
            co_await perform(connection, std::move(item));
        }
        if (is_done_)
        {
            co_return;
        }
        idle_[target].push_back(self);
        boost::system::error_code ignored;
        self->wake.expires_at(clock::time_point::max());
        co_await self->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> load_worker::perform(std::unique_ptr<http::client_connection>& connection, job item)
{
    http::response answer;
    sample value;
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - item.intended);
    const core::duration left = options_.deadline - core::duration{waited.count()};
    value.kind = result_kind::not_sent;
    value.reason = "no connection free before the deadline";
    if (left.ms > 0)
    {
        try
        {
            if (!connection || !connection->is_reusable())
            {
                connection = std::make_unique<http::client_connection>(context_.get_executor(),
                                                                       options_.targets[item.target]);
                co_await connection->connect(connect_limit);
            }
            auto request = make_request(item);
            request.headers.emplace_back("X-Briarfold-Deadline-Ms", std::to_string(left.ms));
            answer = co_await connection->exchange(request, left + answer_grace);
            value = judge(item, answer);
        }
        catch (const core::error& failure)
        {
            const bool is_sent = connection->has_sent_bytes();
            value.kind = is_sent ? result_kind::unknown : result_kind::not_sent;
            value.reason = failure.step() + " failed";
        }
    }
    record(item, std::move(value), answer);
}

http::request load_worker::make_request(const job& item) const
{
    http::request message("POST", (options_.is_direct ? "/work/" : "/") + options_.service + "/item", {},
                          body_);
    message.headers.emplace_back("X-Briarfold-Customer", item.customer);
    message.headers.emplace_back("X-Briarfold-Key", item.key);
    message.headers.emplace_back("X-Request-Id", item.request_id);
    message.headers.emplace_back("X-Briarfold-Idempotent", item.is_idempotent ? "true" : "false");
    return message;
}

sample load_worker::judge(const job& item, const http::response& answer) const
{
    sample value;
    const auto outcome = http::find_header(answer.headers, "X-Briarfold-Outcome");
    const bool is_refused = options_.is_direct ? http::has_header(answer.headers, "X-Briarfold-Not-Run")
                                               : outcome == "refused-not-run";
    const bool is_answered = options_.is_direct ? !is_refused : outcome == "answered";
    value.kind = is_refused    ? result_kind::refused
                 : is_answered ? result_kind::answered
                               : result_kind::unknown;
    if (http::find_header(answer.headers, "X-Request-Id") != item.request_id)
    {
        value.kind = result_kind::unknown;
        value.reason = "answer to another request";
        return value;
    }
    if (value.kind == result_kind::answered)
    {
        value.backend = backend_of(answer.body);
    }
    else
    {
        value.reason = reason_of(answer);
    }
    return value;
}

void load_worker::record(const job& item, sample value, const http::response& answer)
{
    value.intended = item.intended;
    value.finished = now();
    value.key_hash = item.key_hash;
    results_.add(value);
    history::outcome_fields fields;
    fields.request_id = item.request_id;
    fields.outcome = outcome_name(value.kind);
    fields.status = answer.status;
    fields.answer_id = http::find_header(answer.headers, "X-Request-Id");
    fields.answer_hash = core::to_hex(core::text_hash(answer.body));
    fields.reason = value.reason;
    history_.write(history::make_outcome(fields));
}

} // namespace briarfold::load
