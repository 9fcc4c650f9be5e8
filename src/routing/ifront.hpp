/// Interface of the front role: the router through which all requests for one backend server pass.
#pragma once

#include "core/asio.hpp"
#include "core/cancellation.hpp"
#include "wire/frame_types.hpp"

#include <memory>

namespace briarfold::routing {

class ifront
{
public:
    virtual ~ifront() = default;

    /// Sends one request to the backend server that it names and returns the result. Reports failures in the
    /// result. `cancel` may be null. Thread-safe.
    virtual core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                              std::shared_ptr<core::cancellation> cancel) = 0;
    /// Returns the number of requests in flight.
    virtual std::size_t in_flight() const = 0;
    /// Refuses new requests as not run from now on. Requests in flight finish.
    virtual void begin_stop() = 0;
};

} // namespace briarfold::routing
