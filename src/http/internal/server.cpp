#include "http/server.hpp"

#include "core/error.hpp"
#include "core/pause.hpp"
#include "http/internal/connection_limit.hpp"
#include "http/internal/message_reader.hpp"
#include "http/internal/response_order.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <mutex>
#include <poll.h>
#include <set>
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

/// Whether the next read finds the end of the stream.
bool is_at_end(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// The answer to a request for which this process has no memory; it was not read to its end.
response make_memory_refusal()
{
    return response(status_unavailable, {{"Retry-After", "1"}});
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state>
{
    /// A request that was started and whose response is not written yet.
    struct exchange
    {
        unanswered_request request;
        /// False for input that could not be read as a request; its loss is not reported.
        bool is_request = true;
        std::shared_ptr<core::cancellation> departure;
        unsigned version = http_1_1;
        bool is_head = false;
        response answer;
        /// Count the request and the response until the response is written.
        std::unique_ptr<held_message> held_request;
        std::unique_ptr<held_message> held_answer;
    };

    /// All members are used on the strand of the connection only.
    struct session : std::enable_shared_from_this<session>
    {
        session(asio::ip::tcp::socket socket)
            : stream(std::move(socket)), change(stream.get_executor()), departure_timer(stream.get_executor())
        {}

        bool is_busy() const { return is_lingering || !order.is_empty(); }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        endpoint caller;
        bool is_lingering = false;
        /// Since when the session waits for the caller; 0 while a request is being answered.
        std::int64_t waiting_since_ms = 0;
        /// Progress of the request that is being read.
        internal::read_progress progress;
        bool is_evicted = false;
        internal::response_order order;
        std::map<internal::response_order::request_id, exchange> exchanges;
        /// Cancelled whenever `order` changes, to resume the reader.
        asio::steady_timer change;
        asio::steady_timer departure_timer;
        /// The reader waits for a change of `order` and does not notice the end of the stream itself.
        bool is_reader_waiting = false;
        bool is_departure_watched = false;
        /// Only the read was to be cancelled; a write that ends with it goes on.
        bool is_read_given_up = false;
        /// The caller closed its side.
        bool is_departed = false;
        /// A response could not be written.
        bool is_broken = false;
        /// The process ends after the answers that are due now.
        bool is_ending = false;
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
    /// Reads a request and starts it. Returns false when nothing more is read.
    asio::awaitable<bool> read_next(session& connection);
    /// Waits until the request may start behind those before it. Returns false when it never may.
    asio::awaitable<bool> wait_to_start(session& connection, bool is_concurrent);
    void start_request(session& connection, const internal::beast_request& incoming, request message,
                       bool is_concurrent, std::unique_ptr<held_message> held);
    /// Answers input that is no request, or none that is served, after the requests before it.
    asio::awaitable<void> refuse_input(session& connection, const error_code& code, bool has_no_memory);
    asio::awaitable<void> run_request(std::shared_ptr<session> connection,
                                      internal::response_order::request_id id, request message);
    /// Takes the response to a request that was started.
    void finish(session& connection, internal::response_order::request_id id, response reply);
    /// Writes the responses that are ready, in the order of their requests.
    asio::awaitable<void> write_ready(session& connection);
    static asio::awaitable<void> write(session& connection, exchange& item, bool keep_alive);
    /// Ends a connection whose responses can no longer be written.
    void fail(session& connection, const std::string& reason);
    void drop(session& connection, internal::response_order::request_id id, const std::string& reason);
    /// Whether a further request may neither be read nor started.
    bool is_over(const session& connection) const;
    /// Whether the connection closes after the requests that were started.
    bool is_ending(const session& connection) const;
    /// Waits until the order of responses changes, and notices the departure of the caller meanwhile.
    static asio::awaitable<void> wait_for_change(session& connection);
    /// Waits after the last answer until the caller has closed its side. A connection that is closed with
    /// unread bytes is reset, and the caller may lose the answer.
    static asio::awaitable<void> linger(session& connection);
    void answer_unfinished(const response& answer);
    /// Whether the caller closed its side, read to its end or not.
    static bool has_departed(session& connection);
    static void cancel_requests(session& connection);
    /// Cancels the requests when the caller closes the connection while nothing is read from it.
    static void watch_departure(const std::shared_ptr<session>& connection);
    static void poll_departure(const std::shared_ptr<session>& connection);
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
        end_wait(connection, [](const session& item) { return !item.is_busy(); });
    }
}

void server::state::answer_unfinished(const response& answer)
{
    const std::scoped_lock lock(mutex);
    for (const auto& connection : sessions)
    {
        asio::co_spawn(
            connection->stream.get_executor(),
            [self = shared_from_this(), connection, answer]() -> asio::awaitable<void> {
                connection->is_ending = true;
                std::vector<internal::response_order::request_id> unfinished;
                for (const auto& [id, item] : connection->exchanges)
                {
                    if (!item.request.answer)
                    {
                        unfinished.push_back(id);
                    }
                }
                for (const auto id : unfinished)
                {
                    self->finish(*connection, id, answer);
                }
                co_await self->write_ready(*connection);
            },
            asio::detached);
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
    return {connection.waiting_since_ms, connection.order.is_writing(), connection.progress};
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
    end_wait(connection, [](const session& item) { return item.is_evicted && !item.is_busy(); });
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
                return (item.is_evicted && !item.is_busy()) ||
                       internal::is_overdue(describe_wait(item), times, core::clock::now());
            });
        }
    }
}

