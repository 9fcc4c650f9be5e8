#include "http/server.hpp"

#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/internal/connection_limit.hpp"
#include "http/internal/message_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <set>
#include <sstream>
#include <sys/socket.h>

namespace briarfold::http {

namespace {

namespace asio = core::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using boost::system::system_error;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_head_too_large = 431;
constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unavailable = 503;
constexpr unsigned http_1_1 = 11;

unsigned status_of(const error_code& code)
{
    if (code == beast::http::error::body_limit)
    {
        return status_body_too_large;
    }
    if (code == beast::http::error::header_limit || code == beast::http::error::buffer_overflow)
    {
        return status_head_too_large;
    }
    return status_bad_request;
}

/// Errors of the HTTP parser are answered; errors of the transport end the connection.
bool is_bad_input(const error_code& code)
{
    return code.category() == beast::http::make_error_code(beast::http::error::bad_method).category() &&
           code != beast::http::error::end_of_stream && code != beast::http::error::partial_message;
}

internal::beast_response make_message(response answer, unsigned version, bool keep_alive)
{
    internal::beast_response message;
    message.version(version);
    message.result(answer.status);
    internal::copy_headers(answer.headers, message);
    message.keep_alive(keep_alive);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    return message;
}

/// The answer to a request for which this process has no memory; it was not read to its end.
response make_memory_refusal()
{
    return response(status_unavailable, {{"Retry-After", "1"}});
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state>
{
    struct session : std::enable_shared_from_this<session>
    {
        session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        endpoint caller;
        bool is_busy = false;
        /// Since when the session waits for the caller; 0 while a request is being answered.
        std::int64_t waiting_since_ms = 0;
        /// Progress of the request that is being read.
        internal::read_progress progress;
        bool is_evicted = false;
        /// The request that is being answered.
        std::optional<unanswered_request> current;
    };

    state(const asio::any_io_executor& base, watched_handler request_handler, server_limits sizes,
          server_hooks server_hooks)
        : executor(base), acceptor(core::make_strand(base)), sweep_timer(acceptor.get_executor()),
          on_request(std::move(request_handler)), limits(sizes), hooks(std::move(server_hooks))
    {}

    asio::awaitable<void> accept();
    static internal::connection_wait describe_wait(const session& connection);
    /// Closes a waiting session if the limit of connections is reached. Returns whether there is room for one
    /// more.
    bool make_room();
    /// Closes sessions that wait for their caller for too long.
    asio::awaitable<void> sweep();
    asio::awaitable<void> serve(std::shared_ptr<session> connection);
    /// Returns false when the connection must close.
    asio::awaitable<bool> serve_one(session& connection);
    /// Answers a request that was read.
    asio::awaitable<bool> serve_request(session& connection, internal::beast_request incoming,
                                        held_message& held);
    /// Answers input that is no request, or none that is served.
    asio::awaitable<void> refuse_input(session& connection, const error_code& code, bool has_no_memory);
    asio::awaitable<void> write(session& connection, response answer, unsigned version, bool keep_alive,
                                bool is_head);
    /// Waits after the last answer until the caller has closed its side. A connection that is closed with
    /// unread bytes is reset, and the caller may lose the answer.
    static asio::awaitable<void> linger(session& connection);
    asio::awaitable<response> answer(session& connection, internal::beast_request& incoming);
    void answer_unfinished(const response& answer);
    void report_loss(const session& connection, const char* reason);
    static bool has_departed(session& connection);
    /// Raises `departure` when the caller closes the connection while its request is being answered.
    static void watch_departure(const std::shared_ptr<session>& connection,
                                const std::shared_ptr<core::cancellation>& departure);
    /// Ends the session's read or write when `is_due` holds on its strand. A request that was already read is
    /// still answered, whether or not its coroutine has resumed.
    static void end_wait(const std::shared_ptr<session>& connection,
                         std::function<bool(const session&)> is_due);
    void close_acceptor();
    void close_idle_sessions();
    void close_all_sessions();

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    watched_handler on_request;
    server_limits limits;
    server_hooks hooks;
    unsigned short port = 0;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<std::size_t> evicted{0};
    std::atomic<bool> is_stopping{false};
    std::atomic<bool> is_draining{false};
    std::mutex mutex;
    std::set<std::shared_ptr<session>> sessions;
};

server::server(const asio::any_io_executor& executor, const endpoint& local, handler on_request,
               server_limits limits, server_hooks hooks)
    : server(executor, local,
             watched_handler([inner = std::move(on_request)](request message, endpoint caller,
                                                             const std::shared_ptr<core::cancellation>&) {
                 return inner(std::move(message), std::move(caller));
             }),
             limits, std::move(hooks))
{}

server::server(const asio::any_io_executor& executor, const endpoint& local, watched_handler on_request,
               server_limits limits, server_hooks hooks)
    : state_(std::make_shared<state>(executor, std::move(on_request), limits, std::move(hooks)))
{
    try
    {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(local.address), local.port);
        state_->acceptor.open(address.protocol());
        state_->acceptor.set_option(asio::socket_base::reuse_address(true));
        state_->acceptor.bind(address);
        state_->acceptor.listen();
        state_->port = state_->acceptor.local_endpoint().port();
    }
    catch (const system_error& failure)
    {
        throw core::connection_error("listen", to_string(local), failure.code().message());
    }
    asio::co_spawn(
        state_->acceptor.get_executor(), [self = state_] { return self->accept(); }, asio::detached);
    asio::co_spawn(
        state_->acceptor.get_executor(), [self = state_] { return self->sweep(); }, asio::detached);
}

server::~server()
{
    state_->is_stopping = true;
    state_->close_acceptor();
    state_->close_all_sessions();
}

std::size_t server::evicted_connections() const
{
    return state_->evicted;
}

unsigned short server::port() const
{
    return state_->port;
}

std::size_t server::in_flight() const
{
    return state_->in_flight;
}

void server::set_limits(server_limits limits)
{
    const std::scoped_lock lock(state_->mutex);
    state_->limits = limits;
}

void server::begin_drain()
{
    state_->is_draining = true;
}

void server::close_idle()
{
    state_->close_idle_sessions();
}

void server::answer_unfinished(const response& answer)
{
    state_->answer_unfinished(answer);
}

std::size_t server::connections() const
{
    const std::scoped_lock lock(state_->mutex);
    return state_->sessions.size();
}

void server::begin_stop()
{
    state_->is_stopping = true;
    state_->close_acceptor();
    state_->close_idle_sessions();
}

void server::state::close_acceptor()
{
    asio::post(acceptor.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->acceptor.close(ignored);
        self->sweep_timer.cancel();
    });
}

void server::state::end_wait(const std::shared_ptr<session>& connection,
                             std::function<bool(const session&)> is_due)
{
    asio::post(connection->stream.get_executor(), [connection, is_due = std::move(is_due)] {
        if (is_due(*connection))
        {
            error_code ignored;
            connection->stream.socket().cancel(ignored);
        }
    });
}

void server::state::close_idle_sessions()
{
    const std::scoped_lock lock(mutex);
    for (const auto& connection : sessions)
    {
        end_wait(connection, [](const session& item) { return !item.is_busy; });
    }
}

void server::state::answer_unfinished(const response& answer)
{
    std::ostringstream text;
    text << make_message(answer, http_1_1, false);
    const std::scoped_lock lock(mutex);
    for (const auto& connection : sessions)
    {
        asio::post(connection->stream.get_executor(), [connection, text = text.str()] {
            if (connection->current && !connection->current->answer)
            {
                // Nothing else is being written, so that a short answer fits into the socket's buffer.
                auto& socket = connection->stream.socket();
                error_code ignored;
                socket.non_blocking(true, ignored);
                socket.write_some(asio::buffer(text), ignored);
                socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            }
        });
    }
}

void server::state::close_all_sessions()
{
    const std::scoped_lock lock(mutex);
    for (const auto& connection : sessions)
    {
        asio::post(connection->stream.get_executor(), [connection] {
            error_code ignored;
            connection->stream.socket().close(ignored);
        });
    }
}

internal::connection_wait server::state::describe_wait(const session& connection)
{
    return {connection.waiting_since_ms, connection.current.has_value(), connection.progress};
}

bool server::state::make_room()
{
    const std::scoped_lock lock(mutex);
    std::vector<std::shared_ptr<session>> open;
    if (limits.connections == 0 || sessions.size() < limits.connections)
    {
        return true;
    }
    std::ranges::copy_if(sessions, std::back_inserter(open),
                         [](const auto& item) { return !item->is_evicted; });
    if (open.size() < limits.connections)
    {
        return true;
    }
    std::vector<internal::connection_wait> waits;
    std::ranges::transform(open, std::back_inserter(waits),
                           [](const auto& item) { return describe_wait(*item); });
    const auto chosen = internal::choose_connection_to_close(waits);
    ++evicted;
    if (!chosen)
    {
        return false;
    }
    const auto& connection = open[*chosen];
    connection->is_evicted = true;
    end_wait(connection, [](const session& item) { return item.is_evicted && !item.is_busy; });
    return true;
}

asio::awaitable<void> server::state::accept()
{
    const auto self = shared_from_this();
    while (!is_stopping)
    {
        error_code code;
        // A strand of its own for each connection; a strand on the acceptor's strand would serialise them
        // all.
        auto socket = co_await acceptor.async_accept(core::make_strand(executor),
                                                     asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor)
        {
            co_return;
        }
        if (code)
        {
            // Without a free descriptor, each further attempt fails at once.
            constexpr core::duration accept_pause{100};
            spdlog::warn("no connection was accepted at port {}: {}", port, code.message());
            co_await core::pause_for(accept_pause);
            continue;
        }
        error_code ignored;
        if (!make_room())
        {
            socket.close(ignored);
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto remote = socket.remote_endpoint(ignored);
        const auto connection = std::make_shared<session>(std::move(socket));
        connection->caller = {remote.address().to_string(), remote.port()};
        {
            const std::scoped_lock lock(mutex);
            sessions.insert(connection);
        }
        asio::co_spawn(
            connection->stream.get_executor(), [self, connection] { return self->serve(connection); },
            asio::detached);
    }
}

asio::awaitable<void> server::state::sweep()
{
    constexpr std::int64_t most_interval_ms = 1000;
    const auto self = shared_from_this();
    const auto interval = std::chrono::milliseconds(std::min(limits.idle.ms, most_interval_ms));
    while (acceptor.is_open())
    {
        error_code ignored;
        sweep_timer.expires_after(interval);
        co_await sweep_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const std::scoped_lock lock(mutex);
        for (const auto& connection : sessions)
        {
            end_wait(connection, [times = internal::wait_limits{limits.idle, limits.head, limits.body}](
                                     const session& item) {
                // A read that had ended before its session was chosen for closing may have been followed by
                // another.
                return (item.is_evicted && !item.is_busy) ||
                       internal::is_overdue(describe_wait(item), times, core::clock::now());
            });
        }
    }
}

asio::awaitable<void> server::state::serve(std::shared_ptr<session> connection)
{
    try
    {
        while (co_await serve_one(*connection))
        {
        }
    }
    catch (const std::exception& failure)
    {
        // Mostly a caller that closed the connection or fell silent.
        report_loss(*connection, failure.what());
    }
    error_code ignored;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    connection->stream.socket().close(ignored);
    const std::scoped_lock lock(mutex);
    sessions.erase(connection);
}

void server::state::report_loss(const session& connection, const char* reason)
{
    if (connection.current && hooks.on_loss)
    {
        hooks.on_loss(*connection.current, reason);
    }
}

asio::awaitable<void> server::state::linger(session& connection)
{
    constexpr std::chrono::milliseconds linger_time(1000);
    connection.is_busy = true;
    connection.waiting_since_ms = 0;
    auto& socket = connection.stream.socket();
    error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), linger_time);
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [timer, owner = connection.shared_from_this()](const error_code& code) {
                          // Unread bytes hide the end, so they get the whole time.
                          if (code || has_departed(*owner))
                          {
                              timer->cancel();
                          }
                      });
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> server::state::serve_one(session& connection)
{
    beast::http::request_parser<beast::http::string_body> parser;
    const auto current = [this] {
        const std::scoped_lock lock(mutex);
        return limits;
    }();
    connection.is_busy = false;
    if (is_stopping)
    {
        co_return false;
    }
    connection.waiting_since_ms = core::clock::now().ms;
    held_message held(hooks.budget, [&connection] {
        error_code ignored;
        connection.stream.socket().cancel(ignored);
    });
    const internal::read_limits read_limits{current.head_bytes, current.body_bytes, std::nullopt};
    const auto code = co_await internal::read_message(connection.stream, connection.buffer, parser,
                                                      read_limits, held, &connection.progress);
    connection.progress = {};
    connection.is_evicted = connection.is_evicted && code;
    if (code)
    {
        co_await refuse_input(connection, code, held.is_given_up());
        co_return false;
    }
    // Before the request is processed, it can be refused as one that has not run.
    if (!held.resize(parser.get().body().capacity() * current.body_copies + connection.buffer.capacity()))
    {
        co_await refuse_input(connection, code, true);
        co_return false;
    }
    held.keep();
    co_return co_await serve_request(connection, parser.release(), held);
}

