/// Interface of the entry role: the router that receives the caller's request.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "http/http_types.hpp"

#include <memory>

namespace briarfold::routing {

class ientry
{
public:
    virtual ~ientry() = default;

    /// Routes one request of a caller as described in docs/design.md section 5.1 and returns the response.
    /// `cancel` may be null. Thread-safe.
    virtual core::asio::awaitable<http::response> answer(http::request message,
                                                         std::shared_ptr<core::cancellation> cancel) = 0;
    /// Returns and counts the refusal of input that is not passed to `answer`, such as a malformed HTTP
    /// request (400, 413 or 431).
    virtual http::response make_refusal_response(unsigned status, const std::string& reason) = 0;
    /// Returns the number of requests that have no outcome yet.
    virtual std::size_t in_flight() const = 0;
    /// Refuses new requests as not run from now on. Requests in flight finish.
    virtual void begin_stop() = 0;
};

} // namespace briarfold::routing
