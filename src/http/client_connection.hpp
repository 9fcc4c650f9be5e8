/// One keep-alive HTTP/1.1 connection for one exchange at a time.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "http/http_types.hpp"
#include "http/transfer_budget.hpp"

#include <memory>

namespace briarfold::http {

/// Limits of one answer. A faulty server may send bytes without end. The framing of a body may take as many
/// bytes as the body's limit.
struct answer_limits
{
    std::size_t head_bytes = std::size_t{64} * 1024;
    std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
    /// Interim (1xx) answers before the final one.
    int interim_answers = 16;
};

/// An answer that is longer than its limits allow.
class limit_error : public core::connection_error
{
public:
    using core::connection_error::connection_error;
};

/// Not thread-safe: all calls run on the executor given at construction. After an exchange that threw, the
/// connection is closed for good; open a new one.
class client_connection
{
public:
    /// Answers count in `budget` while they are read; without one, only their own limits hold.
    client_connection(core::asio::any_io_executor executor, endpoint peer, answer_limits limits = {},
                      std::shared_ptr<transfer_budget> budget = nullptr);
    ~client_connection();
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;

    /// Throws core::connection_error or core::timeout_error.
    core::asio::awaitable<void> connect(core::duration timeout);

    /// Sends the request and reads the whole final answer. An answer over the limits closes the connection. A
    /// failure resets it, so that a request that is still on its way is not delivered later.
    /// Throws core::connection_error, limit_error or core::timeout_error; `has_sent_bytes` then tells whether
    /// any byte of the request may have left.
    core::asio::awaitable<response> exchange(const request& message, core::duration timeout);

    /// Whether any byte of the current or last request was handed to the operating system.
    bool has_sent_bytes() const;
    /// Whether the connection can carry another exchange.
    bool is_open() const;
    /// Whether the connection is open, idle and quiet: the peer has neither closed it nor sent bytes that
    /// nobody asked for, such as the end of an earlier answer.
    bool is_reusable();
    /// Closes at once; a pending operation ends with core::connection_error.
    void close();
    /// The same with a reset, so that bytes which are still on their way are lost.
    void abort();
    const endpoint& peer() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Connects, makes one exchange and closes. For control traffic and tools.
core::asio::awaitable<response> fetch(endpoint peer, request message, core::duration timeout);

} // namespace briarfold::http
