/// Interface that forwards requests to the fronts on other routers.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "core/error.hpp"
#include "wire/frame_types.hpp"

#include <memory>

namespace briarfold::wire {

/// Error of a connection to a peer that failed before the result arrived.
class link_error : public core::connection_error
{
public:
    link_error(std::string step, std::string peer, const std::string& what, bool is_sent)
        : core::connection_error(std::move(step), std::move(peer), what), is_sent_(is_sent)
    {}

    /// Returns whether any byte of the request may have been sent. If false, the request did not run.
    bool is_sent() const { return is_sent_; }

private:
    bool is_sent_;
};

class iforwarder
{
public:
    virtual ~iforwarder() = default;

    /// Forwards `request` and waits for the result until its deadline plus a short grace period, in which the
    /// front can still report the outcome. Cancelling `cancel`, which may be null, sends a cancel frame.
    /// Thread-safe. Throws link_error, or core::timeout_error when no result arrived in time.
    virtual core::asio::awaitable<forward_result> forward(http::endpoint peer, forward_request request,
                                                          std::shared_ptr<core::cancellation> cancel) = 0;
};

} // namespace briarfold::wire
