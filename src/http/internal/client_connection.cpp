#include "http/client_connection.hpp"

#include "core/error.hpp"
#include "http/internal/message_reader.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace briarfold::http {

namespace {

namespace asio = core::asio;
namespace beast = boost::beast;

bool is_over_limit(const boost::system::error_code& code)
{
    using beast::http::error;
    return code == error::body_limit || code == error::header_limit || code == error::buffer_overflow;
}

/// Whether the status can be that of a final answer. A faulty server may send any three digits, and a change
/// of protocol was not asked for.
bool is_final_status(unsigned status)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    return first_final <= status && status <= last_final;
}

/// Whether the head announces a body that the parser skips because of the status. Its bytes would be taken
/// for the next answer.
bool announces_forbidden_body(const beast::http::response<beast::http::string_body>& answer)
{
    using beast::http::field;
    const auto status = answer.result();
    const bool has_length = answer.count(field::content_length) > 0 && answer[field::content_length] != "0";
    return answer.count(field::transfer_encoding) > 0
               ? status == beast::http::status::no_content || status == beast::http::status::not_modified
               : status == beast::http::status::no_content && has_length;
}

[[noreturn]] void rethrow(const boost::system::system_error& failure, const char* step, const endpoint& peer)
{
    if (failure.code() == beast::error::timeout)
    {
        throw core::timeout_error(step, to_string(peer), "timeout");
    }
    if (is_over_limit(failure.code()))
    {
        throw limit_error(step, to_string(peer), failure.code().message());
    }
    throw core::connection_error(step, to_string(peer), failure.code().message());
}

} // namespace

struct client_connection::state
{
    state(asio::any_io_executor executor, endpoint remote, answer_limits answer_limits,
          std::shared_ptr<transfer_budget> shared_budget)
        : stream(std::move(executor)), peer(std::move(remote)), limits(answer_limits),
          budget(std::move(shared_budget))
    {}

    /// Reads the next answer, final or not.
    asio::awaitable<beast::http::response<beast::http::string_body>> read(bool has_body,
                                                                          core::time_point deadline);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    endpoint peer;
    answer_limits limits;
    std::shared_ptr<transfer_budget> budget;
    bool sent = false;
    bool open = false;
};

asio::awaitable<beast::http::response<beast::http::string_body>>
client_connection::state::read(bool has_body, core::time_point deadline)
{
    beast::http::response_parser<beast::http::string_body> parser;
    parser.skip(!has_body);
    held_message held(budget, [this] {
        boost::system::error_code ignored;
        stream.socket().cancel(ignored);
    });
    const internal::read_limits all_limits{limits.head_bytes, limits.body_bytes, deadline};
    const auto code = co_await internal::read_message(stream, buffer, parser, all_limits, held);
    if (code)
    {
        throw boost::system::system_error(
            held.is_given_up() ? make_error_code(boost::system::errc::not_enough_memory) : code);
    }
    co_return parser.release();
}

client_connection::client_connection(asio::any_io_executor executor, endpoint peer, answer_limits limits,
                                     std::shared_ptr<transfer_budget> budget)
    : state_(std::make_unique<state>(std::move(executor), std::move(peer), limits, std::move(budget)))
{}

client_connection::~client_connection() = default;
client_connection::client_connection(client_connection&&) noexcept = default;
client_connection& client_connection::operator=(client_connection&&) noexcept = default;

asio::awaitable<void> client_connection::connect(core::duration timeout)
{
    auto& s = *state_;
    try
    {
        s.stream.expires_after(std::chrono::milliseconds(timeout.ms));
        const asio::ip::tcp::endpoint remote(asio::ip::make_address(s.peer.address), s.peer.port);
        co_await s.stream.async_connect(remote, asio::use_awaitable);
        s.stream.socket().set_option(asio::ip::tcp::no_delay(true));
        // The stream closes the socket by itself at a timeout. Without a reset, the system would go on
        // sending the request, and deliver it after a partition.
        s.stream.socket().set_option(asio::socket_base::linger(true, 0));
        s.open = true;
        s.sent = false;
    }
    catch (const boost::system::system_error& failure)
    {
        close();
        rethrow(failure, "connect", s.peer);
    }
}

asio::awaitable<response> client_connection::exchange(const request& message, core::duration timeout)
{
    auto& s = *state_;
    s.sent = false;
    if (!s.open)
    {
        throw core::connection_error("exchange", to_string(s.peer), "connection is closed");
    }
    try
    {
        const auto deadline = core::clock::now() + timeout;
        s.stream.expires_after(std::chrono::milliseconds(timeout.ms));
        beast::http::request<beast::http::span_body<const char>> outgoing;
        outgoing.version(11);
        outgoing.method_string(message.method);
        outgoing.target(message.target);
        internal::copy_headers(message.headers, outgoing);
        if (!has_header(message.headers, "Host"))
        {
            outgoing.set(beast::http::field::host, to_string(s.peer));
        }
        outgoing.body() = {message.body.data(), message.body.size()};
        outgoing.prepare_payload();
        // From here on bytes may leave at any time, whatever the outcome of the write.
        s.sent = true;
        co_await beast::http::async_write(s.stream, outgoing, asio::use_awaitable);
        const bool has_body = message.method != "HEAD";
        auto incoming = co_await s.read(has_body, deadline);
        for (int interim = 0;
             beast::http::to_status_class(incoming.result()) == beast::http::status_class::informational &&
             incoming.result() != beast::http::status::switching_protocols;
             ++interim)
        {
            if (interim == s.limits.interim_answers)
            {
                throw boost::system::system_error(
                    beast::http::make_error_code(beast::http::error::header_limit));
            }
            incoming = co_await s.read(has_body, deadline);
        }
        const bool is_proper =
            is_final_status(incoming.result_int()) && (!has_body || !announces_forbidden_body(incoming)) &&
            (incoming.result() != beast::http::status::not_modified || s.buffer.size() == 0);
        if (!is_proper)
        {
            throw boost::system::system_error(beast::http::make_error_code(beast::http::error::bad_status));
        }
        if (!incoming.keep_alive())
        {
            close();
        }
        response answer{incoming.result_int(), internal::to_headers(incoming), std::move(incoming.body())};
        co_return answer;
    }
    catch (const boost::system::system_error& failure)
    {
        abort();
        rethrow(failure, "exchange", s.peer);
    }
}

bool client_connection::has_sent_bytes() const
{
    return state_->sent;
}

bool client_connection::is_open() const
{
    return state_->open;
}

bool client_connection::is_reusable()
{
    if (!state_->open || state_->buffer.size() != 0)
    {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(state_->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::abort()
{
    state_->open = false;
    boost::system::error_code ignored;
    state_->stream.socket().close(ignored);
}

void client_connection::close()
{
    boost::system::error_code ignored;
    state_->stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
    abort();
}

const endpoint& client_connection::peer() const
{
    return state_->peer;
}

asio::awaitable<response> fetch(endpoint peer, request message, core::duration timeout)
{
    const auto deadline = core::clock::now() + timeout;
    const auto executor = co_await asio::this_coro::executor;
    client_connection connection(executor, std::move(peer));
    co_await connection.connect(timeout);
    const auto left = std::max(deadline - core::clock::now(), core::duration{1});
    co_return co_await connection.exchange(message, left);
}

} // namespace briarfold::http
