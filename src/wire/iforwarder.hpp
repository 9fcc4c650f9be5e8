/// Sends requests to the front role of other routers.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "core/error.hpp"
#include "wire/frame_types.hpp"

#include <memory>

namespace briarfold::wire {

/// The connection to a peer failed before the result arrived.
class link_error : public core::connection_error
{
public:
    link_error(std::string step, std::string peer, const std::string& what, bool is_sent)
        : core::connection_error(std::move(step), std::move(peer), what), is_sent_(is_sent)
    {}

    /// Whether any byte of the request may have left. When false the request did not run.
    bool is_sent() const { return is_sent_; }

private:
    bool is_sent_;
};

class iforwarder
{
public:
    virtual ~iforwarder() = default;

    /// Waits for the result until the request's deadline and a short grace, in which the front reports what
    /// it knows. `cancel`, when given, sends a cancel frame. Thread-safe. Throws link_error, or
    /// core::timeout_error when no result came in time.
    virtual core::asio::awaitable<forward_result> forward(http::endpoint peer, forward_request request,
                                                          std::shared_ptr<core::cancellation> cancel) = 0;
};

} // namespace briarfold::wire
