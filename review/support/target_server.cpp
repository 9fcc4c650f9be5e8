#include "review/support/target_server.hpp"

#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/internal/beast_message.hpp"

#include <algorithm>

namespace briarfold::review {

namespace {

namespace asio = core::asio;
using boost::system::error_code;
using core::clock;
using nlohmann::json;

constexpr std::size_t key_count = 65536;
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_superseded = 409;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;
/// Step in which a request in the queue looks for a free slot.
constexpr core::duration queue_step{2};
constexpr std::uint64_t long_work_interval = 10;

std::string header(const http::request& message, const char* name)
{
    return std::string(http::find_header(message.headers, name));
}

std::string encode(const http::response& message)
{
    std::string text = "HTTP/1.1 " + std::to_string(message.status) + " Status\r\n";
    for (const auto& item : message.headers)
    {
        text += item.name + ": " + item.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

} // namespace

target_server::target_server(asio::any_io_executor executor, target_settings settings, record& log)
    : executor_(std::move(executor)), settings_(std::move(settings)), log_(log),
      address_("127.0.0.1", settings_.port), keys_(key_count)
{}

void target_server::start()
{
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address_.address), address_.port);
    acceptor_.emplace(executor_);
    acceptor_->open(local.protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(local);
    acceptor_->listen();
    address_.port = acceptor_->local_endpoint().port();
    start_time_ms_ = clock::wall().ms;
    is_up_ = true;
    log_.write("server " + settings_.id + " of " + settings_.service + " starts at " +
               http::to_string(address_));
    asio::co_spawn(
        executor_, [self = shared_from_this()] { return self->accept(); }, asio::detached);
}

void target_server::crash()
{
    log_.write("server " + settings_.id + " crashes");
    is_up_ = false;
    error_code ignored;
    acceptor_->close(ignored);
    for (const auto& socket : sockets_)
    {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    running_.clear();
}

json target_server::registration(bool is_draining)
{
    return {
        {"address", http::to_string(address_)},
        {"born", start_time_ms_},
        {"info",
         {{"backend", settings_.service},
          {"version", "v1"},
          {"zone", settings_.zone},
          {"capacity", settings_.slots}}},
        {"status",
         {{"phase", is_draining ? "draining" : "ready"}, {"sequence", ++sequence_}, {"warmup-left-ms", 0}}}};
}

asio::awaitable<void> target_server::accept()
{
    const auto self = shared_from_this();
    while (is_up_)
    {
        error_code code;
        const auto socket = std::make_shared<asio::ip::tcp::socket>(executor_);
        co_await acceptor_->async_accept(*socket, asio::redirect_error(asio::use_awaitable, code));
        if (code)
        {
            continue;
        }
        socket->set_option(asio::ip::tcp::no_delay(true), code);
        sockets_.insert(socket);
        asio::co_spawn(
            executor_, [self, socket] { return self->serve(socket); }, asio::detached);
    }
}

asio::awaitable<void> target_server::serve(std::shared_ptr<asio::ip::tcp::socket> socket)
{
    namespace beast = boost::beast;
    const auto self = shared_from_this();
    beast::flat_buffer buffer;
    std::string late_copy;
    error_code code;
    while (!code && is_up_)
    {
        beast::http::request_parser<beast::http::string_body> parser;
        co_await beast::http::async_read(*socket, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, code));
        if (code)
        {
            break;
        }
        const auto incoming = parser.release();
        if (!late_copy.empty())
        {
            ++late_copies_;
            log_.write("server " + settings_.id + " sends a late copy of its last answer before it answers " +
                       std::string(incoming.target()) + " " + std::string(incoming["Briarfold-Attempt-Id"]));
            co_await asio::async_write(*socket, asio::buffer(late_copy),
                                       asio::redirect_error(asio::use_awaitable, code));
            late_copy.clear();
        }
        http::request message(std::string(incoming.method_string()), std::string(incoming.target()),
                              http::internal::to_headers(incoming), incoming.body());
        const auto result = co_await handle(std::move(message));
        if (!is_up_)
        {
            break;
        }
        const auto text = encode(result.message);
        co_await asio::async_write(*socket, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, code));
        if (trouble_.repeats_late && trouble_.repeats_late(result.type, result.message.status))
        {
            late_copy = text;
        }
    }
    error_code ignored;
    socket->close(ignored);
    sockets_.erase(socket);
}

asio::awaitable<target_server::answer> target_server::handle(http::request message)
{
    answer result;
    if (message.target == "/-/grant")
    {
        result.type = call_type::grant;
        result.message = grant(json::parse(message.body), clock::now());
        co_return result;
    }
    if (message.target == "/-/release")
    {
        result.type = call_type::release;
        result.message = co_await release(json::parse(message.body));
        co_return result;
    }
    result.message = co_await run(std::move(message));
    co_return result;
}

http::response target_server::grant(const json& document, core::time_point arrived)
{
    const auto first = document.at("from").get<std::uint32_t>();
    const auto last = document.at("target").get<std::uint32_t>();
    const auto token = document.at("fence").get<std::int64_t>();
    const auto until = arrived + core::duration{document.at("hold-ms").get<std::int64_t>()};
    const auto line = "server " + settings_.id + " is granted " + std::to_string(first) + "-" +
                      std::to_string(last) + " token " + std::to_string(token) + " for " +
                      std::to_string((until - arrived).ms) + " ms";
    if (!settings_.is_keyed || first > last || last >= key_count)
    {
        log_.write(line + ": 400");
        return http::response(status_bad_request);
    }
    const auto range_begin = keys_.begin() + first;
    const auto range_end = keys_.begin() + last + 1;
    if (std::any_of(range_begin, range_end,
                    [&](const key_state& item) { return item.highest_token > token; }))
    {
        log_.write(line + ": 409");
        return http::response(status_superseded);
    }
    std::for_each(range_begin, range_end, [&](key_state& item) {
        item.highest_token = token;
        item.token = token;
        item.held_until = until;
        item.granted_until = until;
    });
    ++grants_;
    log_.write(line + ": 200");
    if (on_accepted_grant_)
    {
        on_accepted_grant_(first, last);
    }
    return http::response(status_ok);
}

asio::awaitable<http::response> target_server::release(json document)
{
    const auto first = document.at("from").get<std::uint32_t>();
    const auto last = document.at("target").get<std::uint32_t>();
    const auto range = std::to_string(first) + "-" + std::to_string(last);
    log_.write("server " + settings_.id + " is asked to release " + range);
    const auto now = clock::now();
    for (auto key = first; key <= last && key < key_count; ++key)
    {
        keys_[key].held_until = std::min(keys_[key].held_until, now);
    }
    const auto has_work = [&] {
        return std::ranges::any_of(
            running_, [&](const auto& item) { return first <= item.second.key && item.second.key <= last; });
    };
    while (has_work())
    {
        co_await pause(queue_step);
    }
    log_.write("server " + settings_.id + " has released " + range);
    http::response message(status_ok);
    message.headers.emplace_back("Briarfold-Handover", settings_.id + "-" + std::to_string(++handovers_));
    co_return message;
}

bool target_server::holds(std::uint32_t key, core::time_point now) const
{
    return is_up_ && now < keys_[key].held_until;
}

asio::awaitable<void> target_server::pause(core::duration span)
{
    co_await core::pause_for(span);
}

http::response target_server::reject(unsigned status, const std::string& attempt, const char* reason)
{
    log_.write("server " + settings_.id + " rejects " + attempt + " with " + std::to_string(status) + ": " +
               reason);
    http::response message(status);
    message.headers.emplace_back("Briarfold-Attempt-Id", attempt);
    message.headers.emplace_back("Briarfold-Not-Executed", "1");
    return message;
}

asio::awaitable<http::response> target_server::run(http::request message)
{
    const auto arrived = clock::now();
    const auto attempt = header(message, "Briarfold-Attempt-Id");
    if (attempt.empty())
    {
        co_return reject(status_bad_request, attempt, "no id");
    }
    const auto expected = header(message, "Briarfold-Expected-Instance");
    if (!expected.empty() && expected != settings_.id)
    {
        co_return reject(status_misdirected, attempt, "another instance is expected");
    }
    const auto key_text = header(message, "Briarfold-Shard-Key");
    const auto key = key_text.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(key_text));
    if (trouble_.sheds && trouble_.sheds())
    {
        ++shed_count_;
        co_return reject(status_unavailable, attempt, "in trouble");
    }
    const auto deadline_text = header(message, "Briarfold-Deadline-Ms");
    const auto deadline = arrived + core::duration{deadline_text.empty() ? 30000 : std::stoll(deadline_text)};
    if (static_cast<int>(running_.size()) >= settings_.slots && waiting_ >= settings_.queue)
    {
        co_return reject(status_unavailable, attempt, "full");
    }
    ++waiting_;
    while (static_cast<int>(running_.size()) >= settings_.slots && clock::now() < deadline)
    {
        co_await pause(queue_step);
    }
    --waiting_;
    if (clock::now() >= deadline)
    {
        co_return reject(status_unavailable, attempt, "deadline passed in the queue");
    }
    if (settings_.is_keyed && !holds(key, clock::now()))
    {
        co_return reject(status_misdirected, attempt, "key not held");
    }
    const auto run_id = ++next_run_;
    running_[run_id] = {attempt, key};
    ++runs_[attempt];
    run_spans_[attempt].begin = clock::now();
    log_.write("server " + settings_.id + " begins " + attempt + " key " + std::to_string(key) + ": " +
               message.method + " " + message.target + " with " + std::to_string(message.body.size()) +
               " bytes");
    const auto left = deadline - clock::now();
    const auto work =
        run_id % long_work_interval == 0 ? std::max(settings_.work, settings_.long_work) : settings_.work;
    co_await pause(std::min(work, left));
    running_.erase(run_id);
    run_spans_[attempt].end = clock::now();
    const bool is_late = left < work;
    log_.write("server " + settings_.id + " ends " + attempt + (is_late ? " at its deadline" : ""));
    http::response result(is_late ? status_timeout : status_ok);
    result.headers.emplace_back("Briarfold-Attempt-Id", attempt);
    result.headers.emplace_back("Briarfold-Response-Signature", settings_.id + "." + attempt);
    result.body = "answer of " + settings_.id + " to " + attempt;
    co_return result;
}

} // namespace briarfold::review
