#include "wire/internal/peer_link.hpp"

#include "wire/iforwarder.hpp"

#include <algorithm>

namespace briarfold::wire::internal {

namespace {

namespace asio = core::asio;
using boost::system::error_code;
using namespace core::literals;

/// A live peer in another zone accepts within a few round trips; a longer timeout only delays the choice of
/// another peer.
constexpr core::duration connect_timeout{300};
/// A connection that receives nothing for ping_idle_time gets a ping, which the peer answers at once, however
/// slow its backend servers are. With the default pong timeout, a silent connection is detected within 700
/// ms.
constexpr core::duration liveness_check_interval{100};
constexpr core::duration ping_idle_time{150};
constexpr std::size_t read_bytes = 65536;
/// Above this size the peer does not keep up, and further calls would only wait.
constexpr std::size_t max_outbox_bytes = std::size_t{8} << 20U;

std::chrono::milliseconds to_chrono(core::duration span)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(span.ms, 0));
}

} // namespace

struct peer_link::connection
{
    explicit connection(const asio::any_io_executor& executor) : socket(executor), watch_timer(executor) {}

    void close()
    {
        error_code ignored;
        socket.close(ignored);
        watch_timer.cancel();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer watch_timer;
    frame_reader reader;
    std::string writing;
    bool is_writing = false;
    core::time_point last_receive = core::clock::now();
    core::time_point ping_sent_at;
    bool is_ping_in_flight = false;
};

struct peer_link::pending
{
    explicit pending(const asio::any_io_executor& executor) : done(executor) {}

    asio::steady_timer done;
    bool is_sent = false;
    bool is_answered = false;
    std::string failure;
    frame answer;
};

peer_link::peer_link(const asio::any_io_executor& executor, http::endpoint peer, std::string hello,
                     core::duration pong_timeout, std::shared_ptr<http::transfer_budget> budget)
    : strand_(core::make_strand(executor)), peer_(std::move(peer)), hello_(std::move(hello)),
      pong_timeout_(pong_timeout), budget_(std::move(budget)), connect_done_(strand_)
{}

asio::awaitable<void> peer_link::ensure_connected(core::duration time_left)
{
    if (is_closed_)
    {
        throw link_error("connect", http::to_string(peer_), "shutting down", false);
    }
    if (connection_)
    {
        co_return;
    }
    if (!is_connecting_)
    {
        is_connecting_ = true;
        connect_failure_.clear();
        connect_done_.expires_after(to_chrono(connect_timeout));
        const auto self = shared_from_this();
        asio::co_spawn(
            strand_, [self] { return self->run(); }, asio::detached);
    }
    error_code ignored;
    co_await connect_done_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!connection_)
    {
        const auto reason = connect_failure_.empty() ? std::string("connect timeout") : connect_failure_;
        throw link_error("connect", http::to_string(peer_), reason, false);
    }
    if (time_left.ms <= 0)
    {
        throw link_error("connect", http::to_string(peer_), "deadline passed", false);
    }
}

asio::awaitable<void> peer_link::run()
{
    const auto self = shared_from_this();
    const auto current = std::make_shared<connection>(strand_);
    // Closing the socket at the timeout ends the connect attempt.
    current->watch_timer.expires_after(to_chrono(connect_timeout));
    current->watch_timer.async_wait([current](const error_code& code) {
        if (!code)
        {
            error_code ignored;
            current->socket.close(ignored);
        }
    });
    error_code code;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(peer_.address, code), peer_.port);
    if (!code)
    {
        co_await current->socket.async_connect(remote, asio::redirect_error(asio::use_awaitable, code));
    }
    is_connecting_ = false;
    if (code || is_closed_)
    {
        current->close();
        connect_failure_ = code ? code.message() : "shutting down";
        connect_done_.cancel();
        co_return;
    }
    current->socket.set_option(asio::ip::tcp::no_delay(true), code);
    current->last_receive = core::clock::now();
    connection_ = current;
    outbox_ = hello_;
    flush();
    connect_done_.cancel();
    asio::co_spawn(
        strand_, [self, current] { return self->monitor_liveness(current); }, asio::detached);
    co_await read(current);
}

