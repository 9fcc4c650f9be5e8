/// Front role: slot admission, fair queuing and connections for each backend server.
#pragma once

#include "ownership/iownership.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "routing/ifront.hpp"

#include <memory>

namespace briarfold::routing {

class front : public ifront
{
public:
    /// `ownership` and `counters` must outlive the front and its requests.
    front(core::asio::any_io_executor executor, ownership::iownership& ownership, routing_hooks hooks,
          routing_counters& counters);
    ~front() override;

    core::asio::awaitable<wire::forward_result> serve(wire::forward_request request,
                                                      std::shared_ptr<core::cancellation> cancel) override;
    std::size_t in_flight() const override;
    void begin_stop() override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::routing