asio::awaitable<void> server::state::serve(std::shared_ptr<session> connection)
{
    try
    {
        while (co_await read_next(*connection))
        {
        }
        while (!connection->order.is_empty())
        {
            co_await wait_for_change(*connection);
        }
        if (connection->order.is_closing() && !connection->is_broken)
        {
            co_await linger(*connection);
        }
    }
    catch (const std::exception& failure)
    {
        fail(*connection, failure.what());
    }
    error_code ignored;
    connection->departure_timer.cancel();
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    connection->stream.socket().close(ignored);
    const std::scoped_lock lock(mutex);
    sessions.erase(connection);
}

asio::awaitable<void> server::state::linger(session& connection)
{
    constexpr std::chrono::milliseconds linger_time(1000);
    connection.is_lingering = true;
    connection.waiting_since_ms = 0;
    auto& socket = connection.stream.socket();
    error_code ignored;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), linger_time);
    socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [timer, owner = connection.shared_from_this()](const error_code& code) {
                          // Closing with unread bytes resets the connection, so they get the whole time.
                          if (code || is_at_end(owner->stream.socket()))
                          {
                              timer->cancel();
                          }
                      });
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> server::state::read_next(session& connection)
{
    const auto current = [this] {
        const std::scoped_lock lock(mutex);
        return limits;
    }();
    const internal::pipeline_limits bounds{current.pipelined_requests, current.pipelined_bytes};
    while (!connection.order.may_read(bounds, is_ending(connection)))
    {
        if (is_over(connection) || connection.order.is_last_started())
        {
            co_return false;
        }
        co_await wait_for_change(connection);
    }
    if (is_over(connection) || (connection.order.is_empty() && is_stopping))
    {
        co_return false;
    }
    if (connection.order.is_empty())
    {
        connection.waiting_since_ms = core::clock::now().ms;
    }
    beast::http::request_parser<beast::http::string_body> parser;
    auto held = std::make_unique<held_message>(hooks.budget, [&connection] {
        error_code ignored;
        connection.is_read_given_up = connection.order.is_writing();
        connection.stream.socket().cancel(ignored);
    });
    const internal::read_limits read_limits{current.head_bytes, current.body_bytes, std::nullopt};
    const auto code = co_await internal::read_message(connection.stream, connection.buffer, parser,
                                                      read_limits, *held, &connection.progress);
    connection.progress = {};
    connection.is_evicted = connection.is_evicted && code;
    if (is_over(connection))
    {
        co_return false;
    }
    if (code)
    {
        co_await refuse_input(connection, code, held->is_given_up());
        co_return false;
    }
    // Before the request is processed, it can be refused as one that has not run.
    if (!held->resize(parser.get().body().capacity() * current.body_copies + connection.buffer.capacity()))
    {
        co_await refuse_input(connection, code, true);
        co_return false;
    }
    held->keep();
    auto incoming = parser.release();
    request message{std::string(incoming.method_string()), std::string(incoming.target()),
                    internal::to_headers(incoming), std::move(incoming.body())};
    const bool is_concurrent = hooks.may_run_concurrently && hooks.may_run_concurrently(message);
    if (!co_await wait_to_start(connection, is_concurrent))
    {
        co_return false;
    }
    start_request(connection, incoming, std::move(message), is_concurrent, std::move(held));
    co_return true;
}