asio::awaitable<void> peer_link::read(std::shared_ptr<connection> current)
{
    // The requests that are written are counted where they were received.
    http::held_message held(budget_);
    while (connection_ == current)
    {
        error_code code;
        char* const space = current->reader.prepare(read_bytes);
        const auto size = co_await current->socket.async_read_some(
            asio::buffer(space, current->reader.capacity()), asio::redirect_error(asio::use_awaitable, code));
        if (code)
        {
            fail(current, code.message());
            co_return;
        }
        current->reader.commit(size);
        held.count(current->reader.held_bytes());
        current->last_receive = core::clock::now();
        current->is_ping_in_flight = false;
        try
        {
            while (auto message = current->reader.next())
            {
                dispatch(std::move(*message));
            }
        }
        catch (const core::connection_error& failure)
        {
            fail(current, failure.what());
        }
    }
}

asio::awaitable<void> peer_link::monitor_liveness(std::shared_ptr<connection> current)
{
    while (connection_ == current)
    {
        error_code ignored;
        current->watch_timer.expires_after(to_chrono(liveness_check_interval));
        co_await current->watch_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = core::clock::now();
        if (connection_ != current || pending_.empty())
        {
            continue;
        }
        if (current->is_ping_in_flight && now - current->ping_sent_at > pong_timeout_)
        {
            fail(current, "silent connection");
        }
        else if (!current->is_ping_in_flight && now - current->last_receive > ping_idle_time)
        {
            current->is_ping_in_flight = true;
            current->ping_sent_at = now;
            append_empty(outbox_, frame_type::ping, 0);
            flush();
        }
    }
}

void peer_link::flush()
{
    const auto current = connection_;
    if (!current || current->is_writing || outbox_.empty())
    {
        return;
    }
    current->is_writing = true;
    clear_frames(current->writing);
    current->writing.swap(outbox_);
    for (const auto& item : unsent_)
    {
        item->is_sent = true;
    }
    unsent_.clear();
    const auto self = shared_from_this();
    asio::async_write(current->socket, asio::buffer(current->writing),
                      asio::bind_executor(strand_, [self, current](const error_code& code, std::size_t) {
                          current->is_writing = false;
                          clear_frames(current->writing);
                          if (code)
                          {
                              self->fail(current, code.message());
                              return;
                          }
                          if (self->connection_ == current)
                          {
                              self->flush();
                          }
                      }));
}

void peer_link::dispatch(frame message)
{
    const auto position = pending_.find(message.id);
    if (position == pending_.end())
    {
        // A pong, or a late answer to a call that has already ended.
        return;
    }
    const auto entry = position->second;
    pending_.erase(position);
    entry->is_answered = true;
    entry->answer = std::move(message);
    entry->done.cancel();
}

void peer_link::fail(const std::shared_ptr<connection>& current, const std::string& reason)
{
    current->close();
    if (connection_ != current)
    {
        return;
    }
    connection_ = nullptr;
    outbox_.clear();
    unsent_.clear();
    const auto failed_calls = std::exchange(pending_, {});
    for (const auto& [id, entry] : failed_calls)
    {
        entry->failure = reason;
        entry->done.cancel();
    }
}

void peer_link::close(const std::string& reason)
{
    is_closed_ = true;
    if (connection_)
    {
        fail(connection_, reason);
    }
    connect_done_.cancel();
}

void peer_link::send_cancel(std::uint64_t id)
{
    if (connection_ && pending_.contains(id))
    {
        append_empty(outbox_, frame_type::cancel, id);
        flush();
    }
}

asio::awaitable<frame> peer_link::exchange(append_call append, core::time_point deadline,
                                           core::duration grace, std::shared_ptr<core::cancellation> cancel)
{
    const auto self = shared_from_this();
    co_await ensure_connected(deadline - core::clock::now());
    if (outbox_.size() > max_outbox_bytes)
    {
        throw link_error("forward", http::to_string(peer_), "the peer reads too slowly", false);
    }
    const auto id = ++next_id_;
    const auto entry = std::make_shared<pending>(strand_);
    const auto left = deadline - core::clock::now();
    entry->done.expires_after(to_chrono(left + grace));
    append(outbox_, id, left);
    pending_.emplace(id, entry);
    unsent_.push_back(entry);
    flush();
    if (cancel)
    {
        cancel->set_hook([self, id] { asio::post(self->strand_, [self, id] { self->send_cancel(id); }); });
    }
    error_code ignored;
    co_await entry->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (cancel)
    {
        cancel->set_hook({});
    }
    if (entry->is_answered)
    {
        co_return std::move(entry->answer);
    }
    if (!entry->failure.empty())
    {
        throw link_error("forward", http::to_string(peer_), entry->failure, entry->is_sent);
    }
    send_cancel(id);
    pending_.erase(id);
    throw core::timeout_error("forward", http::to_string(peer_), "no answer before the deadline");
}

} // namespace briarfold::wire::internal