asio::awaitable<void> server::state::refuse_input(session& connection, const error_code& code,
                                                  bool has_no_memory)
{
    if (!has_no_memory && !is_bad_input(code))
    {
        co_return;
    }
    const auto status = status_of(code);
    auto refusal = has_no_memory        ? make_memory_refusal()
                   : hooks.on_bad_input ? hooks.on_bad_input(status, code.message())
                                        : response{status, {}, ""};
    co_await write(connection, std::move(refusal), http_1_1, false, false);
    co_await linger(connection);
}

asio::awaitable<bool> server::state::serve_request(session& connection, internal::beast_request incoming,
                                                   held_message& held)
{
    connection.is_busy = true;
    connection.waiting_since_ms = 0;
    connection.current = {connection.caller, std::string(incoming.method_string()),
                          std::string(incoming.target()), std::nullopt, core::clock::now()};
    bool keep_alive = false;
    ++in_flight;
    try
    {
        auto reply = co_await answer(connection, incoming);
        // The handler has taken the body, so a client that reads slowly no longer holds its request.
        held.resize(connection.buffer.capacity());
        // A further request that was read with this one is answered too.
        const bool is_ending = is_stopping || (is_draining && connection.buffer.size() == 0);
        keep_alive = incoming.keep_alive() && !is_ending;
        connection.current->answer = response(reply.status, reply.headers);
        connection.waiting_since_ms = core::clock::now().ms;
        co_await write(connection, std::move(reply), incoming.version(), keep_alive,
                       incoming.method() == beast::http::verb::head);
        connection.current.reset();
        --in_flight;
    }
    catch (...)
    {
        --in_flight;
        throw;
    }
    if (!keep_alive)
    {
        co_await linger(connection);
    }
    co_return keep_alive;
}