asio::awaitable<bool> server::state::wait_to_start(session& connection, bool is_concurrent)
{
    while (!connection.order.may_start(is_concurrent, is_ending(connection)))
    {
        if (is_over(connection))
        {
            co_return false;
        }
        co_await wait_for_change(connection);
    }
    co_return !is_over(connection);
}

void server::state::start_request(session& connection, const internal::beast_request& incoming,
                                  request message, bool is_concurrent, std::unique_ptr<held_message> held)
{
    exchange item;
    item.request = {connection.caller, message.method, message.target, std::nullopt, core::clock::now()};
    item.departure = std::make_shared<core::cancellation>();
    item.version = incoming.version();
    item.is_head = incoming.method() == beast::http::verb::head;
    item.held_request = std::move(held);
    auto bytes = message.method.size() + message.target.size() + message.body.size();
    for (const auto& [name, value] : message.headers)
    {
        bytes += name.size() + value.size();
    }
    const auto id = connection.order.start(is_concurrent, !incoming.keep_alive(), bytes);
    connection.exchanges.emplace(id, std::move(item));
    ++in_flight;
    if (!connection.order.is_writing())
    {
        connection.waiting_since_ms = 0;
    }
    // A server that was short of processor time may read a request and the close behind it at once.
    if (has_departed(connection))
    {
        cancel_requests(connection);
    }
    asio::co_spawn(
        connection.stream.get_executor(),
        [self = shared_from_this(), owner = connection.shared_from_this(), id,
         message = std::move(message)]() mutable {
            return self->run_request(std::move(owner), id, std::move(message));
        },
        asio::detached);
}

asio::awaitable<void> server::state::refuse_input(session& connection, const error_code& code,
                                                  bool has_no_memory)
{
    if (!has_no_memory && !is_bad_input(code))
    {
        // The caller closed its side, or fell silent without an unanswered request.
        cancel_requests(connection);
        co_return;
    }
    const auto status = status_of(code);
    auto refusal = has_no_memory        ? make_memory_refusal()
                   : hooks.on_bad_input ? hooks.on_bad_input(status, code.message())
                                        : response{status, {}, ""};
    exchange item;
    item.is_request = false;
    item.departure = std::make_shared<core::cancellation>();
    const auto id = connection.order.start(false, true, 0);
    connection.exchanges.emplace(id, std::move(item));
    ++in_flight;
    finish(connection, id, std::move(refusal));
    co_await write_ready(connection);
}

asio::awaitable<void> server::state::run_request(std::shared_ptr<session> connection,
                                                 internal::response_order::request_id id, request message)
{
    response reply;
    try
    {
        const auto departure = connection->exchanges.at(id).departure;
        reply = co_await on_request(std::move(message), connection->caller, departure);
    }
    catch (const std::exception& failure)
    {
        reply = response(status_internal_error, {{"Content-Type", "text/plain"}}, failure.what());
    }
    finish(*connection, id, std::move(reply));
    co_await write_ready(*connection);
}

void server::state::finish(session& connection, internal::response_order::request_id id, response reply)
{
    const auto found = connection.exchanges.find(id);
    if (found == connection.exchanges.end() || found->second.request.answer)
    {
        // It was answered in place of its handler.
        return;
    }
    auto& item = found->second;
    item.request.answer = response(reply.status, reply.headers);
    if (connection.is_broken)
    {
        drop(connection, id, "the connection ended");
        return;
    }
    item.held_answer = std::make_unique<held_message>(hooks.budget, [&connection] {
        error_code ignored;
        connection.stream.socket().close(ignored);
    });
    // The handler has taken the body, so a client that reads slowly no longer holds its request.
    item.held_request.reset();
    const auto bytes = reply.body.capacity();
    item.answer = std::move(reply);
    connection.order.complete(id, bytes);
    if (!item.held_answer->resize(bytes))
    {
        fail(connection, "no memory for the answer");
    }
}

asio::awaitable<void> server::state::write_ready(session& connection)
{
    while (!connection.is_broken)
    {
        const auto step = connection.order.begin_write(is_ending(connection));
        if (!step)
        {
            co_return;
        }
        connection.waiting_since_ms = core::clock::now().ms;
        try
        {
            co_await write(connection, connection.exchanges.at(step->id), !step->closes);
        }
        catch (const std::exception& failure)
        {
            fail(connection, failure.what());
            co_return;
        }
        if (connection.is_broken)
        {
            // The connection failed meanwhile, which dropped this response.
            co_return;
        }
        connection.order.end_write();
        connection.exchanges.erase(step->id);
        --in_flight;
        connection.waiting_since_ms = connection.order.is_empty() ? core::clock::now().ms : 0;
        connection.change.cancel();
        if (step->closes)
        {
            // Ends the read of a further request.
            error_code ignored;
            connection.stream.socket().cancel(ignored);
        }
    }
}

