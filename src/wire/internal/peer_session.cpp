#include "wire/internal/peer_session.hpp"

#include <spdlog/spdlog.h>

#include <openssl/crypto.h>

namespace briarfold::wire::internal {

namespace {

namespace asio = core::asio;
using boost::system::error_code;

constexpr std::size_t read_bytes = 65536;
/// Above this size the peer does not keep up, and no further answers are kept for it.
constexpr std::size_t max_outbox_bytes = std::size_t{2} << 20U;

/// Compares in constant time for texts of equal length.
bool is_same_secret(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

forward_result make_refusal(const char* reason)
{
    constexpr unsigned status_unavailable = 503;
    forward_result result;
    result.outcome = outcome::refused_not_run;
    result.status = status_unavailable;
    result.step = "front";
    result.reason = reason;
    result.not_run_reason = "stopping";
    return result;
}

/// Bodies of a forwarded request while the front works on it: its own and that of the message to the backend
/// server.
constexpr std::size_t body_copies = 2;

forward_result make_memory_refusal()
{
    constexpr core::duration retry_after{1000};
    auto result = make_refusal("no memory for the request");
    result.not_run_reason = "overload";
    result.retry_after = retry_after;
    return result;
}

forward_result make_unknown(const std::string& reason)
{
    constexpr unsigned status_bad_gateway = 502;
    forward_result result;
    result.status = status_bad_gateway;
    result.step = "front";
    result.reason = reason;
    return result;
}

} // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, std::shared_ptr<const session_context> context)
    : socket_(std::move(socket)), context_(std::move(context))
{
    held_.emplace(context_->budget);
}

asio::awaitable<void> peer_session::run()
{
    const auto self = shared_from_this();
    while (!is_ended_)
    {
        error_code code;
        char* const space = reader_.prepare(read_bytes);
        const auto size = co_await socket_.async_read_some(asio::buffer(space, reader_.capacity()),
                                                           asio::redirect_error(asio::use_awaitable, code));
        if (code)
        {
            break;
        }
        reader_.commit(size);
        count_buffers();
        try
        {
            while (auto message = reader_.next())
            {
                handle_frame(std::move(*message));
            }
        }
        catch (const core::connection_error&)
        {
            break;
        }
    }
    end();
}

void peer_session::handle_frame(frame message)
{
    if (!is_authenticated_)
    {
        if (message.type != frame_type::hello || !is_same_secret(message.text, context_->token))
        {
            throw core::connection_error("authenticate peer", "", "the first frame does not carry the token");
        }
        is_authenticated_ = true;
        peer_instance_ = message.instance_id;
        return;
    }
    const auto id = message.id;
    if (message.type == frame_type::forward)
    {
        const auto cancel = std::make_shared<core::cancellation>();
        in_flight_.emplace(id, cancel);
        asio::co_spawn(socket_.get_executor(), serve_forward(id, std::move(message.request), cancel),
                       asio::detached);
    }
    else if (message.type == frame_type::cancel)
    {
        if (const auto position = in_flight_.find(id); position != in_flight_.end())
        {
            position->second->cancel();
        }
    }
    else if (message.type == frame_type::rpc_call)
    {
        serve_rpc(id, std::move(message.text));
    }
    else if (message.type == frame_type::message)
    {
        asio::co_spawn(socket_.get_executor(), serve_message(id, std::move(message.text)), asio::detached);
    }
    else if (message.type == frame_type::ping)
    {
        append_empty(outbox_, frame_type::pong, 0);
        flush();
    }
}

asio::awaitable<void> peer_session::serve_forward(std::uint64_t id, forward_request request,
                                                  std::shared_ptr<core::cancellation> cancel)
{
    const auto self = shared_from_this();
    const auto handler = context_->forward();
    http::held_message held(context_->budget);
    forward_result result;
    if (!held.resize(request.body.capacity() * body_copies))
    {
        result = make_memory_refusal();
    }
    else if (!handler)
    {
        result = make_refusal("the front is not ready");
    }
    else
    {
        try
        {
            result = co_await (*handler)(std::move(request), cancel);
        }
        catch (const std::exception& failure)
        {
            result = make_unknown(failure.what());
        }
    }
    in_flight_.erase(id);
    if (is_ended_)
    {
        co_return;
    }
    if (outbox_.size() > max_outbox_bytes)
    {
        result = make_unknown("the router that received the request reads too slowly");
    }
    append_result(outbox_, id, result);
    ++results_in_outbox_;
    ++*context_->unsent_results;
    flush();
    count_buffers();
}

void peer_session::serve_rpc(std::uint64_t id, std::string message)
{
    const auto self = shared_from_this();
    context_->rpc(std::move(message), [self, id](std::string answer) {
        asio::post(self->socket_.get_executor(), [self, id, answer = std::move(answer)] {
            if (!self->is_ended_)
            {
                append_text(self->outbox_, frame_type::rpc_answer, id, answer);
                self->flush();
            }
        });
    });
}

asio::awaitable<void> peer_session::serve_message(std::uint64_t id, std::string text)
{
    const auto self = shared_from_this();
    const auto handler = context_->message();
    if (!handler)
    {
        co_return;
    }
    std::string answer;
    try
    {
        answer = co_await (*handler)(peer_instance_, std::move(text));
    }
    catch (const std::exception& failure)
    {
        spdlog::warn("message of {} was not handled: {}", peer_instance_, failure.what());
        co_return;
    }
    if (!is_ended_)
    {
        append_text(outbox_, frame_type::message_answer, id, answer);
        flush();
    }
}

void peer_session::flush()
{
    if (is_writing_ || outbox_.empty() || is_ended_)
    {
        return;
    }
    is_writing_ = true;
    clear_frames(writing_);
    writing_.swap(outbox_);
    results_in_writing_ = std::exchange(results_in_outbox_, 0);
    const auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(writing_), [self](const error_code& code, std::size_t) {
        self->is_writing_ = false;
        *self->context_->unsent_results -= std::exchange(self->results_in_writing_, 0);
        clear_frames(self->writing_);
        if (code)
        {
            self->end();
            return;
        }
        self->flush();
        self->count_buffers();
    });
}

void peer_session::count_buffers()
{
    if (held_)
    {
        held_->count(reader_.held_bytes() + outbox_.capacity() + writing_.capacity());
    }
}

void peer_session::end()
{
    if (std::exchange(is_ended_, true))
    {
        return;
    }
    error_code ignored;
    socket_.close(ignored);
    held_.reset();
    *context_->unsent_results -= std::exchange(results_in_outbox_, 0);
    // The peer can no longer receive these results.
    for (const auto& [id, cancel] : std::exchange(in_flight_, {}))
    {
        cancel->cancel();
    }
}

void peer_session::close()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(); });
}

} // namespace briarfold::wire::internal