bool server::state::has_departed(session& connection)
{
    char byte = 0;
    const auto received =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes of a further request keep the socket readable, so a later close goes unnoticed.
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void server::state::watch_departure(const std::shared_ptr<session>& connection,
                                    const std::shared_ptr<core::cancellation>& departure)
{
    // A server that was short of processor time may read a request and the close behind it at once.
    if (has_departed(*connection))
    {
        departure->cancel();
        return;
    }
    connection->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection, weak = std::weak_ptr(departure)](const error_code& code) {
            const auto waiting = weak.lock();
            if (!code && waiting && has_departed(*connection))
            {
                waiting->cancel();
            }
        });
}

asio::awaitable<response> server::state::answer(session& connection, internal::beast_request& incoming)
{
    const auto departure = std::make_shared<core::cancellation>();
    watch_departure(connection.shared_from_this(), departure);
    try
    {
        request message{std::string(incoming.method_string()), std::string(incoming.target()),
                        internal::to_headers(incoming), std::move(incoming.body())};
        auto reply = co_await on_request(std::move(message), connection.caller, departure);
        error_code ignored;
        connection.stream.socket().cancel(ignored);
        co_return reply;
    }
    catch (const std::exception& failure)
    {
        response reply{status_internal_error, {{"Content-Type", "text/plain"}}, failure.what()};
        co_return reply;
    }
}

asio::awaitable<void> server::state::write(session& connection, response answer, unsigned version,
                                           bool keep_alive, bool is_head)
{
    auto outgoing = make_message(std::move(answer), version, keep_alive);
    if (is_head)
    {
        outgoing.body().clear();
    }
    held_message held(hooks.budget, [&connection] {
        error_code ignored;
        connection.stream.socket().close(ignored);
    });
    if (!held.resize(outgoing.body().capacity()))
    {
        throw system_error(make_error_code(boost::system::errc::not_enough_memory));
    }
    co_await beast::http::async_write(connection.stream, outgoing, asio::use_awaitable);
}

} // namespace briarfold::http
