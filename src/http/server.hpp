/// HTTP/1.1 server with keep-alive, size limits and a graceful stop.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"
#include "http/transfer_budget.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarfold::http {

struct server_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 1048576;
    core::duration idle{60000};
    /// Requests of one connection that are processed concurrently. Each of their responses is held until
    /// those before it are written.
    std::size_t pipelined_requests = 8;
    /// Bytes of the unanswered requests of one connection and of their responses at which no further request
    /// is read. Responses to requests that already run come in addition.
    std::size_t pipelined_bytes = 262144;
    /// Time from the first byte of a request to the end of its head, and from there to the end of its body.
    /// With 0, the whole request has to arrive within `idle` after the connection began to wait for it.
    core::duration head{0};
    core::duration body{0};
    /// Most open connections; 0 for no limit. Only for servers on one thread.
    std::size_t connections = 0;
    /// Copies of the body of a request that exist while the request is processed, the one that was read
    /// included.
    std::size_t body_copies = 1;
};

/// Answers one request. Runs on the strand of the connection. An exception becomes a 500 answer.
using handler = std::function<core::asio::awaitable<response>(request message, endpoint caller)>;
/// The same with a flag that is raised when the caller closes its connection before the answer.
using watched_handler = std::function<core::asio::awaitable<response>(
    request message, endpoint caller, std::shared_ptr<core::cancellation> departure)>;
/// Makes the answer for input that could not be parsed: 400, 413 or 431.
using bad_input_handler = std::function<response(unsigned status, const std::string& reason)>;

/// A request that was read and whose connection ended before its answer was written.
struct unanswered_request
{
    endpoint caller;
    std::string method;
    std::string target;
    /// The answer that could not be written, without its body.
    std::optional<response> answer;
    core::time_point arrived;
};

/// Whether a request may be processed concurrently with other requests of its connection. Such a request may
/// run more than once, because a client repeats it when its connection ends. Must not throw.
using concurrency_handler = std::function<bool(const request& message)>;

using loss_handler = std::function<void(const unanswered_request& request, const std::string& reason)>;

struct server_hooks
{
    bad_input_handler on_bad_input;
    /// Called on the strand of the connection, once for each unanswered request.
    loss_handler on_loss;
    /// Without it, the requests of a connection are processed one after the other.
    concurrency_handler may_run_concurrently;
    /// Messages count in it while they are read, answered and written. Only for servers on one thread.
    std::shared_ptr<transfer_budget> budget;
};

class server
{
public:
    /// Listens at once. Port 0 picks a free port. Throws core::connection_error when the address is in use.
    server(const core::asio::any_io_executor& executor, const endpoint& local, handler on_request,
           server_limits limits = {}, server_hooks hooks = {});
    server(const core::asio::any_io_executor& executor, const endpoint& local, watched_handler on_request,
           server_limits limits = {}, server_hooks hooks = {});
    /// Stops accepting and closes connections at once.
    ~server();

    /// In force for requests that begin later.
    void set_limits(server_limits limits);
    /// The last answer of each connection carries `Connection: close`; new connections and requests are
    /// still taken. With pipelining, requests behind the last started one are left unanswered.
    void begin_drain();
    /// Closes connections that wait for a request.
    void close_idle();
    /// Answers the requests that are still being answered in place of their handlers, before the process
    /// ends.
    void answer_unfinished(const response& answer);
    /// Open connections.
    std::size_t connections() const;
    /// Connections that were closed because of the limit of their number.
    std::size_t evicted_connections() const;

    unsigned short port() const;
    /// Requests being answered now.
    std::size_t in_flight() const;
    /// Accepts no new connection, closes idle ones and closes each other one after its current answer. The
    /// answer carries `Connection: close`.
    void begin_stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::http