asio::awaitable<void> server::state::write(session& connection, exchange& item, bool keep_alive)
{
    auto outgoing = make_message(std::move(item.answer), item.version, keep_alive);
    if (item.is_head)
    {
        outgoing.body().clear();
    }
    beast::http::response_serializer<beast::http::string_body> serializer(outgoing);
    error_code code;
    connection.is_read_given_up = false;
    do
    {
        co_await beast::http::async_write(connection.stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, code));
    } while (code == asio::error::operation_aborted && std::exchange(connection.is_read_given_up, false));
    if (code)
    {
        throw system_error(code);
    }
}

void server::state::fail(session& connection, const std::string& reason)
{
    if (connection.is_broken)
    {
        return;
    }
    connection.is_broken = true;
    error_code ignored;
    connection.stream.socket().close(ignored);
    cancel_requests(connection);
    std::vector<internal::response_order::request_id> answered;
    for (const auto& [id, item] : connection.exchanges)
    {
        if (item.request.answer)
        {
            answered.push_back(id);
        }
    }
    for (const auto id : answered)
    {
        drop(connection, id, reason);
    }
    connection.change.cancel();
}

void server::state::drop(session& connection, internal::response_order::request_id id,
                         const std::string& reason)
{
    const auto node = connection.exchanges.extract(id);
    connection.order.remove(id);
    connection.change.cancel();
    --in_flight;
    if (node.mapped().is_request && hooks.on_loss)
    {
        hooks.on_loss(node.mapped().request, reason);
    }
}

bool server::state::is_over(const session& connection) const
{
    // Without pipelining, requests that were read together with a half-close are still answered.
    const bool is_left = connection.is_departed && hooks.may_run_concurrently;
    return connection.is_broken || connection.order.is_closing() || is_left;
}

bool server::state::is_ending(const session& connection) const
{
    // With pipelining, a client repeats the requests behind the last response. Otherwise a further request
    // that was read with this one is answered too.
    const bool may_leave_input = hooks.may_run_concurrently || connection.buffer.size() == 0;
    return is_stopping || connection.is_ending || (is_draining && may_leave_input);
}

asio::awaitable<void> server::state::wait_for_change(session& connection)
{
    error_code ignored;
    connection.is_reader_waiting = true;
    watch_departure(connection.shared_from_this());
    connection.change.expires_at(asio::steady_timer::time_point::max());
    co_await connection.change.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    connection.is_reader_waiting = false;
    connection.departure_timer.cancel();
}

bool server::state::has_departed(session& connection)
{
    // Unlike a read, this finds the end behind unread bytes of further requests.
    pollfd query{connection.stream.socket().native_handle(), POLLRDHUP, 0};
    return ::poll(&query, 1, 0) > 0;
}

void server::state::cancel_requests(session& connection)
{
    connection.is_departed = true;
    // The hooks of the cancellations may end requests at once.
    std::vector<std::shared_ptr<core::cancellation>> departures;
    departures.reserve(connection.exchanges.size());
    for (const auto& [id, item] : connection.exchanges)
    {
        departures.push_back(item.departure);
    }
    std::ranges::for_each(departures, [](const auto& departure) { departure->cancel(); });
}

void server::state::watch_departure(const std::shared_ptr<session>& connection)
{
    if (connection->is_departure_watched || !connection->stream.socket().is_open())
    {
        return;
    }
    connection->is_departure_watched = true;
    connection->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                           [connection](const error_code& code) {
                                               connection->is_departure_watched = false;
                                               if (!code)
                                               {
                                                   poll_departure(connection);
                                               }
                                           });
}

void server::state::poll_departure(const std::shared_ptr<session>& connection)
{
    // Unread bytes keep the socket readable, so that a wait for readability would end at once.
    constexpr std::chrono::milliseconds poll_interval(50);
    if (!connection->is_reader_waiting || !connection->stream.socket().is_open())
    {
        return;
    }
    if (has_departed(*connection))
    {
        cancel_requests(*connection);
        return;
    }
    connection->departure_timer.expires_after(poll_interval);
    connection->departure_timer.async_wait([connection](const error_code& code) {
        if (!code)
        {
            poll_departure(connection);
        }
    });
}

} // namespace briarfold::http
