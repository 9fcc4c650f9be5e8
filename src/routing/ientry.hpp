/// The router that received the caller's request.
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

    /// Answers one request of a caller as docs/design.md section 5.1 says. `cancel` may be null. Thread-safe.
    virtual core::asio::awaitable<http::response> answer(http::request message,
                                                         std::shared_ptr<core::cancellation> cancel) = 0;
    /// The answer to input that is no HTTP request: 400, 413 or 431.
    virtual http::response answer_bad_input(unsigned status, const std::string& reason) = 0;
    /// Requests without an outcome yet.
    virtual std::size_t in_flight() const = 0;
    /// Refuses new requests as not run; those in flight finish.
    virtual void begin_stop() = 0;
};

} // namespace briarfold::routing
